import test from 'ava';
import { setTimeout as sleep } from 'node:timers/promises';
import { create } from '@bufbuild/protobuf';
import {
  ChangeSchema,
  TaskState,
  type Change,
} from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import {
  submitAccepted,
  allTasksIn,
  startHarness,
  call,
  faultsOf,
  QUEUE,
  refusalIn,
  submit,
  TEAM,
  until,
  untilWork,
  type CellHarness,
  type Outcome,
} from './harness.fixture.js';
import { applyChanges, TEAM_LIMIT, untilInForce } from './setup.js';

const IMPATIENT_MILLIS = 1500;
const READ_MILLIS = 50;
const ROUNDS = 5;

let bench: CellHarness;

test.before(async () => {
  bench = await startHarness();
});

test.after.always(async () => {
  await bench.cell.stop();
});

function putTeam(id: string): Change {
  const value = { id, share: 1, limit: TEAM_LIMIT };
  return create(ChangeSchema, { change: { case: 'putTeam', value: value as never } });
}

interface Reading {
  readonly version: number;
  readonly fresh: boolean;
}

async function read(daemon: string): Promise<Reading> {
  const { configuration, fresh } = await bench.cell.operators(daemon).getConfiguration({});
  return { version: configuration?.version ?? 0, fresh };
}

/** Polls a daemon's configuration version; `stop` ends that and returns all readings. */
function follow(daemon: string): { stop: () => Promise<Reading[]> } {
  const ended = new AbortController();
  const readings: Reading[] = [];
  const reading = (async () => {
    while (!ended.signal.aborted) {
      // A daemon that is down has no version.
      const now = await read(daemon).catch(() => undefined);
      if (now !== undefined) {
        readings.push(now);
      }
      await sleep(READ_MILLIS);
    }
  })();
  return {
    stop: async () => {
      ended.abort();
      await reading;
      return readings;
    },
  };
}

function falls(readings: readonly Reading[]): number {
  const inForce = readings.filter(({ fresh }) => fresh);
  return inForce.filter(({ version }, index) => version < (inForce[index - 1]?.version ?? 0))
    .length;
}

test.serial(
  'of two operators at one base version one wins, and no version goes back',
  async (t) => {
    const [first = '', second = '', third = ''] = bench.cell.daemonIds;
    const followed = bench.cell.daemonIds.map(follow);
    for (let round = 0; round < ROUNDS; round += 1) {
      const { version: base } = await read(first);
      const results = await Promise.all(
        [first, second].map((daemon) =>
          bench.cell
            .operators(daemon)
            .applyChanges({ base, changes: [putTeam(`lab-${daemon}-${round}`)] })
            .then(({ version }) => version, refusalIn),
        ),
      );
      const won = results.filter((result) => typeof result === 'number');
      const lost = results.filter((result) => typeof result !== 'number');
      t.deepEqual(won, [base + 1]);
      t.deepEqual(
        lost.map(({ verdict, reason }) => [verdict, reason]),
        [['not_run', 'configuration_conflict']],
      );
      t.regex(lost[0]?.detail ?? '', new RegExp(`version ${base}\\b.*version ${base + 1}\\b`));
      await untilInForce(bench.cell, base + 1);
    }

    const { version: latest } = await read(first);
    t.teardown(() => bench.cell.switchLog({ down: 'no' }));
    await bench.cell.switchLog({ down: 'refuse' });
    await bench.cell.daemon(third).kill();
    await bench.cell.launchDaemon(third);
    const refusal = await call(bench, third, { timeoutMillis: IMPATIENT_MILLIS });
    t.is(refusal.kind === 'refused' && refusal.verdict, 'not_run');
    const reason = refusal.kind === 'refused' ? refusal.reason : undefined;
    if (reason === 'not_fresh') {
      // Peers handed the configuration over: only the newest one may pass the daemon's own check.
      t.is((await read(third)).version, latest);
    } else {
      t.is(reason, 'configuration_stale');
    }
    await bench.cell.switchLog({ down: 'no' });
    await bench.cell.untilReady(third);
    t.is((await read(third)).version, latest);

    const readings = await Promise.all(followed.map(({ stop }) => stop()));
    t.deepEqual(readings.map(falls), [0, 0, 0]);
    t.true(readings.every((each) => each.some(({ version }) => version === latest)));
    t.deepEqual(await faultsOf(bench), []);
  },
);

test.serial('a repeated request gets the first answer, even if the queue is full', async (t) => {
  const [daemon = '', other = ''] = bench.cell.daemonIds;
  const value = { id: QUEUE, teams: [TEAM], maxWaiting: 1 };
  const change = create(ChangeSchema, { change: { case: 'putQueue', value: value as never } });
  await untilInForce(bench.cell, await applyChanges(bench.cell, [change]));
  // Needs all accelerators of the shard, so that a second one waits.
  const options = { millis: 60_000, demand: { millicores: 1000, accelerators: 2 } };
  const first = await submitAccepted(bench, daemon, 'batch', 1, { ...options, requestId: 'first' });
  await untilWork(bench, daemon, first, allTasksIn(TaskState.RUNNING));
  const second = await submitAccepted(bench, daemon, 'batch', 1, options);
  t.like(await submit(bench, daemon, 'batch', 1, options), {
    kind: 'refused',
    verdict: 'not_run',
    reason: 'queue_full',
  });
  for (const through of [daemon, other]) {
    t.like(await submit(bench, through, 'batch', 1, { ...options, requestId: 'first' }), {
      work: first,
      repeated: true,
    });
  }
  await bench.cell.callers(daemon, bench.key).cancel({ workIds: [first, second] });
  await untilWork(bench, daemon, first, (status) => status.ended);
  t.deepEqual(await faultsOf(bench), []);
});

test.serial('a withdrawn key is refused on every daemon and stays refused', async (t) => {
  const [id = ''] = bench.key.split('.');
  const change = create(ChangeSchema, { change: { case: 'withdrawKey', value: id } });
  const isRefused = (outcome: Outcome): boolean =>
    outcome.kind === 'refused' && outcome.reason === 'key_withdrawn';
  const started = performance.now();
  await applyChanges(bench.cell, [change]);
  for (const daemon of bench.cell.daemonIds) {
    await until(`a refusal by ${daemon}`, () => call(bench, daemon), isRefused);
    t.log(`${daemon} refused the key after ${Math.round(performance.now() - started)} ms`);
  }
  for (const daemon of bench.cell.daemonIds) {
    const outcomes = await Promise.all(Array.from({ length: 5 }, () => call(bench, daemon)));
    t.true(outcomes.every(isRefused));
  }
  t.deepEqual(await faultsOf(bench), []);
});
