import test from 'ava';
import { brandAs, type TeamId } from '@bamboowell/types/ids';
import { NO_RESOURCES } from '@bamboowell/types/resources';
import { ExcessShares } from './excess-shares.js';
import { ExcessByShare } from './excess-ordering.js';
import { LentRoom } from './lent-room.js';
import { newWorker, type Step } from './model.js';
import { orderingContext, waitingStep } from './ordering.fixture.js';
import { SmallestFirst } from './ordering.js';
import { configurationOf, cores, workerRegistration } from './plans.fixture.js';
import { NEVER } from '@bamboowell/types/time';

const HOT = brandAs<TeamId>('hot');
const QUIET = brandAs<TeamId>('quiet');

/** Two teams, the hot one with three times the weight, on a fleet of 100 cores. */
function sharedContext() {
  const teams = [
    { id: HOT, keys: [], weight: 3, limit: NO_RESOURCES },
    { id: QUIET, keys: [], weight: 1, limit: NO_RESOURCES },
  ];
  const context = orderingContext({ ...configurationOf(), teams });
  const registration = workerRegistration('w1', { capacity: cores(100, 100_000) });
  const worker = newWorker(registration, NEVER);
  context.workers.set(worker.incarnation, worker);
  context.currentIncarnations.set(worker.id, worker);
  context.fleet.setWorkers([worker]);
  return context;
}

function stepsOf(team: TeamId, count: number): Step[] {
  return Array.from({ length: count }, () => waitingStep(100, { team }));
}

function countOf(steps: readonly Step[], team: TeamId): number {
  return steps.filter(({ job }) => job.plan?.team === team).length;
}

test('teams that run no excess get their weighted parts of what starts next', (t) => {
  const steps = new Map([
    [HOT, stepsOf(HOT, 40)],
    [QUIET, stepsOf(QUIET, 40)],
  ]);
  const merged = new ExcessShares().merged(steps, sharedContext());
  t.is(merged.length, 80);
  const counted = countOf(merged.slice(0, 40), QUIET);
  t.true(Math.abs(counted - 10) <= 1, `${counted}`);
});

// Guards against a hot team that keeps all lent capacity: its running excess is charged against its own.
test('a team that runs much excess goes behind one that runs none', (t) => {
  const context = sharedContext();
  context.excessUsage.set(HOT, cores(30));
  const steps = new Map([
    [HOT, stepsOf(HOT, 20)],
    [QUIET, stepsOf(QUIET, 20)],
  ]);
  const shares = new ExcessShares();
  t.is(countOf(shares.merged(steps, context).slice(0, 8), QUIET), 8);
  context.excessUsage.set(HOT, NO_RESOURCES);
  t.true(countOf(shares.merged(steps, context).slice(0, 8), HOT) >= 5);
});

test('promised work goes first, then late work of each team before its newer excess', (t) => {
  const context = sharedContext();
  const ordering = new ExcessByShare(new SmallestFirst(), new LentRoom(context));
  const promised = waitingStep(0, { isExcess: false, team: QUIET, priority: 2 });
  const excess = waitingStep(100, { team: HOT });
  const late = waitingStep(9000, { team: HOT });
  t.deepEqual(ordering.sorted([excess, late, promised], context), [promised, late, excess]);
});
