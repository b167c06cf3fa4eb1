/** What a caller is told about the outcome of its request. */

import type { WorkId } from './ids.js';

/**
 * Whether a request may have run.
 * - `not_run`: it did not run and will not.
 * - `may_have_run`: it is not known whether it ran.
 * - `ran`: it ran, at least in part.
 */
export type Verdict = 'not_run' | 'may_have_run' | 'ran';

/** Why a request was refused or failed. Each reason has a counter of its own. */
export const REASONS = [
  'malformed',
  'unknown_field',
  'body_too_large',
  'impossible_size',
  'unknown_queue',
  'unknown_work',
  'key_missing',
  'key_unknown',
  'key_withdrawn',
  'not_operator',
  'queue_not_open_to_team',
  'team_limit_reached',
  'queue_full',
  'overloaded',
  'deadline_unreachable',
  'deadline_passed',
  'configuration_stale',
  'configuration_conflict',
  'invalid_configuration',
  'no_owner',
  'owner_changed',
  'owner_unreachable',
  'not_fresh',
  'log_unavailable',
  'outcome_unknown',
  'no_worker_fits',
  'worker_refused',
  'worker_lost',
  'worker_failed',
  'answer_damaged',
  'cancelled',
  'preempted',
  'shutting_down',
  'internal',
] as const;

export type Reason = (typeof REASONS)[number];

/** A refusal or failure; its verdict claims no more than is known. */
export interface Refusal {
  readonly verdict: Verdict;
  readonly reason: Reason;
  /** One sentence for people: what was wrong and what was expected. */
  readonly detail: string;
  /** Path of the offending field, as in `work.demand.memoryMib`. */
  readonly field?: string;
  /** The work that may have been accepted, where the verdict is not `not_run`. */
  readonly work?: WorkId;
}

/** Either a value or a refusal. */
export type Result<Value> =
  | { readonly kind: 'done'; readonly value: Value }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

export function done<Value>(value: Value): Result<Value> {
  return { kind: 'done', value };
}

/** A refusal with the verdict `not_run`. */
export function refused(reason: Reason, detail: string, field?: string): Result<never> {
  return { kind: 'refused', refusal: refusalOf('not_run', reason, detail, field) };
}

export function refusalOf(
  verdict: Verdict,
  reason: Reason,
  detail: string,
  field?: string,
): Refusal {
  return field === undefined ? { verdict, reason, detail } : { verdict, reason, detail, field };
}
