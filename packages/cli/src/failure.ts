/** Failures of calls, and whether a failed call may have run nevertheless. */

import { Code, ConnectError } from '@connectrpc/connect';
import {
  FailureSchema,
  Verdict as VerdictValue,
  type Failure as FailureMessage,
} from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import type { Verdict } from '@bamboowell/types/verdict';

/** Whether a call changes anything. A read without an answer counts as not run. */
export type CallKind = 'read' | 'write';

/** Why a call failed, and whether it may have run. */
export interface Failure {
  readonly verdict: Verdict;
  /** A reason of the schema, or `unreachable` or `unanswered` if no daemon answered. */
  readonly reason: string;
  readonly detail: string;
  readonly field: string | null;
  /** Id of the work item that may have been accepted. */
  readonly work: string | null;
}

export class FailedCallError extends Error {
  override readonly name = 'FailedCallError';

  constructor(readonly failure: Failure) {
    super(failure.detail);
  }
}

/** System calls whose errors mean that no connection was established. */
const CONNECT_SYSCALLS: readonly unknown[] = ['connect', 'getaddrinfo'];

/** Reasons that may not apply at another daemon. */
const DAEMON_SPECIFIC_REASONS: readonly string[] = [
  'unreachable',
  'unanswered',
  'shutting_down',
  'overloaded',
  'no_owner',
  'owner_unreachable',
  'not_fresh',
  'configuration_stale',
  'log_unavailable',
];

/** Whether it is safe and useful to send the same request to another daemon. */
export function isRetryableElsewhere({ verdict, reason }: Failure): boolean {
  return verdict === 'not_run' && DAEMON_SPECIFIC_REASONS.includes(reason);
}

/** Converts the error of a call. The detail names `daemon` if the daemon gave no reason itself. */
export function failureOf(error: unknown, kind: CallKind, daemon: string): Failure {
  if (error instanceof FailedCallError) {
    return error.failure;
  }
  const connectError = ConnectError.from(error);
  const [message] = connectError.findDetails(FailureSchema);
  if (message !== undefined) {
    return decodeFailure(message, kind);
  }
  if (failedToConnect(connectError)) {
    return plainFailure('not_run', 'unreachable', `${daemon} can't be reached`);
  }
  const why =
    connectError.code === Code.Canceled
      ? 'did not answer in time'
      : `sent no complete response: ${connectError.rawMessage}`;
  return plainFailure(unansweredVerdict(kind), 'unanswered', `${daemon} ${why}`);
}

export function plainFailure(verdict: Verdict, reason: string, detail: string): Failure {
  return { verdict, reason, detail, field: null, work: null };
}

function unansweredVerdict(kind: CallKind): Verdict {
  return kind === 'read' ? 'not_run' : 'may_have_run';
}

function decodeFailure(message: FailureMessage, kind: CallKind): Failure {
  return {
    verdict: verdictFrom(message.verdict) ?? unansweredVerdict(kind),
    reason: message.reason,
    detail: message.detail,
    field: message.field === '' ? null : message.field,
    work: message.workId === '' ? null : message.workId,
  };
}

/** Decodes a verdict; undefined if the daemon gave none. */
export function verdictFrom(value: VerdictValue): Verdict | undefined {
  switch (value) {
    case VerdictValue.NOT_RUN:
      return 'not_run';
    case VerdictValue.MAY_HAVE_RUN:
      return 'may_have_run';
    case VerdictValue.RAN:
      return 'ran';
    case VerdictValue.UNSPECIFIED:
      return undefined;
  }
}

function failedToConnect(error: unknown): boolean {
  if (!(error instanceof Error)) {
    return false;
  }
  const { syscall } = error as NodeJS.ErrnoException;
  return CONNECT_SYSCALLS.includes(syscall) || failedToConnect(error.cause);
}
