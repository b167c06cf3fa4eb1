/** The HTTP application: the Connect calls, health and readiness, mounted in hono. */

import { Hono } from 'hono';
import { Code, ConnectError, createConnectRouter, type Interceptor } from '@connectrpc/connect';
import { errorToJson } from '@connectrpc/connect/protocol-connect';
import {
  universalServerRequestFromFetch,
  universalServerResponseToFetch,
  type UniversalHandler,
} from '@connectrpc/connect/protocol';
import type { Clock } from '@bamboowell/kernel/clock';
import type { Backend } from './backend.js';
import { errorOf, refusalOfDecoding } from './failure.js';
import { registerRoutes } from './routes.js';

/** What the application needs from its surroundings. */
export interface AppOptions {
  readonly backend: Backend;
  readonly clock: Clock;
  readonly maxBodyBytes: number;
  /** Whether the balancer may send requests here. */
  readonly isReady: () => Promise<boolean>;
}

const OK = 200;
const NOT_READY = 503;
const JSON_TYPE = 'application/json';

export function buildApp(options: AppOptions): Hono {
  const app = new Hono();
  app.get('/healthz', (context) => context.text('alive', OK));
  app.get('/readyz', async (context) =>
    (await options.isReady()) ? context.text('ready', OK) : context.text('not ready', NOT_READY),
  );
  for (const handler of handlersOf(options)) {
    app.all(handler.requestPath, (context) => serve(handler, context.req.raw));
  }
  app.notFound((context) =>
    context.json({ code: 'not_found', message: 'not run: there is no such call' }, 404),
  );
  return app;
}

function handlersOf({ backend, clock, maxBodyBytes }: AppOptions): UniversalHandler[] {
  const router = createConnectRouter({
    readMaxBytes: maxBodyBytes,
    jsonOptions: { ignoreUnknownFields: false },
    interceptors: [describingStreams],
  });
  registerRoutes(router, backend, clock);
  return router.handlers;
}

/** Adds a Failure to errors of the decoder within a stream; `withFailure` sees only whole answers. */
const describingStreams: Interceptor = (next) => (request) =>
  next(request.stream ? { ...request, message: described(request.message) } : request);

async function* described<Message>(messages: AsyncIterable<Message>): AsyncIterable<Message> {
  try {
    yield* messages;
  } catch (error) {
    throw errorOf(refusalOfDecoding(ConnectError.from(error)));
  }
}

async function serve(handler: UniversalHandler, request: Request): Promise<Response> {
  const answer = await handler(universalServerRequestFromFetch(request, {}));
  const response = universalServerResponseToFetch(answer);
  const isError = response.status !== OK && response.headers.get('content-type') === JSON_TYPE;
  return isError ? withFailure(response) : response;
}

interface ErrorBody {
  readonly code: string;
  readonly message?: string;
  readonly details?: readonly unknown[];
}

/** Adds a Failure to errors that the decoder made before any handler ran. */
async function withFailure(response: Response): Promise<Response> {
  const body = (await response.json()) as ErrorBody;
  const complete = body.details === undefined ? describe(body) : body;
  return new Response(JSON.stringify(complete), {
    status: response.status,
    headers: { 'content-type': JSON_TYPE },
  });
}

const DECODER_CODES: Readonly<Record<string, Code>> = {
  invalid_argument: Code.InvalidArgument,
  resource_exhausted: Code.ResourceExhausted,
};

function describe(body: ErrorBody): unknown {
  const code = DECODER_CODES[body.code] ?? Code.Internal;
  const refusal = refusalOfDecoding(new ConnectError(body.message ?? '', code));
  return errorToJson(errorOf(refusal), {});
}
