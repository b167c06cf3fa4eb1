/** HTTP interface of the stand-in log, on 127.0.0.1. LOG.md describes the protocol. */

import type { AddressInfo } from 'node:net';
import { createAdaptorServer, type HttpBindings, type ServerType } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono, type Context } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import { match } from 'ts-pattern';
import { z } from 'zod';
import type { Reply } from '@bamboowell/kernel/ask';
import { SystemClock } from '@bamboowell/kernel/clock';
import { brandAs, type Offset, type StreamName } from '@bamboowell/types/ids';
import { deadlineAfter } from '@bamboowell/types/time';
import { LogStore, type StoreResponse, type StoreMessage } from './log-store.js';
import type { Retention, StreamPage } from './log-stream.js';
import { switchesSchema } from './log-switches.js';

const HOST = '127.0.0.1';
const MAX_BODY_BYTES = 2_000_000;
const MAX_WAIT_MILLIS = 30_000;

const readSchema = z.object({
  from: z.coerce.number().int().min(0),
  waitMillis: z.coerce.number().int().min(0).max(MAX_WAIT_MILLIS).default(0),
});

interface Env {
  Bindings: HttpBindings;
}

/** Serves a log store over HTTP. */
export class LogServer {
  private readonly clock = new SystemClock();
  private readonly store: LogStore;
  private readonly server: ServerType;

  constructor(retention: Retention) {
    this.store = new LogStore(this.clock, retention);
    this.server = createAdaptorServer({ fetch: this.createApp().fetch });
  }

  /** Listens on the port, or on any free one if it is 0, and returns it. */
  async start(port: number): Promise<number> {
    await this.store.start();
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, HOST, resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  async stop(): Promise<void> {
    await this.store.stop();
    await new Promise<void>((resolve) => {
      this.server.close(() => {
        resolve();
      });
      if ('closeAllConnections' in this.server) {
        this.server.closeAllConnections();
      }
    });
  }

  private createApp(): Hono<Env> {
    const app = new Hono<Env>();
    app.use(bodyLimit({ maxSize: MAX_BODY_BYTES }));
    app.post('/streams/:name/entries', (context) => this.append(context));
    app.get('/streams/:name/entries', (context) => this.read(context));
    app.put('/switches', (context) => this.switch(context));
    app.get('/stats', async (context) =>
      context.json(await this.ask((reply) => ({ kind: 'stats', reply }))),
    );
    return app;
  }

  private async append(context: Context<Env>): Promise<Response> {
    const stream = streamOf(context);
    const body = await context.req.text();
    const answered = await this.ask<StoreResponse<Offset>>((reply) => ({
      kind: 'append',
      stream,
      body,
      reply,
    }));
    return respond(context, answered, (offset) => context.json({ offset }));
  }

  private async read(context: Context<Env>): Promise<Response> {
    const query = readSchema.safeParse(context.req.query());
    if (!query.success) {
      return context.json({ error: 'malformed', detail: z.prettifyError(query.error) }, 400);
    }
    const answered = await this.ask<StoreResponse<StreamPage>>((reply) => ({
      kind: 'read',
      stream: streamOf(context),
      from: brandAs<Offset>(query.data.from),
      waitUntil: deadlineAfter(this.clock.now(), query.data.waitMillis),
      reply,
    }));
    return respond(context, answered, (page) =>
      match(page)
        .with({ kind: 'entries' }, ({ entries, next, atEnd }) =>
          context.json({ entries, next, atEnd }),
        )
        .with({ kind: 'expired' }, ({ earliest }) => context.json({ earliest }, 410))
        .exhaustive(),
    );
  }

  private async switch(context: Context<Env>): Promise<Response> {
    const change = switchesSchema.safeParse(await context.req.json().catch(() => undefined));
    if (!change.success) {
      return context.json({ error: 'malformed', detail: z.prettifyError(change.error) }, 400);
    }
    return context.json(
      await this.ask((reply) => ({ kind: 'switch', change: change.data, reply })),
    );
  }

  /** Sends a message to the store. Never settles if the store stops before it replies. */
  private ask<Value>(build: (reply: Reply<Value>) => StoreMessage): Promise<Value> {
    return new Promise((resolve, reject) => {
      const posted = this.store.post(build(resolve));
      if (posted !== 'accepted') {
        reject(new Error(`the log store did not accept the message: its mailbox is ${posted}`));
      }
    });
  }
}

function streamOf(context: Context<Env>): StreamName {
  return brandAs<StreamName>(context.req.param('name') ?? '');
}

function respond<Value>(
  context: Context<Env>,
  answered: StoreResponse<Value>,
  build: (value: Value) => Response,
): Promise<Response> | Response {
  return match(answered)
    .with({ kind: 'answer' }, ({ value }) => build(value))
    .with({ kind: 'refused' }, () => context.json({ error: 'not_taken' }, 503))
    .with({ kind: 'cut' }, () => {
      context.env.outgoing.destroy();
      return RESPONSE_ALREADY_SENT;
    })
    .with({ kind: 'silent' }, () => new Promise<Response>(() => undefined))
    .exhaustive();
}
