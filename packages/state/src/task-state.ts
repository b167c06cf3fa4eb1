/** Where a task stands, and where it goes when an attempt ends. */

import { match } from 'ts-pattern';
import type { WorkerId } from '@bamboowell/types/ids';
import type { Attempt, Outcome, Work } from '@bamboowell/types/work';

/** Most attempts of one batch or gang task that fail before the task counts as failed. */
export const MAX_FAILED_ATTEMPTS = 5;

/** Where one task stands. */
export type TaskState =
  | { readonly kind: 'waiting' }
  | { readonly kind: 'placed'; readonly attempt: Attempt }
  | { readonly kind: 'ended'; readonly outcome: Outcome | { readonly kind: 'cancelled' } };

export interface TaskEntry {
  readonly state: TaskState;
  /** Attempts that were placed; the number of the latest one. */
  readonly attempts: number;
  /** Attempts that failed or were lost. */
  readonly failures: number;
  /** The worker of the latest attempt. */
  readonly worker: WorkerId | null;
  /** The state that was saved last; the next attempt resumes from it. */
  readonly checkpoint: string | null;
}

export const NEW_TASK: TaskEntry = {
  state: { kind: 'waiting' },
  attempts: 0,
  failures: 0,
  worker: null,
  checkpoint: null,
};

/** Where a waiting task goes when an attempt of it is placed. */
export function afterPlace(entry: TaskEntry, attempt: Attempt): TaskEntry {
  return {
    ...entry,
    attempts: entry.attempts + 1,
    worker: attempt.worker,
    state: { kind: 'placed', attempt },
  };
}

/**
 * Where a task goes when its attempt ends. A non-idempotent task goes back to waiting only when it
 * is certain that no attempt of it ran.
 */
export function afterEnd(
  work: Work,
  entry: TaskEntry,
  outcome: Outcome,
  cancelled: boolean,
): TaskEntry {
  const failures = entry.failures + (outcome.kind === 'failed' || outcome.kind === 'lost' ? 1 : 0);
  const next = { ...entry, failures, checkpoint: savedState(entry, outcome) };
  if (goesOn(work, next, outcome, cancelled)) {
    return { ...next, state: { kind: 'waiting' } };
  }
  const endedAs = cancelled && !tellsMore(work, outcome) ? CANCELLED : outcome;
  return { ...next, state: { kind: 'ended', outcome: endedAs } };
}

const CANCELLED = { kind: 'cancelled' } as const;

/** Whether the outcome of a cancelled task is to be kept: it ran to its end, or is lost. */
function tellsMore(work: Work, outcome: Outcome): boolean {
  const hasFinished = outcome.kind === 'succeeded' && work.shape.kind !== 'service';
  return hasFinished || outcome.kind === 'lost';
}

function savedState(entry: TaskEntry, outcome: Outcome): string | null {
  return (outcome.kind === 'stopped' ? outcome.checkpoint : undefined) ?? entry.checkpoint;
}

function goesOn(work: Work, entry: TaskEntry, outcome: Outcome, cancelled: boolean): boolean {
  if (cancelled) {
    return false;
  }
  const isService = work.shape.kind === 'service';
  return match(outcome)
    .with({ kind: 'succeeded' }, () => isService)
    .with({ kind: 'never_started' }, () => true)
    .with({ kind: 'stopped' }, ({ checkpoint }) => mayRunAgain(work) || checkpoint !== undefined)
    .with(
      { kind: 'failed' },
      { kind: 'lost' },
      () => isService || (mayRunAgain(work) && entry.failures < MAX_FAILED_ATTEMPTS),
    )
    .exhaustive();
}

/** A service replica that has ended may always start again. */
function mayRunAgain(work: Work): boolean {
  return work.idempotent || work.shape.kind === 'service';
}
