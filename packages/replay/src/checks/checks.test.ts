import test from 'ava';
import type { Observation } from '../observation.js';
import { GUARANTEES, type Guarantee } from '../trace.js';
import { findViolations } from './all-checks.js';

const SMALL = { millicores: 1000, memoryMib: 512, accelerators: 0, slots: 1 };
const LARGE = { millicores: 8000, memoryMib: 8192, accelerators: 0, slots: 8 };

function worker(capacity = LARGE, name = 'w1'): Observation {
  return { at: 0, saw: 'worker', worker: name, capacity };
}

function configuration(
  changes: Partial<Extract<Observation, { saw: 'configuration' }>> = {},
): Observation {
  return {
    at: 1,
    saw: 'configuration',
    daemon: 'e1',
    version: 1,
    limits: { lab: LARGE },
    keys: { key: 'lab' },
    openQueues: [],
    ...changes,
  };
}

function request(changes: Partial<Extract<Observation, { saw: 'request' }>> = {}): Observation {
  return {
    at: 2,
    saw: 'request',
    request: 'r1',
    daemon: 'e1',
    key: 'key',
    queue: 'runs',
    kind: 'call',
    ...changes,
  };
}

function run(changes: Partial<Extract<Observation, { saw: 'run' }>> = {}): Observation {
  return {
    at: 3,
    saw: 'run',
    worker: 'w1',
    attempt: 't/0#1',
    task: 't/0',
    team: 'lab',
    request: 'r1',
    demand: SMALL,
    idempotent: false,
    ...changes,
  };
}

function runEnded(answer: string | null = 'whole', attempt = 't/0#1'): Observation {
  return { at: 4, saw: 'run_ended', worker: 'w1', attempt, answer };
}

function answer(changes: Partial<Extract<Observation, { saw: 'answer' }>> = {}): Observation {
  return {
    at: 5,
    saw: 'answer',
    request: 'r1',
    verdict: 'done',
    reason: null,
    answer: 'whole',
    work: null,
    ...changes,
  };
}

function daemon(is: Extract<Observation, { saw: 'daemon' }>['is'], at = 0): Observation {
  return { at, saw: 'daemon', daemon: 'e1', is };
}

/** A run in which all points hold. */
function soundRun(): Observation[] {
  return [worker(), daemon('up'), configuration(), request(), run(), runEnded(), answer()];
}

/** For each point, a run that breaks it. */
const BROKEN: Readonly<Record<Guarantee, () => Observation[]>> = {
  no_overcommit: () => [
    worker(SMALL),
    configuration(),
    request(),
    run(),
    run({ attempt: 't/1#1', task: 't/1' }),
  ],
  one_place: () => [
    worker(),
    worker(LARGE, 'w2'),
    configuration(),
    request(),
    run(),
    run({ worker: 'w2', attempt: 't/0#2', idempotent: true }),
  ],
  key_only: () => [worker(), configuration(), request({ key: null }), run(), runEnded(), answer()],
  team_limit: () => [
    worker(),
    configuration({ limits: { lab: SMALL } }),
    request(),
    run(),
    run({ attempt: 't/1#1', task: 't/1' }),
  ],
  own_answer: () => [
    worker(),
    configuration(),
    request(),
    run(),
    runEnded('whole'),
    answer({ answer: 'who' }),
  ],
  not_run_true: () => [
    worker(),
    configuration(),
    request(),
    run(),
    answer({ verdict: 'not_run', answer: null }),
  ],
  at_most_once: () => [
    worker(),
    configuration(),
    request(),
    run(),
    runEnded(null),
    run({ attempt: 't/0#2' }),
  ],
  leaving: () => [
    worker(),
    configuration(),
    { at: 2, saw: 'leaving', worker: 'w1' },
    request(),
    run({ at: 5003 }),
  ],
  graceful: () => [
    worker(),
    daemon('up'),
    configuration(),
    request(),
    daemon('stopping', 3),
    daemon('ended', 4),
  ],
  configuration: () => [
    daemon('up'),
    configuration({ version: 2 }),
    configuration({ version: 1, at: 2 }),
  ],
};

test('a sound run breaks no point', (t) => {
  t.deepEqual(findViolations(soundRun()), []);
});

for (const point of GUARANTEES) {
  test(`the check of ${point} sees a violation, and only that check does`, (t) => {
    const found = findViolations(BROKEN[point]());
    t.deepEqual([...new Set(found.map((violation) => violation.guarantee))], [point]);
  });
}

test('a withdrawn key that is taken after the bound is a violation, before it is not', (t) => {
  const withdrawn = configuration({ at: 10, version: 2, keys: {} });
  const late = [
    configuration(),
    withdrawn,
    request({ at: 5011 }),
    answer({ at: 5012, answer: null }),
  ];
  const early = [
    configuration(),
    withdrawn,
    request({ at: 5009 }),
    answer({ at: 5012, answer: null }),
  ];
  t.deepEqual(
    findViolations(late).map(({ guarantee: point }) => point),
    ['key_only'],
  );
  t.deepEqual(findViolations(early), []);
});

test('a version that is not in force everywhere in time is a violation', (t) => {
  const seen: Observation[] = [
    daemon('up'),
    configuration(),
    { at: 2, saw: 'applied', version: 2 },
    configuration({ at: 8003, daemon: 'e2', version: 2 }),
  ];
  t.deepEqual(
    findViolations(seen).map(({ guarantee: point }) => point),
    ['configuration'],
  );
});

function frozen(is: 'frozen' | 'resumed', at: number): Observation {
  return { at, saw: 'worker_is', worker: 'w1', is };
}

function runTwice(...between: readonly Observation[]): Observation[] {
  const second = run({ at: 6, worker: 'w2', attempt: 't/0#2', idempotent: true });
  return [
    worker(),
    worker(LARGE, 'w2'),
    request(),
    run({ idempotent: true }),
    frozen('frozen', 5),
    second,
    ...between,
  ];
}

test('what is on a frozen worker counts as running once the worker goes on with it', (t) => {
  const stopped = [frozen('resumed', 9), { ...runEnded(null), at: 9 }, daemon('up', 10)];
  t.deepEqual(findViolations([configuration(), ...runTwice(...stopped)]), []);
  t.deepEqual(
    findViolations([configuration(), ...runTwice(frozen('resumed', 9))]).map(
      ({ guarantee: point }) => point,
    ),
    ['one_place'],
  );
});

test('a daemon that was cut off may lag behind, but takes no work by its old version', (t) => {
  const cut = [daemon('up'), configuration(), daemon('cut_off', 2)];
  const newer = configuration({ at: 3, daemon: 'e2', version: 2 });
  const late = [request({ at: 9_000 }), run({ at: 9_001 }), runEnded(), answer({ at: 9_002 })];
  const applied: Observation = { at: 3, saw: 'applied', version: 2 };
  t.deepEqual(findViolations([worker(), ...cut, newer, applied, daemon('paused', 20_000)]), []);
  t.deepEqual(
    findViolations([worker(), ...cut, newer, applied, ...late]).map(
      ({ guarantee: point }) => point,
    ),
    ['configuration'],
  );
});

test('a daemon that was cut off has the latest version in time after it is reached', (t) => {
  const cut = [daemon('up'), configuration(), daemon('cut_off', 2)];
  const newer = configuration({ at: 3, daemon: 'e2', version: 2 });
  t.deepEqual(
    findViolations([...cut, newer, daemon('reached', 20_000), daemon('up', 28_001)]).map(
      ({ guarantee: point }) => point,
    ),
    ['configuration'],
  );
});

test('a daemon that was started again shows no older version than before', (t) => {
  const before = [
    daemon('up'),
    configuration({ version: 2 }),
    daemon('killed', 2),
    daemon('up', 3),
  ];
  const none = configuration({ at: 4, version: 0 });
  t.deepEqual(findViolations([...before, none, configuration({ at: 5, version: 2 })]), []);
  t.deepEqual(
    findViolations([...before, none, configuration({ at: 5, version: 1 })]).map(
      ({ guarantee: point }) => point,
    ),
    ['configuration'],
  );
});

test('an answer that an unreachable owner made unknown counts as cut off while a daemon stops', (t) => {
  const unknown = answer({ verdict: 'may_have_run', reason: 'owner_unreachable', answer: null });
  t.deepEqual(
    findViolations([worker(), configuration(), request(), daemon('stopping', 3), unknown]).map(
      ({ guarantee: point }) => point,
    ),
    ['graceful'],
  );
});

test('work that a lowered limit forbids may not go on running', (t) => {
  const lowered = configuration({ at: 10, version: 2, limits: { lab: { ...SMALL, slots: 0 } } });
  const seen = [worker(), configuration(), request(), run(), lowered, runEnded(null, 'other')];
  t.deepEqual(findViolations(seen), []);
  const later: Observation = { at: 9000, saw: 'leaving', worker: 'w9' };
  t.deepEqual(
    findViolations([...seen, later]).map(({ guarantee: point }) => point),
    ['team_limit'],
  );
});
