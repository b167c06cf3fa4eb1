import test from 'ava';
import { SmallestFirst } from '@bamboowell/jobs/ordering';
import { BOOKING_KINDS, jobArrivals } from './job-demand.js';
import { JobModel } from './job-model.js';
import { worthOf } from './jobs.js';

const SEED = 7;

function runModel({ load = 0.2, workers = 33 } = {}) {
  const arrivals = jobArrivals(BOOKING_KINDS, load, 10_000, SEED);
  const ordering = new SmallestFirst();
  const model = new JobModel({ kinds: BOOKING_KINDS, arrivals, ordering, workers, members: 9 });
  return { arrivals, result: model.run() };
}

test('with enough capacity every job ends, nearly all of them on time', (t) => {
  const { arrivals, result } = runModel();
  t.is(result.endedAfter.size, arrivals.length);
  t.true(worthOf(arrivals, result) > 0.95);
});

test('the same seed gives the same ends', (t) => {
  t.deepEqual([...runModel().result.endedAfter], [...runModel().result.endedAfter]);
});

test('with too few workers less of the worth is earned', (t) => {
  const { arrivals, result } = runModel({ load: 1, workers: 8 });
  t.true(worthOf(arrivals, result) < 0.8);
});

test('a job that never ends or ends too late earns nothing', (t) => {
  const { arrivals, result } = runModel();
  const never = { ...result, endedAfter: new Map<string, number>() };
  const late = {
    ...result,
    endedAfter: new Map(arrivals.map(({ plan }) => [plan.id as string, 600_000])),
  };
  t.is(worthOf(arrivals, never), 0);
  t.is(worthOf(arrivals, late), 0);
});
