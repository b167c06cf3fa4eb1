/** The platform's log over HTTP, by the protocol in packages/stand-ins/LOG.md. */

import { Agent, errors, type Dispatcher } from 'undici';
import { z } from 'zod';
import type { Clock } from '@bamboowell/kernel/clock';
import { brandAs, type Offset, type StreamName } from '@bamboowell/types/ids';
import { deadlineAfter, millisUntil, type Deadline } from '@bamboowell/types/time';
import { AdaptiveTimeout } from './adaptive-timeout.js';
import { Log, type LogAppendResult, type LogEntry, type Page } from './log.js';

const MAX_RESPONSE_BYTES = 16_000_000;
const MAX_CONNECTIONS = 256;

/** Error codes of failures that happen before a request is sent. */
const UNSENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const offsetSchema = z.int().min(0);
const appendedSchema = z.object({ offset: offsetSchema });
const notTakenSchema = z.object({ error: z.literal('not_taken') });
const expiredSchema = z.object({ earliest: offsetSchema });
const pageSchema = z.object({
  entries: z.array(z.object({ offset: offsetSchema, body: z.string() })),
  next: offsetSchema,
  atEnd: z.boolean(),
});

/** Where the log listens. */
export interface LogAddress {
  readonly host: string;
  readonly port: number;
}

interface Response {
  readonly status: number;
  readonly json: unknown;
}

/** No answer arrived. `sent`: the log may have received the request. */
interface Failure {
  readonly sent: boolean;
  readonly detail: string;
}

export class HttpLog extends Log {
  private readonly agent: Agent;
  /** Timeout of reads, in addition to the time that they wait at the end of the stream. */
  private readonly readTimeout = new AdaptiveTimeout();
  private readonly origin: string;

  constructor(
    address: LogAddress,
    private readonly clock: Clock,
  ) {
    super();
    this.origin = `http://${address.host}:${address.port}`;
    this.agent = new Agent({ connections: MAX_CONNECTIONS, maxResponseSize: MAX_RESPONSE_BYTES });
  }

  async append(stream: StreamName, body: string, deadline: Deadline): Promise<LogAppendResult> {
    const path = `/streams/${encodeURIComponent(stream)}/entries`;
    const response = await this.send({ path, method: 'POST', body }, deadline);
    if (!('status' in response)) {
      return { kind: response.sent ? 'unknown' : 'refused', detail: response.detail };
    }
    const appended = appendedSchema.safeParse(response.json);
    if (response.status === 200 && appended.success) {
      return { kind: 'appended', offset: brandAs<Offset>(appended.data.offset) };
    }
    return {
      kind: isNotTaken(response) ? 'refused' : 'unknown',
      detail: `status ${response.status}`,
    };
  }

  async read(stream: StreamName, from: Offset, waitUntil: Deadline): Promise<Page> {
    const now = this.clock.now();
    const waitMillis = Math.floor(millisUntil(waitUntil, now));
    const deadline = deadlineAfter(
      now,
      waitMillis + millisUntil(this.readTimeout.deadline(now), now),
    );
    const path = `/streams/${encodeURIComponent(stream)}/entries`;
    const query = { from, waitMillis };
    const response = await this.send({ path, method: 'GET', query }, deadline);
    if (!('status' in response)) {
      this.readTimeout.timedOut();
      return { kind: 'unavailable', detail: response.detail };
    }
    this.readTimeout.answered(now, this.clock.now());
    return pageOf(response, from);
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async send(
    options: Pick<Dispatcher.RequestOptions, 'path' | 'method' | 'body' | 'query'>,
    deadline: Deadline,
  ): Promise<Response | Failure> {
    const abort = new AbortController();
    const alarm = this.clock.wakeAt(deadline, () => {
      abort.abort(new Error('deadline passed'));
    });
    try {
      const { statusCode, body } = await this.agent.request({
        ...options,
        origin: this.origin,
        signal: abort.signal,
      });
      return { status: statusCode, json: parseJson(await body.text()) };
    } catch (error) {
      return { sent: !isUnsent(error), detail: describe(error) };
    } finally {
      alarm.cancel();
    }
  }
}

/** Whether the response means that the request had no effect and will have none. */
function isNotTaken({ status, json }: Response): boolean {
  if (status === 503) {
    return notTakenSchema.safeParse(json).success;
  }
  return status === 400 || status === 413;
}

function pageOf({ status, json }: Response, from: Offset): Page {
  if (status === 410) {
    const expired = expiredSchema.safeParse(json);
    if (expired.success && expired.data.earliest > from) {
      return { kind: 'expired', earliest: brandAs<Offset>(expired.data.earliest) };
    }
  }
  const page = pageSchema.safeParse(json);
  if (status !== 200 || !page.success) {
    return { kind: 'unavailable', detail: `status ${status}` };
  }
  const entries = page.data.entries.map(({ offset, body }): LogEntry => ({
    offset: brandAs<Offset>(offset),
    body,
  }));
  const next = brandAs<Offset>(page.data.next);
  if (!isInOrder(entries, from, next)) {
    return { kind: 'unavailable', detail: 'the log returned entries out of order' };
  }
  return { kind: 'entries', entries, next, atEnd: page.data.atEnd };
}

/** Whether the offsets increase, start at `from` or above and end below `next`. */
function isInOrder(entries: readonly LogEntry[], from: Offset, next: Offset): boolean {
  let lowest: number = from;
  for (const { offset } of entries) {
    if (offset < lowest) {
      return false;
    }
    lowest = offset + 1;
  }
  return lowest <= next;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

function isUnsent(error: unknown): boolean {
  if (error instanceof AggregateError) {
    return error.errors.every(isUnsent);
  }
  return UNSENT_CODES.has(codeOf(error));
}

function codeOf(error: unknown): string {
  if (error instanceof errors.UndiciError) {
    return error.code;
  }
  const code = error instanceof Error && 'code' in error ? error.code : undefined;
  return typeof code === 'string' ? code : '';
}

function describe(error: unknown): string {
  return error instanceof Error ? `${codeOf(error)} ${error.message}`.trim() : 'unknown failure';
}
