/** Records how attempts ended, then lets their workers forget them. */

import type { AttemptId, Sequence, WorkerId } from '@bamboowell/types/ids';
import type { Outcome } from '@bamboowell/types/work';
import type { Context } from './context.js';
import type { LiveAttempt, LiveAttempts } from './live-attempts.js';

interface Ending {
  readonly outcome: Outcome;
  readonly attempt: AttemptId;
  readonly worker: WorkerId;
}

export class Ends {
  private readonly ending = new Map<Sequence, Ending>();

  constructor(
    private readonly context: Context,
    private readonly live: LiveAttempts,
  ) {}

  /** A durable attempt lives no more: its room is free at once, its task moves on by the record. */
  end(live: LiveAttempt, outcome: Outcome): void {
    const epoch = this.context.ownedEpoch;
    if (epoch === undefined || live.phase === 'ending') {
      return;
    }
    live.phase = 'ending';
    this.live.remove(live);
    this.record(live.attempt.id, live.attempt.worker, outcome);
  }

  /** An ended attempt that only the fold knows of. */
  endPlaced(attempt: AttemptId, worker: WorkerId, outcome: Outcome): void {
    this.record(attempt, worker, outcome);
  }

  /** Whether the end of this attempt is on the way to the log. */
  isEnding(attempt: AttemptId): boolean {
    return [...this.ending.values()].some((ending) => ending.attempt === attempt);
  }

  settled(sequence: Sequence): void {
    const ending = this.ending.get(sequence);
    const epoch = this.context.ownedEpoch;
    this.ending.delete(sequence);
    if (ending !== undefined && epoch !== undefined) {
      this.context.command(ending.worker, { kind: 'forget', epoch, attempts: [ending.attempt] });
    }
  }

  /** The record was never sent: tries again. */
  rejected(sequence: Sequence): void {
    const ending = this.ending.get(sequence);
    this.ending.delete(sequence);
    if (ending !== undefined) {
      this.record(ending.attempt, ending.worker, ending.outcome);
    }
  }

  clear(): void {
    this.ending.clear();
  }

  private record(attempt: AttemptId, worker: WorkerId, outcome: Outcome): void {
    const epoch = this.context.ownedEpoch;
    if (epoch === undefined) {
      return;
    }
    const sequence = this.context.append({ kind: 'end', epoch, attempt, outcome });
    this.ending.set(sequence, { attempt, worker, outcome });
  }
}
