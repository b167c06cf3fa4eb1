import test from 'ava';
import { brandAs, type WorkerId } from '@bamboowell/types/ids';
import {
  MIN_ADVICE_WORKERS,
  MAX_ADVICE_WORKERS,
  workersForAdvice,
  type AdviceCandidate,
} from './advised-workers.js';

const CORES_OF_A_TASK = 4;

/** A worker with the given free cores, for tasks of `CORES_OF_A_TASK` cores. */
function candidate(number: number, freeCores: number, isAllowed = false): AdviceCandidate {
  return {
    worker: brandAs<WorkerId>(`w${number}`),
    fittingTasks: Math.floor(freeCores / CORES_OF_A_TASK),
    freeMillicores: freeCores * 1000,
    isAllowed,
  };
}

function fleet(freeCores: readonly number[]): AdviceCandidate[] {
  return freeCores.map((cores, number) => candidate(number, cores));
}

const INDIVIDUAL_TASKS = { tasks: 3, isGang: false, grantedFraction: 0.5 };

test('workers with free capacity are selected wherever they are in the list', (t) => {
  const full = Array.from({ length: 150 }, () => 1);
  const selected = workersForAdvice(fleet([...full, 8, 8, 8]), INDIVIDUAL_TASKS);
  t.deepEqual(selected.slice(0, 3), ['w150', 'w151', 'w152']);
  t.is(selected.length, MIN_ADVICE_WORKERS);
});

test('selects no more workers than needed, and never more than the platform accepts', (t) => {
  const free = Array.from({ length: 200 }, () => 4);
  t.is(workersForAdvice(fleet(free), INDIVIDUAL_TASKS).length, MIN_ADVICE_WORKERS);
  t.is(workersForAdvice(fleet(free), { ...INDIVIDUAL_TASKS, tasks: 20 }).length, 80);
  t.is(
    workersForAdvice(fleet(free), { ...INDIVIDUAL_TASKS, tasks: 90 }).length,
    MAX_ADVICE_WORKERS,
  );
});

test('selects more workers where a smaller fraction is granted', (t) => {
  const free = Array.from({ length: 200 }, () => 4);
  const need = { tasks: 10, isGang: false, grantedFraction: 0.25 };
  t.is(workersForAdvice(fleet(free), need).length, 80);
});

test('tasks that start individually prefer nearly full workers, a gang prefers the emptiest', (t) => {
  const free = [4, 32, 8, 16];
  t.deepEqual(workersForAdvice(fleet(free), INDIVIDUAL_TASKS), ['w0', 'w2', 'w3', 'w1']);
  const gang = { ...INDIVIDUAL_TASKS, isGang: true };
  t.deepEqual(workersForAdvice(fleet(free), gang), ['w1', 'w3', 'w2', 'w0']);
});

// Guards against gangs in a full fleet that make one call after another, each for a few workers.
test('a gang asks about as many full workers as it takes to hold it', (t) => {
  const full = Array.from({ length: 200 }, () => 1);
  const gang = { tasks: 16, isGang: true, grantedFraction: 0.5 };
  t.is(workersForAdvice(fleet(full), gang).length, 64);
  t.is(workersForAdvice(fleet(full), { ...gang, isGang: false }).length, MIN_ADVICE_WORKERS);
});

test('workers that earlier advice allows come before unknown ones, and count in full', (t) => {
  const known = Array.from({ length: 40 }, (_, number) => candidate(number, 4, number >= 20));
  const selected = workersForAdvice(known, { tasks: 10, isGang: false, grantedFraction: 0.1 });
  t.deepEqual(selected[0], 'w20');
  t.is(selected.length, MIN_ADVICE_WORKERS);
});
