import test, { type ExecutionContext } from 'ava';
import { brandAs } from '@bamboowell/types/ids';
import type { StepPlan } from '@bamboowell/types/job';
import type { Deadline } from '@bamboowell/types/time';
import { jobId, jobPlan, stepPlan, workerRegistration } from './plans.fixture.js';
import { runningEntry, schedulerHarness, type ReceivedStart } from './scheduler.fixture.js';

/** Only this worker has the label. */
const SUSPECT = workerRegistration('w1', { labels: ['b', 'r1'] });
const SOUND = [workerRegistration('w2'), workerRegistration('w3')];
/** Longer than a first quarantine, milliseconds. */
const QUARANTINE_OVER_MILLIS = 4100;
/** A task whose turn has come may wait for an idle worker for so long, milliseconds. */
const LONGEST_IDLE_MILLIS = 3000;

function suspectHarness() {
  const harness = schedulerHarness({ workers: [SUSPECT, ...SOUND] });
  harness.reportFromAll();
  let jobs = 0;
  const submit = (step: Partial<StepPlan> = {}): number => {
    jobs += 1;
    harness.submit(jobPlan(jobs, { steps: [stepPlan(step)] }));
    harness.commit();
    return jobs;
  };
  /** Hands in a task that only the suspect may run, and returns its start if there is one. */
  const startOnSuspect = (step: Partial<StepPlan> = {}): ReceivedStart | undefined => {
    submit({ neededLabel: 'b', ...step });
    return harness.place().find(({ incarnation }) => incarnation === SUSPECT.incarnation);
  };
  return { harness, submit, startOnSuspect };
}

type Harness = ReturnType<typeof suspectHarness>['harness'];

/** A harness whose suspect is on probation after its quarantine. */
function probationHarness(t: ExecutionContext) {
  const suspect = suspectHarness();
  const { harness, submit, startOnSuspect } = suspect;
  const starts = [startOnSuspect(), startOnSuspect(), startOnSuspect()];
  submit({ neededLabel: 'a' });
  const elsewhere = harness.place();
  for (const start of starts) {
    harness.end(started(start), 'failed');
    elsewhere.splice(0).forEach((other) => {
      harness.end(other, 'done');
    });
  }
  harness.commit();
  t.deepEqual(standings(harness), ['quarantined']);
  t.deepEqual(harness.place(), []);
  // Otherwise the next placement pass would start them as trials.
  starts.forEach((_, index) => {
    harness.cancel(jobId(index + 1));
  });
  harness.commit();
  harness.advance(QUARANTINE_OVER_MILLIS);
  harness.place();
  t.deepEqual(standings(harness), ['quarantined', 'probation']);
  return suspect;
}

function standings(harness: Harness) {
  return harness
    .of('event')
    .filter(({ name, fields }) => name === 'worker.health' && fields.worker === SUSPECT.id)
    .map(({ fields }) => fields.standing);
}

function started(start: ReceivedStart | undefined): ReceivedStart {
  if (start === undefined) {
    throw new Error('nothing was started on the suspect');
  }
  return start;
}

/** How a trial may end without evidence about its worker. */
const INCONCLUSIVE_ENDS: Record<string, (harness: Harness, trial: ReceivedStart) => void> = {
  'is cancelled': (harness, trial) => {
    harness.cancel(brandAs(trial.task.split('.')[0] ?? ''));
    harness.commit();
    harness.end(trial, 'stopped');
  },
  'is rejected': (harness, trial) => {
    harness.answerStart(trial, { kind: 'no_room' });
    harness.advance(500);
  },
  'vanishes from the reports': (harness, trial) => {
    harness.answerStart(trial);
    harness.advance(10);
    harness.report(trial.incarnation);
  },
  'is lost with its lease': (harness, trial) => {
    const lapsesAt = brandAs<Deadline>(harness.now() + 10);
    harness.send({ kind: 'unreachable', incarnation: trial.incarnation, lapsesAt });
    harness.advance(20);
    harness.place();
    harness.report(trial.incarnation);
  },
};

for (const [how, end] of Object.entries(INCONCLUSIVE_ENDS)) {
  // Guards against a worker that stays closed for good after a trial without evidence (LOST).
  test(`a worker on probation whose trial ${how} gets another one`, (t) => {
    const { harness, startOnSuspect } = probationHarness(t);
    const trial = started(startOnSuspect());
    t.is(startOnSuspect(), undefined, 'one trial at a time');
    end(harness, trial);
    harness.commit();
    t.is(harness.place()[0]?.incarnation, SUSPECT.incarnation);
  });
}

// Guards against a worker that stays closed while a service runs there (LOST).
test('a worker on probation gets another run in time while its trial goes on', (t) => {
  const { harness, startOnSuspect } = probationHarness(t);
  const trial = started(startOnSuspect({ isLasting: true }));
  harness.answerStart(trial);
  t.is(startOnSuspect(), undefined);
  harness.advance(LONGEST_IDLE_MILLIS);
  harness.report(trial.incarnation, [runningEntry(trial)]);
  t.is(harness.place()[0]?.incarnation, SUSPECT.incarnation);
});

test('a trial that is done ends the probation', (t) => {
  const { harness, startOnSuspect } = probationHarness(t);
  harness.end(started(startOnSuspect()), 'done');
  t.deepEqual(standings(harness), ['quarantined', 'probation', 'healthy']);
  t.not(startOnSuspect(), undefined);
  t.not(startOnSuspect(), undefined);
});

test('a trial that fails means another quarantine', (t) => {
  const { harness, startOnSuspect } = probationHarness(t);
  harness.end(started(startOnSuspect()), 'failed');
  t.deepEqual(standings(harness), ['quarantined', 'probation', 'quarantined']);
  t.is(startOnSuspect(), undefined);
});
