/** Serves the schema's calls from a backend. */

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

/** What the calls are served with. */
export interface RouteOptions {
  readonly backend: Backend;
  readonly clock: Clock;
  readonly counters: Counters;
}

/** Registers both services. */
export function registerRoutes(router: ConnectRouter, parts: RouteOptions): void {
  registerCallers(router, parts);
  registerOperators(router, parts);
}

function registerCallers(router: ConnectRouter, { backend, clock, counters }: RouteOptions): void {
  const decoded = decoderFor(counters);
  const deadlineOf = (millis: number) => deadlineFrom(clock, millis);
  router.service(CallerService, {
    async submit(request, context) {
      const order = decoded(decodeSubmit(request));
      const deadline = deadlineOf(request.timeoutMillis);
      const accepted = valueOf(await backend.submit(decoded(senderOf(context)), order, deadline));
      countAcceptance(counters, order, accepted);
      return { workId: accepted.work, repeated: accepted.repeated };
    },
    async call(request, context) {
      const order = decoded(decodeCall(request));
      const deadline = deadlineOf(request.timeoutMillis);
      const begun = clock.now();
      const called = valueOf(await backend.call(decoded(senderOf(context)), order, deadline));
      counters.increment('call.answered');
      counters.timing('call.millis', clock.now() - begun);
      return { answer: called.answer, worker: called.worker, attemptId: called.attempt };
    },
    async get(request, context) {
      const work = decoded(parseWorkId(request.workId, 'workId'));
      const view = valueOf(await backend.get(decoded(senderOf(context)), work, deadlineOf(0)));
      return { status: encodeWork(view) };
    },
    async *watch(request, context) {
      const work = decoded(parseWorkId(request.workId, 'workId'));
      for await (const view of backend.watch(decoded(senderOf(context)), work, context.signal)) {
        yield { status: encodeWork(valueOf(view)) };
      }
    },
    async cancel(request, context) {
      const works = decoded(workIdsFrom(request.workIds));
      const outcomes = valueOf(
        await backend.cancel(decoded(senderOf(context)), works, deadlineOf(0)),
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
      const work = decoded(parseWorkId(request.workId, 'workId'));
      const { view, sentences } = valueOf(
        await backend.explain(decoded(senderOf(context)), work, deadlineOf(0)),
      );
      return { status: encodeWork(view), sentences: [...sentences] };
    },
  });
}

function registerOperators(
  router: ConnectRouter,
  { backend, clock, counters }: RouteOptions,
): void {
  const decoded = decoderFor(counters);
  router.service(OperatorService, {
    async getConfiguration(_request, context) {
      const { configuration, fresh } = valueOf(
        await backend.configuration(decoded(senderOf(context))),
      );
      return { configuration: encodeConfiguration(configuration), fresh };
    },
    async applyChanges(request, context) {
      const changes = decoded(decodeChanges(request.changes));
      const base = brandAs<Version>(request.base);
      const deadline = deadlineFrom(clock, request.timeoutMillis);
      const version = valueOf(
        await backend.apply(decoded(senderOf(context)), base, changes, deadline),
      );
      return { version };
    },
    async getEnforcement(request, context) {
      const version = brandAs<Version>(request.version);
      const members = valueOf(await backend.enforcement(decoded(senderOf(context)), version));
      const everywhere = members.every((member) => member.reachable && member.version >= version);
      return { everywhere, members: [...members] };
    },
    async getStatus(_request, context) {
      return encodeStatus(
        valueOf(await backend.status(decoded(senderOf(context)), deadlineFrom(clock, 0))),
      );
    },
  });
}

function deadlineFrom(clock: Clock, millis: number): Deadline {
  const bounded = Math.min(millis === 0 ? DEFAULT_TIMEOUT_MILLIS : millis, MAX_TIMEOUT_MILLIS);
  return deadlineAfter(clock.now(), bounded);
}

function workIdsFrom(texts: readonly string[]): Result<WorkId[]> {
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

const BEARER = /^Bearer ([a-z0-9-]+)\.(\S+)$/;

/** The key in the request's header, if there is a header. */
function senderOf(context: HandlerContext): Result<Sender> {
  const header = context.requestHeader.get('authorization');
  if (header === null) {
    return done(null);
  }
  const [, key, secret] = BEARER.exec(header) ?? [];
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

/** Counts what this module itself refuses; the backend counts its own refusals. */
function decoderFor(counters: Counters) {
  return <Value>(result: Result<Value>): Value => {
    if (result.kind === 'refused') {
      counters.increment(refusalCounter(result.refusal.reason));
    }
    return valueOf(result);
  };
}

/** The value, or the refusal thrown as an error of the protocol. */
function valueOf<Value>(result: Result<Value>): Value {
  if (result.kind === 'refused') {
    throw connectErrorOf(result.refusal);
  }
  return result.value;
}
