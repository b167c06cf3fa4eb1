import test from 'ava';
import { brandAs, type AttemptId, type TeamId, type WorkerId } from '@bamboowell/types/ids';
import type { Resources } from '@bamboowell/types/resources';
import type { Instant } from '@bamboowell/types/time';
import { chooseVictims, type OccupiedWorker, type RunningAttempt } from './preemption.js';

const NOW = brandAs<Instant>(100_000);

function cores(count: number): Resources {
  return { millicores: count * 1000, memoryMib: 0, accelerators: 0, slots: 0 };
}

interface AttemptSetup {
  readonly cores?: number;
  readonly team?: string;
  readonly ranMillis?: number;
}

function attemptOf(
  id: string,
  { cores: count = 1, team = 'rich', ranMillis = 1000 }: AttemptSetup = {},
  more: Partial<RunningAttempt> = {},
): RunningAttempt {
  return {
    attempt: brandAs<AttemptId>(id),
    team: brandAs<TeamId>(team),
    demand: cores(count),
    urgency: 'ordinary',
    idempotent: true,
    checkpointable: false,
    gangSize: 1,
    startedAt: brandAs<Instant>(NOW - ranMillis),
    ...more,
  };
}

function workerOf(id: string, free: number, ...attempts: RunningAttempt[]): OccupiedWorker {
  return { worker: brandAs<WorkerId>(id), free: cores(free), attempts };
}

/** Teams named `rich...` are above their share; the longer the name, the further. */
function victims(need: number, ...workers: OccupiedWorker[]): string[] | undefined {
  const excessOf = (team: TeamId) => (team.startsWith('rich') ? team.length : 0);
  const found = chooseVictims(workers, cores(need), excessOf, NOW);
  return found?.attempts.map(({ attempt }) => attempt);
}

test('never preempts urgent work, or work that is neither idempotent nor checkpointable', (t) => {
  const urgent = attemptOf('urgent', {}, { urgency: 'urgent' });
  const once = attemptOf('once', {}, { idempotent: false });
  const saved = attemptOf('saved', {}, { idempotent: false, checkpointable: true });
  t.is(victims(1, workerOf('w1', 0, urgent, once)), undefined);
  t.deepEqual(victims(1, workerOf('w1', 0, urgent, once, saved)), ['saved']);
  t.is(victims(2, workerOf('w1', 0, urgent, once, saved)), undefined);
});

test('all victims are on one worker', (t) => {
  const split = [workerOf('w1', 0, attemptOf('a')), workerOf('w2', 0, attemptOf('b'))];
  t.is(victims(2, ...split), undefined);
  t.deepEqual(victims(2, ...split, workerOf('w3', 1, attemptOf('c'))), ['c']);
});

test('preempts teams above their share before others, even if more run time is lost', (t) => {
  const poor = attemptOf('poor', { team: 'poor', ranMillis: 1 });
  const rich = attemptOf('rich', { ranMillis: 50_000 });
  t.deepEqual(victims(1, workerOf('w1', 0, poor), workerOf('w2', 0, rich)), ['rich']);
  t.deepEqual(victims(1, workerOf('w1', 0, poor, rich)), ['rich']);
});

test('among equals, preempts the team furthest above its share', (t) => {
  const rich = attemptOf('a', { team: 'rich' });
  const richest = attemptOf('b', { team: 'richest' });
  t.deepEqual(victims(1, workerOf('w1', 0, rich, richest)), ['b']);
});

test('prefers the least lost run time; a checkpoint loses little, a gang loses that of all its tasks', (t) => {
  const young = attemptOf('young', { ranMillis: 7000 });
  const saved = attemptOf('saved', { ranMillis: 90_000 }, { checkpointable: true });
  const gang = attemptOf('gang', { ranMillis: 2000 }, { gangSize: 16 });
  t.deepEqual(victims(1, workerOf('w1', 0, young, saved, gang)), ['saved']);
  t.deepEqual(victims(1, workerOf('w1', 0, young, gang)), ['young']);
});

test('does not preempt small attempts that a larger victim makes unnecessary', (t) => {
  const small = attemptOf('small', { cores: 1, ranMillis: 1 });
  const large = attemptOf('large', { cores: 4, ranMillis: 2 });
  t.deepEqual(victims(4, workerOf('w1', 0, small, large)), ['large']);
});
