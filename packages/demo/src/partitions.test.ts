import test, { type ExecutionContext } from 'ava';
import {
  MemberStart,
  ownerSide,
  Partition,
  storeSide,
} from '@bamboowell/platform/disturbances.fixture';
import { run, type DisturbedRun } from '@bamboowell/platform/disturbed-run.fixture';
import type { RunHistory } from '@bamboowell/platform/run-history.fixture';

const CUT_MILLIS = 12_000;
const OUTAGE_MILLIS = 8000;
/** Longer than the cuts, and shorter: these tasks end while nobody can tell the next owner. */
const LONG = { id: '5c0e7a21d94b36f1', tasks: 4, workMillis: 25_000 };
const SHORT = { id: '5c0e7a21d94b36f2', tasks: 4, workMillis: 6000 };

const PLAN: Omit<DisturbedRun, 'disturbances'> = {
  members: 5,
  workers: 4,
  jobs: [LONG, SHORT],
  // What the cut held up arrives, and the lists of all runs are read.
  calmMillis: 4000,
};

async function runLogged(t: ExecutionContext, plan: DisturbedRun): Promise<RunHistory> {
  const history = await run(plan);
  if (history.violations.length > 0 || history.lapses > 0) {
    t.log(history.lines.join('\n'));
  }
  return history;
}

// Guards against an owner without the store that renews leases which the next owner takes for ended.
test('no task runs twice while the owner and another member are cut off from the store', async (t) => {
  const cut = new Partition(0, CUT_MILLIS, ownerSide(1));
  const history = await runLogged(t, { ...PLAN, disturbances: [cut] });
  t.deepEqual(history.violations, []);
});

test('no task runs twice while the owner is cut off and a member starts', async (t) => {
  const disturbances = [new Partition(0, CUT_MILLIS, ownerSide(0)), new MemberStart(500)];
  const history = await runLogged(t, { ...PLAN, disturbances });
  t.deepEqual(history.violations, []);
});

test('running work goes on while the store is away for all processes', async (t) => {
  const outage = new Partition(0, OUTAGE_MILLIS, storeSide);
  const history = await runLogged(t, { ...PLAN, jobs: [LONG], disturbances: [outage] });
  t.deepEqual(history.violations, []);
  t.is(history.lapses, 0);
  t.is(history.starts, LONG.tasks);
});
