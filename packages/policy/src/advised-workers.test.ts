import test from 'ava';
import { brandAs, type WorkerId } from '@bamboowell/types/ids';
import {
  MIN_ADVICE_WORKERS,
  MAX_ADVICE_WORKERS,
  workersForAdvice,
  type AdviceCandidate,
} from './advised-workers.js';

const CORES_OF_A_TASK = 4;

/** A worker with so many free cores, for tasks of four. */
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

const ONE_BY_ONE = { tasks: 3, isGang: false, grantedFraction: 0.5 };

test('workers with room are named wherever they stand in the list', (t) => {
  const full = Array.from({ length: 150 }, () => 1);
  const named = workersForAdvice(fleet([...full, 8, 8, 8]), ONE_BY_ONE);
  t.deepEqual(named.slice(0, 3), ['w150', 'w151', 'w152']);
  t.is(named.length, MIN_ADVICE_WORKERS);
});

test('no more are named than will do, and never more than the platform takes', (t) => {
  const free = Array.from({ length: 200 }, () => 4);
  t.is(workersForAdvice(fleet(free), ONE_BY_ONE).length, MIN_ADVICE_WORKERS);
  t.is(workersForAdvice(fleet(free), { ...ONE_BY_ONE, tasks: 20 }).length, 80);
  t.is(workersForAdvice(fleet(free), { ...ONE_BY_ONE, tasks: 90 }).length, MAX_ADVICE_WORKERS);
});

test('where less is granted more are named', (t) => {
  const free = Array.from({ length: 200 }, () => 4);
  const need = { tasks: 10, isGang: false, grantedFraction: 0.25 };
  t.is(workersForAdvice(fleet(free), need).length, 80);
});

test('tasks that start one by one fill nearly full workers, a gang asks for the roomiest', (t) => {
  const free = [4, 32, 8, 16];
  t.deepEqual(workersForAdvice(fleet(free), ONE_BY_ONE), ['w0', 'w2', 'w3', 'w1']);
  const gang = { ...ONE_BY_ONE, isGang: true };
  t.deepEqual(workersForAdvice(fleet(free), gang), ['w1', 'w3', 'w2', 'w0']);
});

test('workers that earlier advice allows go before unknown ones, and count whole', (t) => {
  const known = Array.from({ length: 40 }, (_, number) => candidate(number, 4, number >= 20));
  const named = workersForAdvice(known, { tasks: 10, isGang: false, grantedFraction: 0.1 });
  t.deepEqual(named[0], 'w20');
  t.is(named.length, MIN_ADVICE_WORKERS);
});
