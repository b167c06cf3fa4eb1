/** Implements the Connect services of the schema on top of a backend. */

import type { ConnectRouter, HandlerContext } from '@connectrpc/connect';
import {
  CallerService,
  OperatorService,
} from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import type { Clock } from '@bamboowell/kernel/clock';
import type { Counters } from '@bamboowell/metrics/counters';
import { refusalCounter } from '@bamboowell/metrics/names';
import { brandAs, type KeyId, type Version } from '@bamboowell/types/ids';
import {
  deadlineAfter,
  MILLIS_PER_MINUTE,
  MILLIS_PER_SECOND,
  type Deadline,
} from '@bamboowell/types/time';
import { done, refused, type Result } from '@bamboowell/types/verdict';
import type { WorkId } from '@bamboowell/types/ids';
import type { Acceptance, Backend, WorkRequest, Sender } from './backend.js';
import { decodeChanges } from './decode-changes.js';
import { decodeCall, decodeSubmit, parseWorkId } from './decode.js';
import { encodeConfiguration, encodeStatus, encodeVerdict, encodeWork } from './encode.js';
import { connectErrorOf } from './failure.js';

const DEFAULT_TIMEOUT_MILLIS = 10 * MILLIS_PER_SECOND;
const MAX_TIMEOUT_MILLIS = 5 * MILLIS_PER_MINUTE;
const MAX_CANCELLED_AT_ONCE = 10_000;

/** Dependencies of the service implementations. */
export interface RouteOptions {
  readonly backend: Backend;
  readonly clock: Clock;
  readonly counters: Counters;
}

/** Registers the caller and operator services. */
export function registerRoutes(router: ConnectRouter, options: RouteOptions): void {
  registerCallerService(router, options);
  registerOperatorService(router, options);
}

function registerCallerService(
  router: ConnectRouter,
  { backend, clock, counters }: RouteOptions,
): void {
  const unwrapDecoded = countingUnwrap(counters);
  const deadlineOf = (millis: number) => deadlineFromTimeout(clock, millis);
  router.service(CallerService, {
    async submit(request, context) {
      const workRequest = unwrapDecoded(decodeSubmit(request));
      const deadline = deadlineOf(request.timeoutMillis);
      const accepted = unwrap(
        await backend.submit(unwrapDecoded(senderOf(context)), workRequest, deadline),
      );
      countAcceptance(counters, workRequest, accepted);
      return { workId: accepted.work, repeated: accepted.repeated };
    },
    async call(request, context) {
      const workRequest = unwrapDecoded(decodeCall(request));
      const deadline = deadlineOf(request.timeoutMillis);
      const startedAt = clock.now();
      const answered = unwrap(
        await backend.call(unwrapDecoded(senderOf(context)), workRequest, deadline),
      );
      counters.increment('call.answered');
      counters.timing('call.millis', clock.now() - startedAt);
      return { answer: answered.answer, worker: answered.worker, attemptId: answered.attempt };
    },
    async get(request, context) {
      const work = unwrapDecoded(parseWorkId(request.workId, 'workId'));
      const view = unwrap(await backend.get(unwrapDecoded(senderOf(context)), work, deadlineOf(0)));
      return { status: encodeWork(view) };
    },
    async *watch(request, context) {
      const work = unwrapDecoded(parseWorkId(request.workId, 'workId'));
      for await (const view of backend.watch(
        unwrapDecoded(senderOf(context)),
        work,
        context.signal,
      )) {
        yield { status: encodeWork(unwrap(view)) };
      }
    },
    async cancel(request, context) {
      const works = unwrapDecoded(parseWorkIds(request.workIds));
      const outcomes = unwrap(
        await backend.cancel(unwrapDecoded(senderOf(context)), works, deadlineOf(0)),
      );
      for (const { verdict } of outcomes) {
        counters.increment('work.cancelled', { verdict });
      }
      return {
        outcomes: outcomes.map(({ work, verdict, reason }) => ({
          workId: work,
          verdict: encodeVerdict(verdict),
          reason: reason ?? '',
        })),
      };
    },
    async explain(request, context) {
      const work = unwrapDecoded(parseWorkId(request.workId, 'workId'));
      const { view, sentences } = unwrap(
        await backend.explain(unwrapDecoded(senderOf(context)), work, deadlineOf(0)),
      );
      return { status: encodeWork(view), sentences: [...sentences] };
    },
  });
}

function registerOperatorService(
  router: ConnectRouter,
  { backend, clock, counters }: RouteOptions,
): void {
  const unwrapDecoded = countingUnwrap(counters);
  router.service(OperatorService, {
    async getConfiguration(_request, context) {
      const { configuration, fresh } = unwrap(
        await backend.configuration(unwrapDecoded(senderOf(context))),
      );
      return { configuration: encodeConfiguration(configuration), fresh };
    },
    async applyChanges(request, context) {
      const changes = unwrapDecoded(decodeChanges(request.changes));
      const base = brandAs<Version>(request.base);
      const deadline = deadlineFromTimeout(clock, request.timeoutMillis);
      const version = unwrap(
        await backend.apply(unwrapDecoded(senderOf(context)), base, changes, deadline),
      );
      return { version };
    },
    async getEnforcement(request, context) {
      const version = brandAs<Version>(request.version);
      const members = unwrap(await backend.enforcement(unwrapDecoded(senderOf(context)), version));
      const everywhere = members.every((member) => member.reachable && member.version >= version);
      return { everywhere, members: [...members] };
    },
    async getStatus(_request, context) {
      return encodeStatus(
        unwrap(
          await backend.status(unwrapDecoded(senderOf(context)), deadlineFromTimeout(clock, 0)),
        ),
      );
    },
  });
}

function deadlineFromTimeout(clock: Clock, millis: number): Deadline {
  const bounded = Math.min(millis === 0 ? DEFAULT_TIMEOUT_MILLIS : millis, MAX_TIMEOUT_MILLIS);
  return deadlineAfter(clock.now(), bounded);
}

function parseWorkIds(texts: readonly string[]): Result<WorkId[]> {
  if (texts.length === 0 || texts.length > MAX_CANCELLED_AT_ONCE) {
    return refused('malformed', `expected 1 to ${MAX_CANCELLED_AT_ONCE} work ids`, 'workIds');
  }
  const works: WorkId[] = [];
  for (const [index, text] of texts.entries()) {
    const work = parseWorkId(text, `workIds[${index}]`);
    if (work.kind === 'refused') {
      return work;
    }
    works.push(work.value);
  }
  return done(works);
}

const BEARER_PATTERN = /^Bearer ([a-z0-9-]+)\.(\S+)$/;

/** The key from the Authorization header, or null if the header is missing. */
function senderOf(context: HandlerContext): Result<Sender> {
  const header = context.requestHeader.get('authorization');
  if (header === null) {
    return done(null);
  }
  const [, key, secret] = BEARER_PATTERN.exec(header) ?? [];
  if (key === undefined || secret === undefined) {
    return refused(
      'malformed',
      'expected the header Authorization: Bearer <key id>.<secret>',
      'authorization',
    );
  }
  return done({ key: brandAs<KeyId>(key), secret });
}

function countAcceptance(
  counters: Counters,
  { shape }: WorkRequest,
  { repeated }: Acceptance,
): void {
  if (repeated) {
    counters.increment('work.repeated');
  } else {
    counters.increment('work.accepted', { kind: shape.kind });
  }
}

/**
 * Returns a function that unwraps decoded values and counts refusals by the decoder. The backend
 * counts its own refusals.
 */
function countingUnwrap(counters: Counters) {
  return <Value>(result: Result<Value>): Value => {
    if (result.kind === 'refused') {
      counters.increment(refusalCounter(result.refusal.reason));
    }
    return unwrap(result);
  };
}

/**
 * Returns the value of a result.
 * @throws ConnectError if the result is a refusal.
 */
function unwrap<Value>(result: Result<Value>): Value {
  if (result.kind === 'refused') {
    throw connectErrorOf(result.refusal);
  }
  return result.value;
}
