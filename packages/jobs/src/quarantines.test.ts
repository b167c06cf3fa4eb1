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

/** A harness whose suspect has failed on probation, so that its second quarantine has begun. */
function closedHarness(t: ExecutionContext) {
  const suspect = probationHarness(t);
  suspect.harness.end(started(suspect.startOnSuspect()), 'failed');
  suspect.harness.commit();
  suspect.harness.cancel(jobId(5));
  suspect.harness.commit();
  t.deepEqual(standings(suspect.harness), ['quarantined', 'probation', 'quarantined']);
  return suspect;
}

/** When the suspect gets its next starts, milliseconds from now, and how many; undefined if none within 5 s. */
function nextStarts(harness: Harness) {
  const from = harness.now();
  for (let waited = 0; waited < 5000; waited += 100) {
    const starts = harness.place().filter(({ incarnation }) => incarnation === SUSPECT.incarnation);
    if (starts.length > 0) {
      return { afterMillis: harness.now() - from, starts };
    }
    harness.advance(100);
  }
  return undefined;
}

// Guards against services that wait for the rest of a quarantine though their only worker has recovered (LOST).
test('lasting tasks that only a quarantined worker can run are tried there in time, all at once', (t) => {
  const { harness, submit } = closedHarness(t);
  [1, 2, 3].forEach(() => submit({ neededLabel: 'b', isLasting: true }));
  for (let round = 0; round < 3; round += 1) {
    const next = nextStarts(harness);
    t.is(next?.starts.length, 3, `round ${round}`);
    t.true((next?.afterMillis ?? LONGEST_IDLE_MILLIS) < LONGEST_IDLE_MILLIS, `round ${round}`);
    next?.starts.forEach((start) => {
      harness.answerStart(start);
      harness.end(start, 'failed');
    });
    harness.commit();
    t.deepEqual(harness.place(), [], 'not again at once');
  }
  const running = nextStarts(harness)?.starts ?? [];
  running.forEach((start) => {
    harness.answerStart(start);
  });
  harness.report(
    SUSPECT.incarnation,
    running.map((start) => runningEntry(start)),
  );
  t.is(nextStarts(harness), undefined, 'each runs once');
  t.deepEqual(harness.stops(), []);
});

// Guards against jobs that fail because a worker which is known to be bad used up their attempts.
test('tasks that end by themselves, and lasting ones with room elsewhere, are not tried on a quarantined worker', (t) => {
  const { harness, submit } = closedHarness(t);
  submit({ neededLabel: 'b' });
  submit({ neededLabel: 'b', isLasting: true, isGang: true });
  submit({ isLasting: true });
  const elsewhere = harness.place();
  t.is(elsewhere.length, 1);
  t.not(elsewhere[0]?.incarnation, SUSPECT.incarnation);
  harness.advance(3000);
  t.deepEqual(harness.place(), []);
});
