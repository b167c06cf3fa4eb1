/** Records how attempts ended, then lets their workers forget them. */

import type { AttemptId, Sequence, WorkerId } from '@bamboowell/types/ids';
import type { Outcome } from '@bamboowell/types/work';
import type { Context } from './context.js';
import type { LiveAttempt, LiveAttempts } from './live-attempts.js';

/** Longest answer of durable work that is kept, characters. */
export const MAX_ANSWER_CHARACTERS = 200_000;

interface Ending {
  readonly outcome: Outcome;
  readonly attempt: AttemptId;
  readonly worker: WorkerId;
}

export class Outcomes {
  /** On the way to the log. */
  private readonly sent = new Map<Sequence, Ending>();
  private readonly attempts = new Set<AttemptId>();
  /** Had no room on the way to the log; appended again at the next upkeep. */
  private unsent: Ending[] = [];

  constructor(
    private readonly context: Context,
    private readonly live: LiveAttempts,
  ) {}

  /** A durable attempt lives no more: its room is free at once, its task moves on by the record. */
  record(live: LiveAttempt, outcome: Outcome): void {
    if (this.context.ownedEpoch === undefined || live.phase === 'ending') {
      return;
    }
    live.phase = 'ending';
    this.live.remove(live);
    this.recordUntracked(live.attempt.id, live.attempt.worker, outcome);
  }

  /** An ended attempt that only the fold knows of. */
  recordUntracked(attempt: AttemptId, worker: WorkerId, outcome: Outcome): void {
    this.attempts.add(attempt);
    this.append({ attempt, worker, outcome: bounded(outcome) });
  }

  /** Whether the end of this attempt is on the way to the log. */
  isRecording(attempt: AttemptId): boolean {
    return this.attempts.has(attempt);
  }

  settled(sequence: Sequence): void {
    const ending = this.take(sequence);
    const epoch = this.context.ownedEpoch;
    if (ending !== undefined && epoch !== undefined) {
      this.attempts.delete(ending.attempt);
      this.context.command(ending.worker, { kind: 'forget', epoch, attempts: [ending.attempt] });
    }
  }

  /** The record was never sent. */
  rejected(sequence: Sequence): void {
    const ending = this.take(sequence);
    if (ending !== undefined) {
      this.unsent.push(ending);
    }
  }

  /** Appends again what had no room. */
  retry(): void {
    for (const ending of this.unsent.splice(0)) {
      this.append(ending);
    }
  }

  clear(): void {
    this.sent.clear();
    this.attempts.clear();
    this.unsent = [];
  }

  private take(sequence: Sequence): Ending | undefined {
    const ending = this.sent.get(sequence);
    this.sent.delete(sequence);
    return ending;
  }

  private append(ending: Ending): void {
    const epoch = this.context.ownedEpoch;
    if (epoch !== undefined) {
      const { attempt, outcome } = ending;
      this.sent.set(this.context.append({ kind: 'end', epoch, attempt, outcome }), ending);
    }
  }
}

/** An answer that is too long is not kept in part: the attempt counts as failed, and says why. */
function bounded(outcome: Outcome): Outcome {
  if (outcome.kind !== 'succeeded' || outcome.answer.length <= MAX_ANSWER_CHARACTERS) {
    return outcome;
  }
  const found = outcome.answer.length;
  const detail = `the answer has ${found} characters, and at most ${MAX_ANSWER_CHARACTERS} are kept`;
  return { kind: 'failed', detail };
}
