/** Converts refusals to Connect errors that carry a Failure message in their details. */

import { create } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import { FailureSchema } from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import { refusalOf, type Reason, type Refusal } from '@bamboowell/types/verdict';
import { encodeVerdict } from './encode.js';

const CODES: Readonly<Record<Reason, Code>> = {
  malformed: Code.InvalidArgument,
  unknown_field: Code.InvalidArgument,
  body_too_large: Code.ResourceExhausted,
  impossible_size: Code.InvalidArgument,
  unknown_queue: Code.NotFound,
  unknown_work: Code.NotFound,
  key_missing: Code.Unauthenticated,
  key_unknown: Code.Unauthenticated,
  key_withdrawn: Code.Unauthenticated,
  not_operator: Code.PermissionDenied,
  queue_not_open_to_team: Code.PermissionDenied,
  team_limit_reached: Code.ResourceExhausted,
  queue_full: Code.ResourceExhausted,
  overloaded: Code.ResourceExhausted,
  deadline_unreachable: Code.DeadlineExceeded,
  deadline_passed: Code.DeadlineExceeded,
  configuration_stale: Code.Unavailable,
  configuration_conflict: Code.Aborted,
  invalid_configuration: Code.InvalidArgument,
  no_owner: Code.Unavailable,
  owner_changed: Code.Unavailable,
  owner_unreachable: Code.Unavailable,
  not_fresh: Code.Unavailable,
  log_unavailable: Code.Unavailable,
  outcome_unknown: Code.Unknown,
  no_worker_fits: Code.ResourceExhausted,
  worker_refused: Code.Unavailable,
  worker_lost: Code.Unknown,
  worker_failed: Code.Internal,
  answer_damaged: Code.DataLoss,
  cancelled: Code.Canceled,
  preempted: Code.Aborted,
  shutting_down: Code.Unavailable,
  internal: Code.Internal,
};

const VERDICT_TEXTS = { not_run: 'not run', may_have_run: 'may have run', ran: 'ran' } as const;

export function connectErrorOf(refusal: Refusal): ConnectError {
  const { verdict, reason, detail, field = '', work = '' } = refusal;
  const message = `${VERDICT_TEXTS[verdict]}: ${detail}`;
  const failure = create(FailureSchema, {
    verdict: encodeVerdict(verdict),
    reason,
    detail,
    field,
    workId: work,
  });
  return new ConnectError(message, CODES[reason], undefined, [
    { desc: FailureSchema, value: failure },
  ]);
}

const UNKNOWN_KEY_PATTERN = /key "([^"]+)" is unknown/;
const BAD_FIELD_PATTERN = /cannot decode field ([\w.]+) from JSON/;
/**
 * For an invalid enum value the decoder names only the enum type. Every field of an enum type is
 * named after the type, so the field name follows from it.
 */
const BAD_ENUM_PATTERN = /cannot decode enum ([\w.]+) from JSON/;

/** Converts an error of the Connect decoder, which occurs before any handler runs, to a refusal. */
export function refusalOfDecodeError(error: ConnectError): Refusal {
  const text = error.rawMessage;
  const unknown = UNKNOWN_KEY_PATTERN.exec(text)?.[1];
  if (unknown !== undefined) {
    return refusalOf('not_run', 'unknown_field', `there is no field ${unknown}`, unknown);
  }
  if (error.code === Code.ResourceExhausted) {
    return refusalOf('not_run', 'body_too_large', text);
  }
  const [, path] = BAD_FIELD_PATTERN.exec(text) ?? BAD_ENUM_PATTERN.exec(text) ?? [];
  const field = path?.split('.').at(-1);
  return refusalOf('not_run', 'malformed', text, field && jsonNameOf(field));
}

/** Converts a schema field name such as `timeout_millis` to its JSON name, `timeoutMillis`. */
function jsonNameOf(name: string): string {
  const joined = name.replace(/_(\w)/g, (_, letter: string) => letter.toUpperCase());
  return joined.charAt(0).toLowerCase() + joined.slice(1);
}
