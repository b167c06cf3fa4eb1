/** Tracks the attempts that may be running on workers, and the resources that they use per team. */

import type { AttemptId, TeamId, WorkerId, WorkId } from '@bamboowell/types/ids';
import { add, multiply, NO_RESOURCES, type Resources } from '@bamboowell/types/resources';
import type { Instant, WorkerInstant } from '@bamboowell/types/time';
import type { Attempt } from '@bamboowell/types/work';
import type { Context } from './context.js';

/**
 * The phase of an attempt.
 * - `placing`: its `place` record is not read back yet, and no start was sent.
 * - `placed`: its record was read back, and this process has sent no start.
 * - `starting`: a start was sent, perhaps by an earlier owner.
 * - `running`: the worker reported that it runs.
 * - `ending`: its outcome is known, and the `end` record is not read back yet.
 */
export type Phase = 'placing' | 'placed' | 'starting' | 'running' | 'ending';

export interface LiveAttempt {
  readonly attempt: Attempt;
  readonly work: WorkId;
  readonly team: TeamId;
  readonly demand: Resources;
  /** Whether the attempt is recorded in the shard's stream. Quick calls are not. */
  readonly durable: boolean;
  phase: Phase;
  /** Whether the worker was asked to stop the attempt. */
  stopping: boolean;
  /** When this process placed the attempt or learned of it. */
  readonly knownSince: Instant;
  /** The worker refuses the start after this, by its clock. Undefined if this process sent no start. */
  startBy: WorkerInstant | undefined;
}

const NEGATIVE = -1;

/** Counts each attempt once against its worker, its team's limit and its team's share. */
export class LiveAttempts {
  private readonly byId = new Map<AttemptId, LiveAttempt>();
  private readonly byWorker = new Map<WorkerId, Set<LiveAttempt>>();
  private readonly byTeam = new Map<TeamId, Resources>();

  constructor(private readonly context: Context) {}

  get size(): number {
    return this.byId.size;
  }

  get(id: AttemptId): LiveAttempt | undefined {
    return this.byId.get(id);
  }

  all(): IterableIterator<LiveAttempt> {
    return this.byId.values();
  }

  onWorker(worker: WorkerId): LiveAttempt[] {
    return [...(this.byWorker.get(worker) ?? [])];
  }

  /** Teams that have or had live attempts in this shard. */
  teams(): IterableIterator<TeamId> {
    return this.byTeam.keys();
  }

  runningOf(team: TeamId): Resources {
    return this.byTeam.get(team) ?? NO_RESOURCES;
  }

  /** Adds an attempt whose resources on the worker are reserved already. */
  add(live: LiveAttempt): void {
    this.byId.set(live.attempt.id, live);
    const onWorker = this.byWorker.get(live.attempt.worker) ?? new Set<LiveAttempt>();
    this.byWorker.set(live.attempt.worker, onWorker);
    onWorker.add(live);
    this.count(live, live.demand);
  }

  /** Adds an attempt that may run already, and counts it against its worker. */
  adopt(live: LiveAttempt): void {
    this.context.fleet.adopt(live.attempt.worker, live.demand);
    this.add(live);
  }

  /** Removes an attempt that certainly runs no more, and frees its resources. */
  remove(live: LiveAttempt): void {
    if (!this.byId.delete(live.attempt.id)) {
      return;
    }
    this.byWorker.get(live.attempt.worker)?.delete(live);
    this.context.fleet.release(live.attempt.worker, live.demand);
    this.count(live, multiply(live.demand, NEGATIVE));
  }

  clear(): void {
    for (const live of [...this.byId.values()]) {
      this.remove(live);
    }
  }

  private count(live: LiveAttempt, amount: Resources): void {
    const before = this.byTeam.get(live.team) ?? NO_RESOURCES;
    this.byTeam.set(live.team, add(before, amount));
    this.context.ordering.addUsage(live.team, amount);
  }
}
