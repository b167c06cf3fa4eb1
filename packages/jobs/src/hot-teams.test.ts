import test from 'ava';
import type { AdviceTiming } from '@bamboowell/types/job';
import type { Resources } from '@bamboowell/types/resources';
import { NO_RESOURCES } from '@bamboowell/types/resources';
import { configurationOf, cores, jobPlan, jobQueue, workerRegistration } from './plans.fixture.js';
import { schedulerHarness } from './scheduler.fixture.js';

const ADVICE: AdviceTiming = { baseMillis: 20, perWorkerMillis: 1, validMillis: 2500 };
const IDS = ['w1', 'w2'].map((name) => workerRegistration(name).id);

/** Two workers of four cores, and a team with a promised rate and a limit that sends many jobs. */
function hotTeam(jobsPerSecond: number, limit: Resources) {
  const queues = [jobQueue({ advice: ADVICE })];
  const workers = ['w1', 'w2'].map((name) =>
    workerRegistration(name, { capacity: cores(4, 10_000) }),
  );
  const configuration = configurationOf(queues, { weight: jobsPerSecond, limit });
  const harness = schedulerHarness({ workers, configuration });
  harness.reportFromAll();
  for (let index = 0; index < 50; index += 1) {
    harness.addMember(`m${index}`);
  }
  let submitted = 0;
  const submit = (count: number) =>
    Array.from({ length: count }, () => {
      submitted += 1;
      const token = harness.submit(jobPlan(submitted));
      harness.commit();
      return harness.answers.get(token);
    });
  const grantAll = (): void => {
    harness.of('ask_advice').forEach(({ step }) => {
      harness.grant(step, IDS);
    });
  };
  return { harness, submit, grantAll };
}

// Guards against a team that sends several times its usual and is at its limit: hundreds of steps that
// may not start asked for advice, and again whenever it expired.
test('work of a team at its limit asks for no advice', (t) => {
  const { harness, submit, grantAll } = hotTeam(1000, cores(2, 10_000));
  submit(2);
  harness.place();
  grantAll();
  t.is(harness.place().length, 2);
  const asked = harness.of('ask_advice').length;
  submit(20);
  harness.place();
  t.is(harness.of('ask_advice').length, asked);
  t.deepEqual(harness.waitingReasons(), { team_limit: 20 });
});

// Guards against jobs that are taken in though others wait for room already, and never run.
test('what exceeds the promised rate is refused at once while work waits for room', (t) => {
  const { harness, submit } = hotTeam(20, NO_RESOURCES);
  submit(40);
  harness.place();
  const [answer] = submit(1);
  t.like(answer, { kind: 'refused', reason: 'overloaded' });
  t.true(answer?.kind === 'refused' && (answer.retryAfterSeconds ?? 0) >= 1);
});

test('what exceeds the promised rate is refused at once while the team is at its limit', (t) => {
  const { harness, submit, grantAll } = hotTeam(1, cores(2, 10_000));
  submit(2);
  harness.place();
  grantAll();
  t.is(harness.place().length, 2);
  t.like(submit(1)[0], { kind: 'refused', reason: 'overloaded' });
});

test('what exceeds the promised rate is taken while there is room', (t) => {
  const { harness, submit } = hotTeam(1, NO_RESOURCES);
  submit(2);
  harness.place();
  t.like(submit(1)[0], { kind: 'accepted' });
});
