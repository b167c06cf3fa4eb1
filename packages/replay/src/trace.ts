/** Parses traces, which are JSON Lines. docs/TRACES.md documents the format. */

import { z } from 'zod';
import { observation } from './observation.js';

const at = z.number().min(0);
const id = z.string().min(1);
const count = z.int().min(0);
const resources = z.strictObject({
  millicores: count,
  memoryMib: count,
  accelerators: count,
  slots: count,
});

const shape = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('service'), replicas: z.int().min(1) }),
  z.strictObject({ kind: z.literal('batch'), tasks: z.int().min(1) }),
  z.strictObject({ kind: z.literal('gang'), tasks: z.int().min(1) }),
]);

const configurationChange = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('put_team'),
    team: z.strictObject({ id, share: z.int().min(1), limit: resources }),
  }),
  z.strictObject({ kind: z.literal('remove_team'), id }),
  z.strictObject({
    kind: z.literal('put_queue'),
    queue: z.strictObject({
      id,
      access: z.discriminatedUnion('kind', [
        z.strictObject({ kind: z.literal('open'), team: id }),
        z.strictObject({ kind: z.literal('teams'), teams: z.array(id) }),
      ]),
      maxWaiting: z.int().min(1),
    }),
  }),
  z.strictObject({ kind: z.literal('remove_queue'), id }),
  /** In a trace, the secret of a key is its id. */
  z.strictObject({ kind: z.literal('grant_key'), id, team: id }),
  z.strictObject({ kind: z.literal('withdraw_key'), id }),
  z.strictObject({
    kind: z.literal('put_data_centre'),
    dataCentre: z.strictObject({ id, region: id }),
  }),
]);

export type ConfigurationChange = z.output<typeof configurationChange>;

const workFields = {
  request: id,
  through: id,
  key: id.nullable().default(null),
  queue: id,
  urgency: z.enum(['urgent', 'ordinary', 'patient']).default('ordinary'),
  demand: resources,
  idempotent: z.boolean().default(false),
  checkpointable: z.boolean().default(false),
  payload: z.string().default(''),
  timeoutMillis: z.int().min(1).default(10_000),
  dataCentre: id.nullable().default(null),
};

const step = z.discriminatedUnion('do', [
  z.strictObject({
    at,
    do: z.literal('add_worker'),
    worker: id,
    dataCentre: id,
    rack: id,
    capacity: resources,
  }),
  z.strictObject({ at, do: z.literal('add_daemon'), daemon: id, region: id, dataCentre: id }),
  z.strictObject({
    at,
    do: z.literal('apply'),
    through: id,
    base: count.nullable().default(null),
    changes: z.array(configurationChange),
    name: id.default('apply'),
  }),
  /**
   * `requestId` is the id that the daemon receives, `request` if absent. Two steps with the same
   * `requestId` but different `request` names submit one request twice.
   */
  z.strictObject({
    at,
    do: z.literal('submit'),
    shape,
    requestId: id.nullable().default(null),
    ...workFields,
  }),
  z.strictObject({ at, do: z.literal('call'), ...workFields }),
  z.strictObject({
    at,
    do: z.literal('cancel'),
    through: id,
    key: id.nullable().default(null),
    requests: z.array(id),
  }),
  z.strictObject({
    at,
    do: z.literal('daemon'),
    daemon: id,
    is: z.enum(['killed', 'paused', 'resumed', 'stopping', 'started']),
  }),
  /** `release`: the appends that failed as `late` take effect now. */
  z.strictObject({ at, do: z.literal('log'), is: z.enum(['down', 'up', 'release']) }),
  /** Latency of each append and read of the log. */
  z.strictObject({ at, do: z.literal('log_delay'), millis: count }),
  /** How far the simulated clock advances between two deliveries of messages. */
  z.strictObject({ at, do: z.literal('pace'), stepMillis: z.int().min(1).max(200) }),
  /** Faults of the next appends, in order, as `AppendFault` in the log package describes them. */
  z.strictObject({
    at,
    do: z.literal('fail_appends'),
    as: z.array(z.enum(['refused', 'answer_lost', 'request_lost', 'late'])),
  }),
  z.strictObject({ at, do: z.literal('cut'), from: z.array(id), to: z.array(id) }),
  z.strictObject({ at, do: z.literal('heal') }),
  z.strictObject({ at, do: z.literal('link'), worker: id, is: z.enum(['silent', 'cut', 'up']) }),
  z.strictObject({
    at,
    do: z.literal('worker'),
    worker: id,
    is: z.enum([
      'failing',
      'working',
      'restarted',
      'leaving',
      'gone',
      'slow',
      'frozen',
      'resumed',
      'repeating',
      'unthrottled',
    ]),
  }),
  z.strictObject({ at, do: z.literal('list'), is: z.enum(['down', 'up', 'lagging']) }),
  z.strictObject({ at, do: z.literal('list_leaving'), id }),
  z.strictObject({ at, do: z.literal('list_gone'), id }),
]);

const expectation = z.discriminatedUnion('expect', [
  z.strictObject({
    at,
    expect: z.literal('answer'),
    request: id,
    verdict: z.enum(['done', 'not_run', 'may_have_run', 'ran', 'lost', 'none_yet']),
    reason: z.string().optional(),
    answer: z.string().optional(),
    repeated: z.boolean().optional(),
  }),
  /** How many attempts of the request's work have started, and on which workers. */
  z.strictObject({
    at,
    expect: z.literal('runs'),
    request: id,
    count: count.optional(),
    atMost: count.optional(),
    worker: id.optional(),
    notOn: id.optional(),
  }),
  z.strictObject({
    at,
    expect: z.literal('state'),
    request: id,
    phases: z.record(z.string(), count),
  }),
  z.strictObject({
    at,
    expect: z.literal('owner'),
    shard: id,
    daemon: id.optional(),
    not: id.optional(),
  }),
  z.strictObject({ at, expect: z.literal('version'), daemon: id, is: count }),
  z.strictObject({
    at,
    expect: z.literal('applied'),
    name: id,
    version: count.optional(),
    reason: z.string().optional(),
  }),
  z.strictObject({
    at,
    expect: z.literal('running'),
    team: id,
    atMost: resources.optional(),
    tasks: count.optional(),
  }),
  /** How often the daemons have logged the event with these fields. */
  z.strictObject({
    at,
    expect: z.literal('logged'),
    event: id,
    fields: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])).default({}),
    atLeast: count.default(0),
    atMost: count.optional(),
  }),
]);

/** Properties that the system guarantees, by their names in traces. Each has a check in checks/. */
export const GUARANTEES = [
  'no_overcommit',
  'one_place',
  'key_only',
  'team_limit',
  'own_answer',
  'not_run_true',
  'at_most_once',
  'leaving',
  'graceful',
  'configuration',
] as const;

export type Guarantee = (typeof GUARANTEES)[number];

const header = z.strictObject({
  trace: id,
  /** The guarantee that the trace exercises. */
  point: z.enum(GUARANTEES),
  /** The kind of failure that the trace causes. */
  failure: id,
  text: z.string(),
  /** `run`: runs steps on the real services. `recorded`: checks observations of an earlier run. */
  mode: z.enum(['run', 'recorded']),
  /** `holds`, or the guarantees whose checks must find a violation. */
  outcome: z.union([
    z.literal('holds'),
    z.strictObject({ flagged: z.array(z.enum(GUARANTEES)).min(1) }),
  ]),
  seed: z.int().default(1),
});

export type Header = z.output<typeof header>;
export type Step = z.output<typeof step>;
export type Expectation = z.output<typeof expectation>;
/** Something read from a trace, with the number of its line. */
export type WithLine<Kind> = { readonly line: number } & Kind;

export interface Trace {
  readonly header: Header;
  readonly steps: readonly WithLine<Step>[];
  readonly expectations: readonly WithLine<Expectation>[];
  readonly observations: readonly WithLine<z.output<typeof observation>>[];
}

/** The text is not a valid trace. Names the first invalid line and the reason. */
export class MalformedTraceError extends Error {
  constructor(
    readonly line: number,
    reason: string,
  ) {
    super(`line ${line}: ${reason}`);
  }
}

/** @throws MalformedTraceError for the first invalid line. */
export function parseTrace(text: string): Trace {
  const lines = text.split('\n').map((content, index) => ({ content, line: index + 1 }));
  const nonEmpty = lines.filter(({ content }) => content.trim() !== '');
  const [first, ...rest] = nonEmpty;
  if (first === undefined) {
    throw new MalformedTraceError(1, 'the trace is empty; expected a header');
  }
  const parsedHeader = validate(header, parseJson(first.content, first.line), first.line);
  const trace = {
    header: parsedHeader,
    steps: [] as WithLine<Step>[],
    expectations: [] as WithLine<Expectation>[],
    observations: [] as WithLine<z.output<typeof observation>>[],
  };
  for (const { content, line } of rest) {
    addLine(trace, parseJson(content, line), line);
  }
  requireTimeOrder(trace);
  return trace;
}

function addLine(
  trace: {
    steps: WithLine<Step>[];
    expectations: WithLine<Expectation>[];
    observations: WithLine<z.output<typeof observation>>[];
    header: Header;
  },
  value: object,
  line: number,
): void {
  if (trace.header.mode === 'recorded') {
    trace.observations.push({ ...validate(observation, value, line), line });
  } else if ('do' in value) {
    trace.steps.push({ ...validate(step, value, line), line });
  } else if ('expect' in value) {
    trace.expectations.push({ ...validate(expectation, value, line), line });
  } else {
    throw new MalformedTraceError(line, 'expected a member `do` or `expect`');
  }
}

function parseJson(content: string, line: number): object {
  try {
    const value: unknown = JSON.parse(content);
    if (typeof value === 'object' && value !== null) {
      return value;
    }
  } catch (error) {
    throw new MalformedTraceError(line, error instanceof Error ? error.message : String(error));
  }
  throw new MalformedTraceError(line, 'expected a JSON object');
}

function validate<Schema extends z.ZodType>(
  schema: Schema,
  value: unknown,
  line: number,
): z.output<Schema> {
  const parsed = schema.safeParse(value);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    throw new MalformedTraceError(
      line,
      `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'is invalid'}`,
    );
  }
  return parsed.data;
}

function requireTimeOrder({ steps, expectations, observations }: Omit<Trace, 'header'>): void {
  const lines = [...steps, ...expectations, ...observations].sort(
    (left, right) => left.line - right.line,
  );
  for (const [index, entry] of lines.entries()) {
    const previous = lines[index - 1];
    if (previous !== undefined && previous.at > entry.at) {
      throw new MalformedTraceError(
        entry.line,
        `at ${entry.at} follows at ${previous.at}; times must not decrease`,
      );
    }
  }
}
