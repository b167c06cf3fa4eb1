/** The service that serves callers and operators, and other daemons' requests to shards. */

import { ask } from '@bamboowell/kernel/ask';
import type { Alarm } from '@bamboowell/kernel/clock';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import { Service, type Directory } from '@bamboowell/kernel/service';
import { buildApp } from '@bamboowell/front/app';
import { HttpServer } from '@bamboowell/front/http-server';
import { deadlineAfter, hasPassed, type Deadline } from '@bamboowell/types/time';
import { refusalOf, type Result } from '@bamboowell/types/verdict';
import { readCallerIdentity } from './certificate-files.js';
import type { Environment } from './environment.js';
import {
  CELL,
  COUNTERS,
  EVENTS,
  FRONT,
  MEMBERS,
  ROUTER,
  ROUTING,
  SHARDS,
  type FrontHandle,
} from './keys.js';
import { LocalShards } from './local-shards.js';
import { parseForwardedRequest, SHARD_METHOD } from './peer-messages.js';
import type { RoutingMessage, RoutingTable } from './routing-task.js';

/** How long new requests are accepted after the daemon reports itself unready. */
const UNREADY_DELAY_MILLIS = 1_000;

/** How long the answer to a readiness check may take. */
const READINESS_TIMEOUT_MILLIS = 1_000;

/** How long callers' idle connections stay open; equal to the default of Node's server. */
const IDLE_TIMEOUT_MILLIS = 5_000;

export class FrontService extends Service<FrontHandle> {
  readonly key = FRONT;
  readonly dependencies = [EVENTS, COUNTERS, MEMBERS, CELL, SHARDS, ROUTING, ROUTER];
  private server: HttpServer | undefined;
  private drainAlarm: Alarm | undefined;
  private isStopping = false;
  private announceLeaving: () => void = () => undefined;

  constructor(private readonly environment: Environment) {
    super();
  }

  async start(directory: Directory): Promise<FrontHandle> {
    const { callers } = this.environment.settings;
    const app = buildApp({
      backend: directory.find(ROUTER),
      clock: this.environment.clock,
      counters: directory.find(COUNTERS),
      maxBodyBytes: callers.maxBodyBytes,
      isReady: () => this.canServe(directory.find(ROUTING)),
    });
    const server = new HttpServer(app, {
      host: callers.host,
      port: callers.port,
      tls: callers.tls === undefined ? null : await readCallerIdentity(callers.tls),
      maxConnections: callers.maxConnections,
      headersTimeoutMillis: callers.headerMillis,
      requestTimeoutMillis: callers.requestMillis,
      idleTimeoutMillis: IDLE_TIMEOUT_MILLIS,
    });
    this.server = server;
    this.servePeers(directory);
    const address = await server.listen();
    this.announceLeaving = () => {
      directory.find(MEMBERS).post({ kind: 'leave' });
    };
    directory.find(EVENTS).event('daemon.listening', { host: address.host, port: address.port });
    return {
      ...address,
      setTls: (tls) => {
        server.setTls(tls);
      },
    };
  }

  /** Reports itself unready, then accepts no new connections and answers requests in progress. */
  async stop(deadline: Deadline): Promise<void> {
    const { clock } = this.environment;
    this.isStopping = true;
    this.announceLeaving();
    await clock.sleepUntil(deadlineAfter(clock.now(), UNREADY_DELAY_MILLIS));
    await this.drainBy(deadline);
    this.server?.abort();
  }

  /** Cancels the alarm once all requests are answered, so that it does not keep the process alive. */
  private async drainBy(deadline: Deadline): Promise<void> {
    const deadlineReached = new Promise<void>((resolve) => {
      this.drainAlarm = this.environment.clock.wakeAt(deadline, resolve);
    });
    await Promise.race([this.server?.drain(), deadlineReached]);
    this.drainAlarm?.cancel();
  }

  /** Ready while the configuration is fresh and no shutdown has begun. */
  private async canServe(routing: MailboxAddress<RoutingMessage>): Promise<boolean> {
    const { clock } = this.environment;
    const deadline = deadlineAfter(clock.now(), READINESS_TIMEOUT_MILLIS);
    const table = await ask<RoutingMessage, RoutingTable>(
      routing,
      (reply) => ({ kind: 'read', reply }),
      deadline,
      clock,
    );
    const isFresh = table.kind === 'answered' && !hasPassed(table.value.freshUntil, clock.now());
    return isFresh && !this.isStopping;
  }

  private servePeers(directory: Directory): void {
    const { clock } = this.environment;
    const local = new LocalShards(directory.find(SHARDS), clock);
    const handler = (params: unknown): Promise<Result<unknown>> => {
      const request = parseForwardedRequest(params);
      if (request === undefined) {
        const refusal = refusalOf(
          'not_run',
          'malformed',
          'the request of the other daemon is malformed',
        );
        return Promise.resolve({ kind: 'refused', refusal });
      }
      const deadline = deadlineAfter(clock.now(), request.timeoutMillis);
      return local.ask(request.shard, request.ask, deadline);
    };
    directory.find(MEMBERS).post({ kind: 'serve', method: SHARD_METHOD, handler });
  }
}
