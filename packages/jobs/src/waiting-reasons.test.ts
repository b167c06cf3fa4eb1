import test from 'ava';
import { stepIdOf, type AdviceTiming } from '@bamboowell/types/job';
import {
  configurationOf,
  cores,
  jobId,
  jobPlan,
  jobQueue,
  stepPlan,
  workerRegistration,
} from './plans.fixture.js';
import { schedulerHarness } from './scheduler.fixture.js';

const ADVICE: AdviceTiming = { baseMillis: 20, perWorkerMillis: 1, validMillis: 2500 };
const W1 = workerRegistration('w1', { capacity: cores(2, 1000) });
const W2 = workerRegistration('w2', { capacity: cores(2, 1000) });

/** Two workers with room for two tasks each, and as many members that ask for advice. */
function advisedFleet(members: number) {
  const configuration = configurationOf([jobQueue({ advice: ADVICE })], { weight: 1000 });
  const harness = schedulerHarness({ workers: [W1, W2], configuration });
  harness.reportFromAll();
  for (let index = 0; index < members; index += 1) {
    harness.addMember(`m${index}`);
  }
  return harness;
}

test('steps without tickets wait for a call, for a member to make one, or behind others', (t) => {
  const harness = advisedFleet(1);
  for (let index = 1; index <= 20; index += 1) {
    harness.submit(jobPlan(index));
  }
  harness.commit();
  harness.place();
  // One member takes three calls; four cores and half as many again may be asked for.
  t.deepEqual(harness.waitingReasons(), { advice_open: 3, advice_not_asked: 3, behind: 14 });
});

test('steps with tickets wait for room, and a gang for room for all of it', (t) => {
  const harness = advisedFleet(2);
  harness.submit(jobPlan(1, { steps: [stepPlan({ count: 2 })] }));
  harness.submit(jobPlan(2, { steps: [stepPlan({ count: 1 })] }));
  harness.submit(jobPlan(3, { steps: [stepPlan({ count: 3, isGang: true })] }));
  harness.commit();
  harness.place();
  harness.grant(stepIdOf(jobId(1), 0, 0), [W1.id]);
  harness.place();
  harness.grant(stepIdOf(jobId(2), 0, 0), [W1.id]);
  harness.grant(stepIdOf(jobId(3), 0, 0), [W1.id, W2.id]);
  harness.place();
  t.deepEqual(harness.waitingReasons(), { no_room_granted: 1, no_room_for_gang: 1 });
});

test('a step whose workers are reserved waits for the gang before it', (t) => {
  const harness = advisedFleet(2);
  harness.submit(jobPlan(1, { steps: [stepPlan({ demand: cores(2) })] }));
  harness.submit(jobPlan(2, { steps: [stepPlan({ count: 4, isGang: true, estimateMillis: 1 })] }));
  harness.submit(jobPlan(3, { steps: [stepPlan({ estimateMillis: 9000 })] }));
  harness.commit();
  harness.place();
  harness.grant(stepIdOf(jobId(1), 0, 0), [W1.id]);
  harness.place();
  harness.grant(stepIdOf(jobId(2), 0, 0), [W1.id, W2.id]);
  harness.grant(stepIdOf(jobId(3), 0, 0), [W2.id]);
  harness.place();
  t.deepEqual(harness.waitingReasons(), { no_room_for_gang: 1, reserved_for_gangs: 1 });
});

test('nothing that waits has no reasons', (t) => {
  t.deepEqual(advisedFleet(1).waitingReasons(), {});
});
