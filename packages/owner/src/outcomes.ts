/** Records the outcomes of attempts, then tells the workers to forget the attempts. */

import type { AttemptId, Sequence, WorkerId } from '@bamboowell/types/ids';
import type { Outcome } from '@bamboowell/types/work';
import type { Context } from './context.js';
import type { LiveAttempt, LiveAttempts } from './live-attempts.js';

/** Maximum length of a stored answer of durable work, characters. */
export const MAX_ANSWER_CHARACTERS = 200_000;

interface PendingOutcome {
  readonly outcome: Outcome;
  readonly attempt: AttemptId;
  readonly worker: WorkerId;
}

export class Outcomes {
  /** Appended, but not read back yet. */
  private readonly sent = new Map<Sequence, PendingOutcome>();
  private readonly attempts = new Set<AttemptId>();
  /** Rejected because the append queue was full; appended again at the next maintenance. */
  private unsent: PendingOutcome[] = [];

  constructor(
    private readonly context: Context,
    private readonly live: LiveAttempts,
  ) {}

  /** Ends a durable attempt. Frees its resources at once; its task changes state by the record. */
  record(live: LiveAttempt, outcome: Outcome): void {
    if (this.context.ownedEpoch === undefined || live.phase === 'ending') {
      return;
    }
    live.phase = 'ending';
    this.live.remove(live);
    this.recordUntracked(live.attempt.id, live.attempt.worker, outcome);
  }

  /** Records the outcome of an attempt that is in the fold but not among the live ones. */
  recordUntracked(attempt: AttemptId, worker: WorkerId, outcome: Outcome): void {
    this.attempts.add(attempt);
    this.append({ attempt, worker, outcome: withBoundedAnswer(outcome) });
  }

  /** Whether the outcome of this attempt is not read back yet. */
  isRecording(attempt: AttemptId): boolean {
    return this.attempts.has(attempt);
  }

  /** Tells the worker to forget the attempt, as its outcome was read back. */
  settled(sequence: Sequence): void {
    const pending = this.take(sequence);
    const epoch = this.context.ownedEpoch;
    if (pending !== undefined && epoch !== undefined) {
      this.attempts.delete(pending.attempt);
      this.context.command(pending.worker, { kind: 'forget', epoch, attempts: [pending.attempt] });
    }
  }

  /** Keeps an outcome whose record was never sent, to append it again. */
  rejected(sequence: Sequence): void {
    const pending = this.take(sequence);
    if (pending !== undefined) {
      this.unsent.push(pending);
    }
  }

  /** Appends rejected outcomes again. */
  retry(): void {
    for (const pending of this.unsent.splice(0)) {
      this.append(pending);
    }
  }

  clear(): void {
    this.sent.clear();
    this.attempts.clear();
    this.unsent = [];
  }

  private take(sequence: Sequence): PendingOutcome | undefined {
    const pending = this.sent.get(sequence);
    this.sent.delete(sequence);
    return pending;
  }

  private append(pending: PendingOutcome): void {
    const epoch = this.context.ownedEpoch;
    if (epoch !== undefined) {
      const { attempt, outcome } = pending;
      this.sent.set(this.context.append({ kind: 'end', epoch, attempt, outcome }), pending);
    }
  }
}

/** Replaces an answer that is too long by a failure that says so; answers are never truncated. */
function withBoundedAnswer(outcome: Outcome): Outcome {
  if (outcome.kind !== 'succeeded' || outcome.answer.length <= MAX_ANSWER_CHARACTERS) {
    return outcome;
  }
  const found = outcome.answer.length;
  const detail = `the answer has ${found} characters; at most ${MAX_ANSWER_CHARACTERS} are stored`;
  return { kind: 'failed', detail };
}
