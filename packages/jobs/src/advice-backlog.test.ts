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
const WORKERS = 10;
const CORES = 8;
/** What the fleet has free, and half as much again, in steps of two cores. */
const STEPS_OF_USE = (1.5 * WORKERS * CORES) / 2;

/** A fleet whose queue needs advice, and a hundred members that can ask for it. */
function advisedFleet() {
  const workers = Array.from({ length: WORKERS }, (_, index) =>
    workerRegistration(`w${index}`, { capacity: cores(CORES, 100_000) }),
  );
  const configuration = configurationOf([jobQueue({ advice: ADVICE })], { weight: 1000 });
  const harness = schedulerHarness({ workers, configuration });
  harness.reportFromAll();
  for (let index = 0; index < 100; index += 1) {
    harness.addMember(`m${index}`);
  }
  let submitted = 0;
  const submit = (jobs: number): void => {
    for (let index = 0; index < jobs; index += 1) {
      submitted += 1;
      harness.submit(jobPlan(submitted, { steps: [stepPlan({ count: 2 })] }));
    }
    harness.commit();
  };
  return { harness, submit };
}

// Guards against a backlog whose calls for advice, made again whenever tickets expire, fill the queue
// of every adviser: advice for work that could be on time took twice as long as its decision.
test('a backlog asks for no more advice than the fleet can use', (t) => {
  const { harness, submit } = advisedFleet();
  submit(1000);
  harness.place();
  t.true(harness.of('ask_advice').length <= STEPS_OF_USE);
  for (let pass = 0; pass < 20; pass += 1) {
    harness.advance(20);
    harness.place();
  }
  t.true(harness.of('ask_advice').length <= STEPS_OF_USE);
});

test('work that can be on time asks for advice before a backlog that is late', (t) => {
  const { harness, submit } = advisedFleet();
  submit(1000);
  // Later than three times the objective of the backlog.
  harness.advance(60_000);
  submit(1);
  harness.place();
  const [first] = harness.of('ask_advice');
  t.is(first?.step, stepIdOf(jobId(1001), 0, 0));
});

// Guards against a lasting task that stays away behind a backlog because its job is old.
test('a lasting task asks for advice before a backlog, however old its job is', (t) => {
  const { harness, submit } = advisedFleet();
  harness.submit(jobPlan(9999, { steps: [stepPlan({ isLasting: true })] }));
  harness.commit();
  harness.advance(60_000);
  submit(1000);
  harness.place();
  t.true(harness.of('ask_advice').some(({ step }) => step === stepIdOf(jobId(9999), 0, 0)));
});

test('a step that waits behind is asked about once those before it have started', (t) => {
  const { harness, submit } = advisedFleet();
  submit(STEPS_OF_USE + 5);
  harness.place();
  const asked = harness.of('ask_advice');
  const all = Array.from({ length: WORKERS }, (_, index) => workerRegistration(`w${index}`).id);
  asked.forEach(({ step }) => {
    harness.grant(step, all);
  });
  const starts = harness.place();
  t.is(starts.length, WORKERS * CORES);
  harness.advance(200);
  starts.forEach((start) => {
    harness.answerStart(start);
    harness.end(start, 'done');
  });
  harness.place();
  t.true(harness.of('ask_advice').length > asked.length);
});
