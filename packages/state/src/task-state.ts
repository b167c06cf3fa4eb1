/** The states of a task, and its transitions when an attempt is placed or ends. */

import { match } from 'ts-pattern';
import type { WorkerId } from '@bamboowell/types/ids';
import type { Attempt, Outcome, Work } from '@bamboowell/types/work';

/** Number of failed or lost attempts after which a task of a batch or gang is not run again. */
export const MAX_FAILED_ATTEMPTS = 5;

/** The state of one task. */
export type TaskState =
  | { readonly kind: 'waiting' }
  | { readonly kind: 'placed'; readonly attempt: Attempt }
  | { readonly kind: 'ended'; readonly outcome: Outcome | { readonly kind: 'cancelled' } };

export interface TaskEntry {
  readonly state: TaskState;
  /** Number of attempts that were placed, which is also the number of the latest one. */
  readonly attempts: number;
  /** Number of attempts that failed or were lost. */
  readonly failures: number;
  /** The worker of the latest attempt. */
  readonly worker: WorkerId | null;
  /** The latest saved state, from which the next attempt resumes. */
  readonly checkpoint: string | null;
}

export const NEW_TASK: TaskEntry = {
  state: { kind: 'waiting' },
  attempts: 0,
  failures: 0,
  worker: null,
  checkpoint: null,
};

/** The entry of a waiting task after an attempt of it is placed. */
export function afterPlace(entry: TaskEntry, attempt: Attempt): TaskEntry {
  return {
    ...entry,
    attempts: entry.attempts + 1,
    worker: attempt.worker,
    state: { kind: 'placed', attempt },
  };
}

/**
 * The entry of a task after its attempt ended. Unless the task is cancelled, a service replica
 * always goes back to waiting. A task that is not idempotent does so only if it is certain that the
 * attempt did not run, or if the attempt left a checkpoint to resume from.
 */
export function afterEnd(
  work: Work,
  entry: TaskEntry,
  outcome: Outcome,
  cancelled: boolean,
): TaskEntry {
  const failures = entry.failures + (outcome.kind === 'failed' || outcome.kind === 'lost' ? 1 : 0);
  const next = { ...entry, failures, checkpoint: latestCheckpoint(entry, outcome) };
  if (waitsAgain(work, next, outcome, cancelled)) {
    return { ...next, state: { kind: 'waiting' } };
  }
  const endedAs = cancelled && !keepsOutcome(work, outcome) ? CANCELLED : outcome;
  return { ...next, state: { kind: 'ended', outcome: endedAs } };
}

const CANCELLED = { kind: 'cancelled' } as const;

/** Whether a cancelled task keeps its outcome: it ran to its end, or it was lost. */
function keepsOutcome(work: Work, outcome: Outcome): boolean {
  const hasFinished = outcome.kind === 'succeeded' && work.shape.kind !== 'service';
  return hasFinished || outcome.kind === 'lost';
}

function latestCheckpoint(entry: TaskEntry, outcome: Outcome): string | null {
  return (outcome.kind === 'stopped' ? outcome.checkpoint : undefined) ?? entry.checkpoint;
}

function waitsAgain(work: Work, entry: TaskEntry, outcome: Outcome, cancelled: boolean): boolean {
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

/** A service replica may always start again, even if its work is not idempotent. */
function mayRunAgain(work: Work): boolean {
  return work.idempotent || work.shape.kind === 'service';
}
