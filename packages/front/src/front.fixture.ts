/** Test harness: the application on a fake backend, called in-process without a socket. */

import { fromBinary } from '@bufbuild/protobuf';
import type { Hono } from 'hono';
import { FailureSchema, Verdict } from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import { MemoryCounters } from '@bamboowell/metrics/counters';
import { ManualClock } from '@bamboowell/kernel/manual-clock';
import type { Change, Configuration } from '@bamboowell/types/declarations';
import {
  attemptIdOf,
  brandAs,
  taskIdOf,
  type MemberId,
  type QueueId,
  type ShardId,
  type TeamId,
  type Version,
  type WorkerId,
  type WorkId,
} from '@bamboowell/types/ids';
import type { Deadline } from '@bamboowell/types/time';
import { done, type Result } from '@bamboowell/types/verdict';
import { buildApp } from './app.js';
import {
  Backend,
  type Acceptance,
  type CallAnswer,
  type CancelOutcome,
  type CellStatus,
  type Explanation,
  type MemberVersion,
  type WorkRequest,
  type Sender,
  type WorkView,
} from './backend.js';

export const WORK = brandAs<WorkId>('nairobi-1:holds:w1');
export const MAX_BODY_BYTES = 20_000;

/** The result that the fake backend returns for each method. */
export interface Answers {
  readonly submit: Result<Acceptance>;
  readonly call: Result<CallAnswer>;
  readonly get: Result<WorkView>;
  readonly watch: readonly Result<WorkView>[];
  readonly cancel: Result<readonly CancelOutcome[]>;
  readonly explain: Result<Explanation>;
  readonly configuration: Result<{ configuration: Configuration; fresh: boolean }>;
  readonly apply: Result<Version>;
  readonly enforcement: Result<readonly MemberVersion[]>;
  readonly status: Result<CellStatus>;
}

/** A call that reached the backend, with its arguments. */
export interface ReceivedCall {
  readonly call: keyof Answers;
  readonly sender: Sender;
  readonly request?: WorkRequest;
  readonly works?: readonly WorkId[];
  readonly changes?: readonly Change[];
  readonly base?: Version;
  readonly deadline?: Deadline;
}

export function workView(changes: Partial<WorkView> = {}): WorkView {
  const task = taskIdOf(WORK, 0);
  return {
    work: WORK,
    team: brandAs<TeamId>('holds'),
    queue: brandAs<QueueId>('nightly'),
    kind: 'batch',
    ended: false,
    shard: brandAs<ShardId>('nairobi-1'),
    tasks: [{ task, phase: 'running', worker: 'w-1', attempts: 1, answer: '', detail: '' }],
    ...changes,
  };
}

export function emptyConfiguration(): Configuration {
  return {
    version: brandAs<Version>(7),
    teams: new Map(),
    queues: new Map(),
    keys: new Map(),
    dataCentres: new Map(),
  };
}

function defaultAnswers(): Answers {
  const member = brandAs<MemberId>('entry-1');
  const version = brandAs<Version>(7);
  const attempt = attemptIdOf(taskIdOf(WORK, 0), 1);
  return {
    submit: done({ work: WORK, repeated: false }),
    call: done({ answer: 'yes', worker: brandAs<WorkerId>('w-1'), attempt }),
    get: done(workView()),
    watch: [done(workView()), done(workView({ ended: true }))],
    cancel: done([{ work: WORK, verdict: 'ran', reason: null }]),
    explain: done({ view: workView(), sentences: ['It waits for room.'] }),
    configuration: done({ configuration: emptyConfiguration(), fresh: true }),
    apply: done(version),
    enforcement: done([{ member, version, reachable: true }]),
    status: done({ member, version, fresh: true, shards: [], members: [] }),
  };
}

class FakeBackend extends Backend {
  readonly calls: ReceivedCall[] = [];

  constructor(private readonly answers: Answers) {
    super();
  }

  submit(sender: Sender, request: WorkRequest, deadline: Deadline) {
    return this.answer('submit', { sender, request, deadline });
  }

  call(sender: Sender, request: WorkRequest, deadline: Deadline) {
    return this.answer('call', { sender, request, deadline });
  }

  get(sender: Sender, work: WorkId, deadline: Deadline) {
    return this.answer('get', { sender, works: [work], deadline });
  }

  async *watch(sender: Sender, work: WorkId) {
    yield* await this.answer('watch', { sender, works: [work] });
  }

  cancel(sender: Sender, works: readonly WorkId[], deadline: Deadline) {
    return this.answer('cancel', { sender, works, deadline });
  }

  explain(sender: Sender, work: WorkId, deadline: Deadline) {
    return this.answer('explain', { sender, works: [work], deadline });
  }

  configuration(sender: Sender) {
    return this.answer('configuration', { sender });
  }

  apply(sender: Sender, base: Version, changes: readonly Change[], deadline: Deadline) {
    return this.answer('apply', { sender, base, changes, deadline });
  }

  enforcement(sender: Sender) {
    return this.answer('enforcement', { sender });
  }

  status(sender: Sender, deadline: Deadline) {
    return this.answer('status', { sender, deadline });
  }

  private answer<Call extends keyof Answers>(
    call: Call,
    details: Omit<ReceivedCall, 'call'>,
  ): Promise<Answers[Call]> {
    this.calls.push({ call, ...details });
    return Promise.resolve(this.answers[call]);
  }
}

export interface FrontHarness {
  readonly app: Hono;
  readonly calls: readonly ReceivedCall[];
  readonly clock: ManualClock;
  readonly counters: MemoryCounters;
}

/** An application whose backend returns the default answers, overridden by `answers`. */
export function frontHarness(answers: Partial<Answers> = {}, isReady = true): FrontHarness {
  const backend = new FakeBackend({ ...defaultAnswers(), ...answers });
  const clock = new ManualClock(1_000);
  const counters = new MemoryCounters();
  const app = buildApp({
    backend,
    clock,
    counters,
    maxBodyBytes: MAX_BODY_BYTES,
    isReady: () => Promise.resolve(isReady),
  });
  return { app, calls: backend.calls, clock, counters };
}

const PACKAGE = '/bamboowell.v1.';

export const CALLER = `${PACKAGE}CallerService/`;
export const OPERATOR = `${PACKAGE}OperatorService/`;

export interface JsonResponse {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

/** Posts a body verbatim, with the Connect protocol's JSON content type. */
export async function postText(
  app: Hono,
  path: string,
  text: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<JsonResponse> {
  const response = await app.request(path, {
    method: 'POST',
    headers: { 'content-type': 'application/json', ...headers },
    body: text,
  });
  return { status: response.status, body: (await response.json()) as Record<string, unknown> };
}

export function post(
  app: Hono,
  path: string,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<JsonResponse> {
  return postText(app, path, JSON.stringify(body), headers);
}

/** The Failure message of an error, decoded. */
export interface DecodedFailure {
  readonly verdict: string;
  readonly reason: string;
  readonly field: string;
  readonly detail: string;
  readonly work: string;
}

/** Decodes the Failure in the details of a Connect error; undefined if there is none. */
export function failureOf(error: Record<string, unknown>): DecodedFailure | undefined {
  const details = (error.details ?? []) as { type: string; value: string }[];
  const detail = details.find(({ type }) => type === FailureSchema.typeName);
  if (detail === undefined) {
    return undefined;
  }
  const failure = fromBinary(FailureSchema, Buffer.from(detail.value, 'base64'));
  return {
    verdict: Verdict[failure.verdict],
    reason: failure.reason,
    field: failure.field,
    detail: failure.detail,
    work: failure.workId,
  };
}

/** A valid submission, with `changes` applied. */
export function submission(changes: object = {}): Record<string, unknown> {
  return {
    queue: 'nightly',
    requestId: 'r-1',
    batch: { tasks: 3 },
    demand: { millicores: 500, memoryMib: 256 },
    payload: 'p',
    ...changes,
  };
}

/** A valid quick call, with `changes` applied. */
export function quickCall(changes: object = {}): Record<string, unknown> {
  return { queue: 'quick', requestId: 'r-1', payload: 'p', ...changes };
}
