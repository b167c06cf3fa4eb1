import test from 'ava';
import { brandAs } from '@bamboowell/types/ids';
import type { RunNumber } from '@bamboowell/types/job';
import { NEVER, type Deadline, type Instant } from '@bamboowell/types/time';
import { availableWorker } from './available-workers.js';
import { freeAt, outlookOf, planGang, type Outlook } from './gang-plan.js';
import { attachRun, newJob, newOccurrence, newWorker, type Step } from './model.js';
import { cores, jobPlan, jobQueue, stepPlan, workerRegistration } from './plans.fixture.js';

const NOW = brandAs<Instant>(0);

function stepOf(step: Parameters<typeof stepPlan>[0]): Step {
  const plan = jobPlan(1, { steps: [stepPlan(step)] });
  const [first] = newOccurrence(newJob(plan, jobQueue(), brandAs(0)), plan, 0).steps;
  if (first === undefined) {
    throw new Error('the plan has no step');
  }
  return first;
}

/** A worker of eight cores with a run of four cores for each of these estimates, milliseconds. */
function workerWith(name: string, ...estimates: readonly number[]): Outlook {
  const worker = newWorker(workerRegistration(name, { capacity: cores(8, 1000) }), NEVER);
  for (const estimateMillis of estimates) {
    const [task] = stepOf({ demand: cores(4), estimateMillis }).tasks;
    if (task !== undefined) {
      attachRun({
        task,
        number: brandAs<RunNumber>(worker.runs.size + 1),
        worker,
        grant: undefined,
        phase: 'running',
        hasUnansweredStart: false,
        confirmedAt: NOW,
        progress: undefined,
        isIsolated: false,
      });
    }
  }
  return outlookOf(availableWorker(worker), NOW);
}

function gangOf(count: number): Step {
  return stepOf({ count, demand: cores(4), isGang: true });
}

test('a gang is planned for the end of the run that leaves room for all of it', (t) => {
  const candidates = [workerWith('w1', 1000, 9000), workerWith('w2', 3000, 5000)];
  const plan = planGang(gangOf(3), candidates, NOW);
  t.is(plan?.startsAt, brandAs<Deadline>(5000));
  t.deepEqual(
    [...(plan?.tasksByWorker ?? [])].map(([{ id }, tasks]) => [String(id), tasks]),
    [
      ['w2', 2],
      ['w1', 1],
    ],
  );
});

test('a gang for which there is room is planned for now, on workers that hold most of it', (t) => {
  const plan = planGang(gangOf(2), [workerWith('w1', 1000), workerWith('w2')], NOW);
  t.is(plan?.startsAt, brandAs<Deadline>(0));
  t.deepEqual([...(plan?.tasksByWorker.values() ?? [])], [2]);
});

test('a gang for which there is no room when all runs are over has no plan', (t) => {
  t.is(planGang(gangOf(5), [workerWith('w1', 1000), workerWith('w2', 1000)], NOW), undefined);
  t.is(planGang(gangOf(1), [], NOW), undefined);
});

test('what is free at a time includes the runs that are expected to be over by then', (t) => {
  const worker = workerWith('w1', 1000, 9000);
  t.deepEqual(freeAt(worker, brandAs(999)), cores(0, 800));
  t.deepEqual(freeAt(worker, brandAs(1000)), cores(4, 900));
});
