/** The Hono application: Connect services, `/healthz` and `/readyz`. */

import { Hono } from 'hono';
import { Code, ConnectError, createConnectRouter, type Interceptor } from '@connectrpc/connect';
import { errorToJson } from '@connectrpc/connect/protocol-connect';
import {
  createAsyncIterable,
  universalServerRequestFromFetch,
  universalServerResponseToFetch,
  type UniversalHandler,
} from '@connectrpc/connect/protocol';
import type { Clock } from '@bamboowell/kernel/clock';
import type { Counters } from '@bamboowell/metrics/counters';
import { refusalCounter } from '@bamboowell/metrics/names';
import { refusalOf, type Refusal } from '@bamboowell/types/verdict';
import type { Backend } from './backend.js';
import { readBody, type Body } from './body.js';
import { connectErrorOf, refusalOfDecodeError } from './failure.js';
import { registerRoutes } from './routes.js';

/** Dependencies and limits of the application. */
export interface AppOptions {
  readonly backend: Backend;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly maxBodyBytes: number;
  /** Whether the load balancer may send requests to this daemon. */
  readonly isReady: () => Promise<boolean>;
}

const OK = 200;
const NOT_READY = 503;
const BAD_REQUEST = 400;
/** HTTP status that the Connect protocol maps `resource_exhausted` to. */
const TOO_LARGE = 429;
const JSON_TYPE = 'application/json';

export function buildApp(options: AppOptions): Hono {
  const app = new Hono();
  app.get('/healthz', (context) => context.text('alive', OK));
  app.get('/readyz', async (context) =>
    (await options.isReady()) ? context.text('ready', OK) : context.text('not ready', NOT_READY),
  );
  for (const handler of handlersOf(options)) {
    app.all(handler.requestPath, (context) => serve(handler, context.req.raw, options));
  }
  app.notFound((context) =>
    context.json({ code: 'not_found', message: 'not run: unknown method' }, 404),
  );
  return app;
}

function handlersOf({ backend, clock, counters, maxBodyBytes }: AppOptions): UniversalHandler[] {
  const router = createConnectRouter({
    readMaxBytes: maxBodyBytes,
    jsonOptions: { ignoreUnknownFields: false },
    interceptors: [streamFailureInterceptor(counters)],
  });
  registerRoutes(router, { backend, clock, counters });
  return router.handlers;
}

/**
 * Adds a Failure to decoder errors within a stream. `withFailure` can't do this, since it handles
 * complete responses only.
 */
function streamFailureInterceptor(counters: Counters): Interceptor {
  return (next) => (request) =>
    next(
      request.stream
        ? { ...request, message: withStreamFailure(request.message, counters) }
        : request,
    );
}

async function* withStreamFailure<Message>(
  messages: AsyncIterable<Message>,
  counters: Counters,
): AsyncIterable<Message> {
  try {
    yield* messages;
  } catch (error) {
    throw connectErrorOf(countRefusal(refusalOfDecodeError(ConnectError.from(error)), counters));
  }
}

function countRefusal(refusal: Refusal, counters: Counters): Refusal {
  counters.increment(refusalCounter(refusal.reason));
  return refusal;
}

async function serve(
  handler: UniversalHandler,
  request: Request,
  options: AppOptions,
): Promise<Response> {
  const { clock, counters } = options;
  const method = handler.method.name;
  const startedAt = clock.now();
  counters.increment('request.received', { method });
  const response = await respond(handler, request, options);
  counters.timing('request.millis', clock.now() - startedAt, { method });
  return response;
}

async function respond(
  handler: UniversalHandler,
  request: Request,
  { counters, maxBodyBytes }: AppOptions,
): Promise<Response> {
  const body = await readBody(request.body, maxBodyBytes);
  if (body.kind !== 'whole') {
    return bodyRefusalResponse(body, maxBodyBytes, counters);
  }
  const answer = await handler({
    ...universalServerRequestFromFetch(request, {}),
    body: createAsyncIterable([...body.chunks]),
  });
  const response = universalServerResponseToFetch(answer);
  const isError = response.status !== OK && response.headers.get('content-type') === JSON_TYPE;
  return isError ? withFailure(response, counters) : response;
}

function bodyRefusalResponse(
  body: Exclude<Body, { kind: 'whole' }>,
  maxBodyBytes: number,
  counters: Counters,
): Response {
  const refusal =
    body.kind === 'broken'
      ? refusalOf('not_run', 'malformed', 'the request body is incomplete')
      : refusalOf('not_run', 'body_too_large', `expected a body of at most ${maxBodyBytes} bytes`);
  const isReusable = body.kind === 'too_large' && body.isFullyRead;
  return new Response(
    JSON.stringify(errorToJson(connectErrorOf(countRefusal(refusal, counters)), {})),
    {
      status: body.kind === 'broken' ? BAD_REQUEST : TOO_LARGE,
      headers: { 'content-type': JSON_TYPE, ...(isReusable ? {} : { connection: 'close' }) },
    },
  );
}

interface ErrorBody {
  readonly code: string;
  readonly message?: string;
  readonly details?: readonly unknown[];
}

/**
 * Adds a Failure to error responses that have none. An error without one is assumed to come from
 * the decoder, which runs before any handler.
 */
async function withFailure(response: Response, counters: Counters): Promise<Response> {
  const body = (await response.json()) as ErrorBody;
  const complete = body.details === undefined ? errorBodyWithFailure(body, counters) : body;
  return new Response(JSON.stringify(complete), {
    status: response.status,
    headers: { 'content-type': JSON_TYPE },
  });
}

const DECODER_CODES: Readonly<Record<string, Code>> = {
  invalid_argument: Code.InvalidArgument,
  resource_exhausted: Code.ResourceExhausted,
};

function errorBodyWithFailure(body: ErrorBody, counters: Counters): unknown {
  const code = DECODER_CODES[body.code] ?? Code.Internal;
  const refusal = refusalOfDecodeError(new ConnectError(body.message ?? '', code));
  return errorToJson(connectErrorOf(countRefusal(refusal, counters)), {});
}
