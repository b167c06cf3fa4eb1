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

/** A run in which all guarantees hold. */
function correctRun(): Observation[] {
  return [worker(), daemon('up'), configuration(), request(), run(), runEnded(), answer()];
}

/** For each guarantee, a run that violates it. */
const VIOLATING_RUNS: Readonly<Record<Guarantee, () => Observation[]>> = {
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

test('no check finds a violation in a correct run', (t) => {
  t.deepEqual(findViolations(correctRun()), []);
});

for (const guarantee of GUARANTEES) {
  test(`the check of ${guarantee} alone finds a violation in a run that breaks its guarantee`, (t) => {
    const found = findViolations(VIOLATING_RUNS[guarantee]());
    t.deepEqual([...new Set(found.map((violation) => violation.guarantee))], [guarantee]);
  });
}

test('accepting a withdrawn key is a violation only after the grace period', (t) => {
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
    findViolations(late).map(({ guarantee }) => guarantee),
    ['key_only'],
  );
  t.deepEqual(findViolations(early), []);
});

test('a version that is not in force everywhere in time is a violation', (t) => {
  const observations: Observation[] = [
    daemon('up'),
    configuration(),
    { at: 2, saw: 'applied', version: 2 },
    configuration({ at: 8003, daemon: 'e2', version: 2 }),
  ];
  t.deepEqual(
    findViolations(observations).map(({ guarantee }) => guarantee),
    ['configuration'],
  );
});

function workerState(is: 'frozen' | 'resumed', at: number): Observation {
  return { at, saw: 'worker_is', worker: 'w1', is };
}

function runTwiceWhileFrozen(...between: readonly Observation[]): Observation[] {
  const second = run({ at: 6, worker: 'w2', attempt: 't/0#2', idempotent: true });
  return [
    worker(),
    worker(LARGE, 'w2'),
    request(),
    run({ idempotent: true }),
    workerState('frozen', 5),
    second,
    ...between,
  ];
}

test('attempts on a frozen worker count as running only if they continue after it resumes', (t) => {
  const stopped = [workerState('resumed', 9), { ...runEnded(null), at: 9 }, daemon('up', 10)];
  t.deepEqual(findViolations([configuration(), ...runTwiceWhileFrozen(...stopped)]), []);
  t.deepEqual(
    findViolations([configuration(), ...runTwiceWhileFrozen(workerState('resumed', 9))]).map(
      ({ guarantee }) => guarantee,
    ),
    ['one_place'],
  );
});

test('a daemon cut off from the log may lag behind, but may not accept work by its old version', (t) => {
  const cut = [daemon('up'), configuration(), daemon('cut_off', 2)];
  const newer = configuration({ at: 3, daemon: 'e2', version: 2 });
  const late = [request({ at: 9_000 }), run({ at: 9_001 }), runEnded(), answer({ at: 9_002 })];
  const applied: Observation = { at: 3, saw: 'applied', version: 2 };
  t.deepEqual(findViolations([worker(), ...cut, newer, applied, daemon('paused', 20_000)]), []);
  t.deepEqual(
    findViolations([worker(), ...cut, newer, applied, ...late]).map(({ guarantee }) => guarantee),
    ['configuration'],
  );
});

test('a daemon that reaches the log again must adopt the latest version in time', (t) => {
  const cut = [daemon('up'), configuration(), daemon('cut_off', 2)];
  const newer = configuration({ at: 3, daemon: 'e2', version: 2 });
  t.deepEqual(
    findViolations([...cut, newer, daemon('reached', 20_000), daemon('up', 28_001)]).map(
      ({ guarantee }) => guarantee,
    ),
    ['configuration'],
  );
});

test('a restarted daemon may not go back to an older version', (t) => {
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
      ({ guarantee }) => guarantee,
    ),
    ['configuration'],
  );
});

test('an unknown outcome due to an unreachable owner counts as cut off while a daemon stops', (t) => {
  const unknown = answer({ verdict: 'may_have_run', reason: 'owner_unreachable', answer: null });
  t.deepEqual(
    findViolations([worker(), configuration(), request(), daemon('stopping', 3), unknown]).map(
      ({ guarantee }) => guarantee,
    ),
    ['graceful'],
  );
});

test('a team that stays above its lowered limit after the grace period is a violation', (t) => {
  const lowered = configuration({ at: 10, version: 2, limits: { lab: { ...SMALL, slots: 0 } } });
  const observations = [
    worker(),
    configuration(),
    request(),
    run(),
    lowered,
    runEnded(null, 'other'),
  ];
  t.deepEqual(findViolations(observations), []);
  const later: Observation = { at: 9000, saw: 'leaving', worker: 'w9' };
  t.deepEqual(
    findViolations([...observations, later]).map(({ guarantee }) => guarantee),
    ['team_limit'],
  );
});
