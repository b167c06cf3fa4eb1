/** Cancels work items, many in one record, and reports for each whether it had run. */

import { match } from 'ts-pattern';
import type { Sequence, WorkId } from '@bamboowell/types/ids';
import type { Effect } from '@bamboowell/types/records';
import { hasPassed, type Deadline } from '@bamboowell/types/time';
import type { WorkEntry } from '@bamboowell/state/shard-fold';
import type { Context } from './context.js';
import type { LiveAttempts } from './live-attempts.js';
import type { Cancellation, Token } from './messages.js';
import type { WaitingTasks } from './waiting-tasks.js';

interface Pending {
  readonly works: readonly WorkId[];
  readonly token: Token;
  readonly deadline: Deadline;
}

export class Cancellations {
  private readonly pending = new Map<Sequence, Pending>();

  constructor(
    private readonly context: Context,
    private readonly live: LiveAttempts,
    private readonly waiting: WaitingTasks,
  ) {}

  cancel(works: readonly WorkId[], deadline: Deadline, token: Token): void {
    const epoch = this.context.ownedEpoch;
    if (epoch === undefined || !this.context.mayStart) {
      this.context.refuse(token, 'not_run', 'no_owner', 'this daemon does not own the shard');
      return;
    }
    const sequence = this.context.append({ kind: 'cancel', epoch, works });
    this.pending.set(sequence, { works, token, deadline });
  }

  settled(sequence: Sequence, effect: Effect): void {
    const pending = this.pending.get(sequence);
    this.pending.delete(sequence);
    if (effect.kind !== 'applied') {
      this.refuse(pending);
      return;
    }
    if (pending !== undefined) {
      const outcomes = pending.works.map((work) => this.outcomeOf(work));
      this.context.respond(pending.token, { kind: 'cancelled', outcomes });
    }
  }

  /** Stops cancelled work after a `cancel` record of any writer was applied. */
  applied(works: readonly WorkId[]): void {
    const cancelled = new Set(works);
    for (const work of cancelled) {
      this.waiting.update(work);
      this.context.emit({ kind: 'changed', work });
    }
    for (const live of this.live.all()) {
      if (cancelled.has(live.work)) {
        this.stop(live.attempt.id, live.attempt.worker);
      }
    }
  }

  rejected(sequence: Sequence): void {
    const pending = this.pending.get(sequence);
    this.pending.delete(sequence);
    if (pending !== undefined) {
      this.context.refuse(
        pending.token,
        'not_run',
        'log_unavailable',
        'the log did not accept the cancellation',
      );
    }
  }

  /** Answers requests whose deadline has passed. Their cancellations may still take effect. */
  expire(): void {
    for (const [sequence, pending] of this.pending) {
      if (hasPassed(pending.deadline, this.context.now)) {
        this.pending.delete(sequence);
        this.context.refuse(
          pending.token,
          'may_have_run',
          'outcome_unknown',
          'the log did not confirm the cancellation in time',
        );
      }
    }
  }

  abandon(): void {
    for (const pending of this.pending.values()) {
      this.context.refuse(
        pending.token,
        'may_have_run',
        'owner_changed',
        'the owner of the shard changed in the meantime',
      );
    }
    this.pending.clear();
  }

  nextDeadline(): Deadline | undefined {
    const deadlines = [...this.pending.values()].map(({ deadline }) => deadline);
    return deadlines.length === 0
      ? undefined
      : deadlines.reduce((left, right) => (left < right ? left : right));
  }

  private stop(
    attempt: Parameters<LiveAttempts['get']>[0],
    worker: Parameters<LiveAttempts['onWorker']>[0],
  ): void {
    const epoch = this.context.ownedEpoch;
    const live = this.live.get(attempt);
    if (epoch === undefined || live === undefined || live.stopping) {
      return;
    }
    live.stopping = true;
    this.context.command(worker, { kind: 'stop', epoch, attempt, checkpoint: false });
  }

  private refuse(pending: Pending | undefined): void {
    if (pending !== undefined) {
      this.context.refuse(
        pending.token,
        'not_run',
        'owner_changed',
        'another daemon owns the shard now',
      );
    }
  }

  private outcomeOf(work: WorkId): Cancellation {
    const entry = this.context.fold.get(work);
    return entry === undefined
      ? { work, verdict: 'not_run', reason: 'unknown_work' }
      : { work, verdict: this.verdictOf(entry), reason: null };
  }

  /** Whether the work had run by the time that it was cancelled. */
  private verdictOf(entry: WorkEntry): Cancellation['verdict'] {
    if (entry.tasks.every((task) => task.attempts === 0)) {
      return 'not_run';
    }
    return entry.tasks.some((task) => this.hasRun(task)) ? 'ran' : 'may_have_run';
  }

  private hasRun({ state }: WorkEntry['tasks'][number]): boolean {
    return match(state)
      .with({ kind: 'waiting' }, () => false)
      .with({ kind: 'placed' }, ({ attempt }) => this.live.get(attempt.id)?.phase === 'running')
      .with(
        { kind: 'ended' },
        ({ outcome }) => outcome.kind === 'succeeded' || outcome.kind === 'failed',
      )
      .exhaustive();
  }
}
