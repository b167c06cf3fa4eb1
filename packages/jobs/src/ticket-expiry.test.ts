import test from 'ava';
import { brandAs } from '@bamboowell/types/ids';
import type { StepId } from '@bamboowell/types/job';
import {
  configurationOf,
  jobId,
  jobPlan,
  jobQueue,
  stepPlan,
  workerRegistration,
} from './plans.fixture.js';
import { schedulerHarness } from './scheduler.fixture.js';

const ADVICE = { baseMillis: 10, perWorkerMillis: 0.1, validMillis: 2500 };
const W1 = workerRegistration('w1');
const W2 = workerRegistration('w2');
const STEP = brandAs<StepId>(`${jobId(1)}.0.0`);

/** A placed job, whose starts are not stored yet. */
function placedJob(validMillis: Record<string, number>, isGang = false) {
  const harness = schedulerHarness({
    workers: [W1, W2],
    configuration: configurationOf([jobQueue({ advice: ADVICE })]),
  });
  harness.reportFromAll();
  harness.addMember('m1');
  const count = Object.keys(validMillis).length;
  harness.submit(jobPlan(1, { steps: [stepPlan({ count, isGang, maxPerWorker: 1 })] }));
  harness.commit();
  harness.place();
  for (const { id } of [W1, W2]) {
    const millis = validMillis[id];
    if (millis !== undefined) {
      harness.grant(STEP, [id], millis);
    }
  }
  harness.send({ kind: 'place', mayStart: true });
  return harness;
}

// Guards against starts that arrive after their tickets have expired: the worker rejects them.
test('a start whose ticket would expire on its way is not sent, and advice is requested anew at once', (t) => {
  const harness = placedJob({ w1: 1000 });
  const calls = harness.of('ask_advice').length;
  harness.advance(920);
  harness.commit();
  t.deepEqual(harness.starts(), []);
  t.deepEqual(harness.stops(), []);
  t.true(harness.needsPlacement());
  harness.place();
  t.is(harness.of('ask_advice').length, calls + 1);
  t.true(harness.of('ask_advice').at(-1)?.workers.includes(W1.id));
  harness.grant(STEP, [W1.id]);
  t.is(harness.place().length, 1);
});

test('a start whose ticket lasts long enough is sent', (t) => {
  const harness = placedJob({ w1: 1000 });
  harness.advance(880);
  harness.commit();
  t.is(harness.starts().length, 1);
});

// Guards against a part of a gang that is started and has to be stopped again.
test('no start of a gang is sent if the ticket of one of its tasks has expired', (t) => {
  const harness = placedJob({ w1: 2000, w2: 1000 }, true);
  harness.advance(950);
  harness.commit();
  t.deepEqual(harness.starts(), []);
  t.deepEqual(harness.stops(), []);
  harness.place();
  harness.grant(STEP, [W1.id, W2.id]);
  t.is(harness.place().length, 2);
});
