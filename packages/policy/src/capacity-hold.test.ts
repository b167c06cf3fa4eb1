import test from 'ava';
import { brandAs, type WorkerId } from '@bamboowell/types/ids';
import { multiply, NO_RESOURCES, subtract } from '@bamboowell/types/resources';
import type { Instant } from '@bamboowell/types/time';
import { BestFit } from './best-fit.js';
import { at, candidateOf, cores, drain, manyOf, orderingOf, team } from './candidates.fixture.js';
import { HOLD_AFTER_MILLIS, OVERDUE_MILLIS } from './fair-share.js';
import { Fleet, NO_SPREAD } from './fleet.js';
import { MAX_HOLD_MILLIS } from './capacity-hold.js';
import type { BlockReason, Candidate } from './ordering.js';

/** 290 steps take less time than `HOLD_AFTER_MILLIS`. */
const STEP_MILLIS = 200;

/**
 * Four workers of four cores, a long backlog of one-core work, and a gang that waits since
 * `gangSince`.
 */
function busyCell(gangSince: number) {
  const fleet = new Fleet();
  const placement = new BestFit();
  const gang = candidateOf('gang', 'a', {
    demand: cores(4),
    gangSize: 2,
    waitingSince: at(gangSince),
  });
  const ordering = orderingOf(gang, ...manyOf('b', 2000, { waitingSince: at(OVERDUE_MILLIS) }));
  const running: WorkerId[] = [];
  for (let worker = 0; worker < 4; worker += 1) {
    const id = brandAs<WorkerId>(`w${worker}`);
    const capacity = cores(4);
    fleet.put({ id, dataCentre: brandAs('dc1'), rack: brandAs('rack1'), capacity }, true);
  }
  return { fleet, placement, ordering, running };
}

type BusyCell = ReturnType<typeof busyCell>;

function tryStart(cell: BusyCell, candidate: Candidate): boolean {
  const taken: WorkerId[] = [];
  for (let task = 0; task < candidate.gangSize; task += 1) {
    const worker = cell.placement.choose(cell.fleet, candidate.demand, NO_SPREAD);
    if (worker === undefined || !cell.fleet.reserve(worker, candidate.demand)) {
      for (const held of taken) {
        cell.fleet.release(held, candidate.demand);
      }
      return false;
    }
    taken.push(worker);
  }
  cell.running.push(...taken);
  cell.ordering.remove(candidate.work);
  cell.ordering.addUsage(candidate.team, multiply(candidate.demand, candidate.gangSize));
  return true;
}

/** Ends the longest running task, then starts what may start; true if the gang started. */
function step(cell: BusyCell, now: Instant): boolean {
  const ended = cell.running.shift();
  if (ended !== undefined) {
    cell.fleet.release(ended, cores(1));
    cell.ordering.addUsage(team('b'), subtract(NO_RESOURCES, cores(1)));
  }
  const round = cell.ordering.round(now);
  for (let next = round.next(); next !== undefined; next = round.next()) {
    if (!tryStart(cell, next)) {
      round.reportBlocked(next, 'no_worker_fits');
    } else if (next.gangSize > 1) {
      return true;
    }
  }
  return false;
}

function stepsUntilGangStarts(cell: BusyCell, from: number, maxSteps: number): number {
  for (let count = 0; count < maxSteps; count += 1) {
    if (step(cell, at(from + count * STEP_MILLIS))) {
      return count;
    }
  }
  return maxSteps;
}

test('a hold lets a waiting gang start that a stream of small work would starve', (t) => {
  const young = busyCell(OVERDUE_MILLIS);
  fillWith(young);
  t.is(stepsUntilGangStarts(young, OVERDUE_MILLIS, 290), 290);
  const old = busyCell(OVERDUE_MILLIS - HOLD_AFTER_MILLIS);
  fillWith(old);
  t.true(stepsUntilGangStarts(old, OVERDUE_MILLIS, 290) < 60);
});

/** Fills all workers with small work. */
function fillWith(cell: BusyCell): void {
  for (const candidate of manyOf('b', 16)) {
    tryStart(cell, candidate);
  }
}

// Guards against capacity that is held for minutes for work that it can't help.
test('work that the fleet can not hold, or its team not run, gets no hold and loses the one it has', (t) => {
  const gang = candidateOf('gang', 'a', { demand: cores(4), gangSize: 3 });
  const ordering = orderingOf(gang, candidateOf('b1', 'b', { waitingSince: at(1) }));
  const tryGang = (reason: BlockReason, millis: number): string[] => {
    const round = ordering.round(at(OVERDUE_MILLIS + millis));
    t.is<string | undefined, string | undefined>(round.next()?.work, 'gang');
    round.reportBlocked(gang, reason);
    return drain(round);
  };
  t.deepEqual(tryGang('fleet_too_small', 1), ['b1']);
  t.is(ordering.heldWork, undefined);
  t.deepEqual(tryGang('no_worker_fits', 2), []);
  t.is<string | undefined, string | undefined>(ordering.heldWork, 'gang');
  t.deepEqual(tryGang('fleet_too_small', 3), ['b1']);
  t.is(ordering.heldWork, undefined);
  t.deepEqual(tryGang('no_worker_fits', 4), []);
  t.deepEqual(tryGang('team_limit_reached', 5), ['b1']);
});

test('a hold for work that never fits ends, and other work starts again', (t) => {
  const never = candidateOf('never', 'a', { demand: cores(64) });
  const ordering = orderingOf(never, candidateOf('b1', 'b', { waitingSince: at(1) }));
  const first = ordering.round(at(OVERDUE_MILLIS));
  t.is<string | undefined, string | undefined>(first.next()?.work, 'never');
  first.reportBlocked(never, 'no_worker_fits');
  t.is<string | undefined, string | undefined>(ordering.heldWork, 'never');
  t.is(first.next(), undefined);
  t.deepEqual(drain(ordering.round(at(OVERDUE_MILLIS + 1))), ['never']);
  const later = at(OVERDUE_MILLIS + MAX_HOLD_MILLIS);
  const next = ordering.round(later);
  t.is<string | undefined, string | undefined>(next.next()?.work, 'never');
  next.reportBlocked(never, 'no_worker_fits');
  t.is(ordering.heldWork, undefined);
  t.deepEqual(drain(next), ['b1']);
});
