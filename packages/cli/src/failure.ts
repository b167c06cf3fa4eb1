/** What went wrong with a call, and whether it may have run all the same. */

import { Code, ConnectError } from '@connectrpc/connect';
import {
  FailureSchema,
  Verdict as VerdictValue,
  type Failure as FailureMessage,
} from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import type { Verdict } from '@bamboowell/types/verdict';

/** Whether a call changes anything. A read that got no answer has not run for its caller. */
export type CallKind = 'read' | 'write';

/** A call that did not end well. */
export interface Failure {
  readonly verdict: Verdict;
  /** A reason of the schema, or `unreachable` or `unanswered` if no daemon answered. */
  readonly reason: string;
  readonly detail: string;
  readonly field: string | null;
  /** The work that may have been accepted. */
  readonly work: string | null;
}

export class FailedCallError extends Error {
  override readonly name = 'FailedCallError';

  constructor(readonly failure: Failure) {
    super(failure.detail);
  }
}

/** Errors of Node that arise before a connection stands. */
const UNCONNECTED_SYSCALLS: readonly unknown[] = ['connect', 'getaddrinfo'];

/** Reasons of a refusal that another daemon may not have. */
const REASONS_OF_ONE_DAEMON: readonly string[] = [
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

/** Whether the same request may and should be sent to another daemon. */
export function isRetryableElsewhere({ verdict, reason }: Failure): boolean {
  return verdict === 'not_run' && REASONS_OF_ONE_DAEMON.includes(reason);
}

/** Reads the error of a call. `daemon` is named where it gave no reason itself. */
export function failureOf(error: unknown, kind: CallKind, daemon: string): Failure {
  if (error instanceof FailedCallError) {
    return error.failure;
  }
  const connectError = ConnectError.from(error);
  const [message] = connectError.findDetails(FailureSchema);
  if (message !== undefined) {
    return failureFrom(message, kind);
  }
  if (isUnconnected(connectError)) {
    return plainFailure('not_run', 'unreachable', `${daemon} can't be reached`);
  }
  const why =
    connectError.code === Code.Canceled
      ? 'did not answer in time'
      : `gave no whole answer: ${connectError.rawMessage}`;
  return plainFailure(unansweredVerdict(kind), 'unanswered', `${daemon} ${why}`);
}

export function plainFailure(verdict: Verdict, reason: string, detail: string): Failure {
  return { verdict, reason, detail, field: null, work: null };
}

function unansweredVerdict(kind: CallKind): Verdict {
  return kind === 'read' ? 'not_run' : 'may_have_run';
}

function failureFrom(message: FailureMessage, kind: CallKind): Failure {
  return {
    verdict: verdictFrom(message.verdict) ?? unansweredVerdict(kind),
    reason: message.reason,
    detail: message.detail,
    field: message.field === '' ? null : message.field,
    work: message.workId === '' ? null : message.workId,
  };
}

/** The verdict of the schema; undefined if the daemon gave none. */
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

function isUnconnected(error: unknown): boolean {
  if (!(error instanceof Error)) {
    return false;
  }
  const { syscall } = error as NodeJS.ErrnoException;
  return UNCONNECTED_SYSCALLS.includes(syscall) || isUnconnected(error.cause);
}
