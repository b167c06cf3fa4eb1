import test from 'ava';
import { brandAs, type QueueId, type TeamId } from '@bamboowell/types/ids';
import { stepIdOf, type AdviceTiming, type StepPlan } from '@bamboowell/types/job';
import {
  TEAM,
  configurationOf,
  cores,
  jobId,
  jobPlan,
  jobQueue,
  stepPlan,
  workerRegistration,
} from './plans.fixture.js';
import { schedulerHarness } from './scheduler.fixture.js';

const URGENT = brandAs<QueueId>('urgent');
const LABEL = 'b';
/** Two of the ten workers have the label. */
const LABELLED = 2;
const OTHER_TEAM = brandAs<TeamId>('other');

const ADVICE: AdviceTiming = { baseMillis: 20, perWorkerMillis: 1, validMillis: 2500 };
const WORKERS = 10;
const CORES = 8;
/** What the fleet has free, and half as much again, in steps of two cores. */
const STEPS_OF_USE = (1.5 * WORKERS * CORES) / 2;

/** A fleet whose queue needs advice, and a hundred members that can ask for it. */
function advisedFleet() {
  const workers = Array.from({ length: WORKERS }, (_, index) =>
    workerRegistration(`w${index}`, {
      capacity: cores(CORES, 100_000),
      labels: index < LABELLED ? [LABEL, 'r1'] : ['a', 'r1'],
    }),
  );
  const queues = [
    jobQueue({ advice: ADVICE }),
    jobQueue({ id: URGENT, priority: 0, advice: ADVICE }),
  ];
  const { teams, ...rest } = configurationOf(queues, { weight: 1000 });
  const other = { id: OTHER_TEAM, keys: ['other'], weight: 10, limit: cores(8, 0) };
  const configuration = { ...rest, teams: [...teams, other] };
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
  /** One step of the urgent queue, which goes before all others. */
  const submitUrgent = (step: Partial<StepPlan>, team = TEAM, job = 9999): void => {
    harness.submit(jobPlan(job, { queue: URGENT, team, steps: [stepPlan(step)] }));
    harness.commit();
  };
  /** Whether the job has a call for advice. */
  const isAsked = (job: number): boolean =>
    harness.of('ask_advice').some(({ step }) => step === stepIdOf(jobId(job), 0, 0));
  return { harness, submit, submitUrgent, isAsked };
}

const UNSTARTABLE: Readonly<Record<string, Partial<StepPlan>>> = {
  'whose label no worker has': { count: 500, neededLabel: 'unknown' },
  'that is larger than any worker': { count: 50, demand: cores(CORES + 1) },
  'that is a gang larger than the fleet': { count: WORKERS + 1, demand: cores(5), isGang: true },
};

for (const [name, step] of Object.entries(UNSTARTABLE)) {
  // Guards against a step that can never start and takes the advice of all that wait behind it.
  test(`a step ${name} asks for no advice and takes none from those behind it`, (t) => {
    const { harness, submit, submitUrgent, isAsked } = advisedFleet();
    submitUrgent(step);
    submit(10);
    harness.place();
    t.false(isAsked(9999));
    t.is(harness.of('ask_advice').length, 10);
  });
}

// Guards against a backlog for few workers, behind which the others are idle for want of advice.
test('a step for which few workers have the label leaves advice to those that need no label', (t) => {
  const { harness, submit, submitUrgent, isAsked } = advisedFleet();
  submitUrgent({ count: 500, neededLabel: LABEL });
  submit(10);
  harness.place();
  t.true(isAsked(9999));
  t.is(harness.of('ask_advice').length, 11);
});

test('a step of a team that may start few of its tasks leaves advice to other teams', (t) => {
  const { harness, submit, submitUrgent, isAsked } = advisedFleet();
  submitUrgent({ count: 500 }, OTHER_TEAM);
  submit(10);
  harness.place();
  t.true(isAsked(9999));
  t.is(harness.of('ask_advice').length, 11);
});

// Guards against free room that is spoken for by large tasks which don't fit into its parts.
test('in an idle service a step asks for advice though what waits before it uses all that is free', (t) => {
  const { harness, submit, submitUrgent, isAsked } = advisedFleet();
  const spread = stepPlan({ count: WORKERS, maxPerWorker: 1, isLasting: true });
  harness.submit(jobPlan(9000, { steps: [spread] }));
  harness.commit();
  harness.place();
  const all = Array.from({ length: WORKERS }, (_, index) => workerRegistration(`w${index}`).id);
  harness.grant(stepIdOf(jobId(9000), 0, 0), all);
  t.is(harness.place().length, WORKERS);
  submitUrgent({ count: 20, demand: cores(CORES) });
  submitUrgent({ count: 20, demand: cores(CORES) }, TEAM, 9998);
  submit(1);
  harness.place();
  t.true(isAsked(9999));
  t.false(isAsked(1));
  harness.advance(2500);
  harness.place();
  t.true(isAsked(1));
});

// Guards against a backlog for few workers that has jobs refused which need others.
test('what exceeds a promised rate is refused only where it needs room that is short', (t) => {
  const { harness } = advisedFleet();
  const labelled = stepPlan({ count: 10, neededLabel: LABEL });
  for (let job = 1; job <= 50; job += 1) {
    harness.submit(jobPlan(job, { steps: [labelled] }));
  }
  harness.commit();
  harness.place();
  t.true((harness.waitingReasons().behind ?? 0) > 0);
  const answerTo = (job: number, step: StepPlan) => {
    const token = harness.submit(jobPlan(job, { team: OTHER_TEAM, steps: [step] }));
    harness.commit();
    return harness.answers.get(token)?.kind;
  };
  // Far more than the team is promised in two seconds.
  for (let job = 101; job <= 150; job += 1) {
    t.is(answerTo(job, stepPlan()), 'accepted');
  }
  t.is(answerTo(151, labelled), 'refused');
});

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
