/** The attempts that may live on a worker, and what each team has running with them. */

import type { AttemptId, TeamId, WorkerId, WorkId } from '@bamboowell/types/ids';
import { add, multiply, NO_RESOURCES, type Resources } from '@bamboowell/types/resources';
import type { Instant, WorkerInstant } from '@bamboowell/types/time';
import type { Attempt } from '@bamboowell/types/work';
import type { Context } from './context.js';

/**
 * Where an attempt stands.
 * - `placing`: its record is on the way to the log; no start was sent.
 * - `placed`: its record was read back; no start was sent by this process.
 * - `starting`: a start was sent.
 * - `running`: the worker said so.
 * - `ending`: the worker said how it ended; the record of that is on the way to the log.
 */
export type Phase = 'placing' | 'placed' | 'starting' | 'running' | 'ending';

export interface LiveAttempt {
  readonly attempt: Attempt;
  readonly work: WorkId;
  readonly team: TeamId;
  readonly demand: Resources;
  /** Whether the shard's stream knows it; quick calls have no records. */
  readonly durable: boolean;
  phase: Phase;
  /** A stop was asked for. */
  stopping: boolean;
  readonly knownSince: Instant;
  /** A start that reaches the worker after this, by its clock, is refused; none sent: none. */
  startBy: WorkerInstant | undefined;
}

const NEGATIVE = -1;

/** Counts each attempt against its worker, its team's limit and its team's share, once. */
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

  /** Teams that have had something running here. */
  teams(): IterableIterator<TeamId> {
    return this.byTeam.keys();
  }

  runningOf(team: TeamId): Resources {
    return this.byTeam.get(team) ?? NO_RESOURCES;
  }

  /** Adds an attempt whose room on the worker was reserved already. */
  add(live: LiveAttempt): void {
    this.byId.set(live.attempt.id, live);
    const onWorker = this.byWorker.get(live.attempt.worker) ?? new Set<LiveAttempt>();
    this.byWorker.set(live.attempt.worker, onWorker);
    onWorker.add(live);
    this.count(live, live.demand);
  }

  /** Adds an attempt that was found on a worker. */
  adopt(live: LiveAttempt): void {
    this.context.fleet.adopt(live.attempt.worker, live.demand);
    this.add(live);
  }

  /** Forgets an attempt that certainly lives no more, and frees its room. */
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
