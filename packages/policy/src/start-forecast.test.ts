import test from 'ava';
import { brandAs } from '@bamboowell/types/ids';
import { NEVER, type Deadline, type Instant } from '@bamboowell/types/time';
import { FreedCapacity, forecastStart, type Competition, type Room } from './start-forecast.js';

const NOW = brandAs<Instant>(10_000);
const NOTHING_AHEAD: Competition = {
  waitingMillicores: 0,
  arrivingFraction: 0,
  meanRunMillis: 1000,
};

function endsAt(...millis: number[]): FreedCapacity {
  return new FreedCapacity(
    millis.map((each) => ({ at: brandAs<Deadline>(NOW + each), millicores: 1000 })),
  );
}

function room(changes: Partial<Room> = {}): Room {
  return { free: 0, freed: endsAt(300, 100, 200), usableFraction: 1, ...changes };
}

function tasks(count: number, isGang = false) {
  return { firstTask: 1000, whole: count * 1000, isGang };
}

/** Forecast in milliseconds from now. */
function millisOf(...given: Parameters<typeof forecastStart>) {
  const { first, last } = forecastStart(...given);
  return { first: first - NOW, last: last - NOW };
}

/** When the tasks of a queue start that is served in order by workers that are free at these times. */
function simulatedStarts(freeAt: readonly number[], waiting: number, runMillis: number): number[] {
  const free = [...freeAt];
  return Array.from({ length: waiting }, () => {
    free.sort((left, right) => left - right);
    const start = free.shift() ?? 0;
    free.push(start + runMillis);
    return start;
  });
}

test('work with room starts now', (t) => {
  const forecast = millisOf(tasks(2), room({ free: 2000 }), NOTHING_AHEAD, NOW);
  t.deepEqual(forecast, { first: 0, last: 0 });
});

// Guards against forecasts that leave out what waits, or the turnover of the fleet: with either, the queue of
// an overloaded fleet grows without bound.
test('forecasts are those of a simulated queue', (t) => {
  const ends = Array.from({ length: 50 }, (_, index) => (index * 373) % 2000);
  for (const waiting of [0, 10, 49, 50, 120, 400]) {
    const starts = simulatedStarts(ends, waiting + 20, 1500);
    const competition = {
      ...NOTHING_AHEAD,
      waitingMillicores: waiting * 1000,
      meanRunMillis: 1500,
    };
    const { first, last } = millisOf(tasks(20), room({ freed: endsAt(...ends) }), competition, NOW);
    t.true(Math.abs(first - (starts[waiting] ?? 0)) <= 10, `first behind ${waiting}`);
    t.true(Math.abs(last - (starts[waiting + 19] ?? 0)) <= 10, `last behind ${waiting}`);
  }
});

test('a gang starts when there is room for all its tasks', (t) => {
  const { first, last } = millisOf(tasks(3, true), room(), NOTHING_AHEAD, NOW);
  t.is(first, last);
  t.true(Math.abs(first - 300) <= 5);
});

// Guards against a gang that is forecast to start in the room that its own tasks leave when they end.
test('a gang that is larger than all capacity never starts', (t) => {
  t.is(forecastStart(tasks(4, true), room(), NOTHING_AHEAD, NOW).last, NEVER);
  t.not(forecastStart(tasks(4), room(), NOTHING_AHEAD, NOW).last, NEVER);
});

test('what is too small for a task is not counted as freed', (t) => {
  const { last } = millisOf(tasks(2), room({ usableFraction: 0.7 }), NOTHING_AHEAD, NOW);
  t.true(Math.abs(last - 300) <= 5);
});

test('work that arrives later and goes before takes its part of what is freed', (t) => {
  const competition = { ...NOTHING_AHEAD, arrivingFraction: 0.5 };
  const { first } = millisOf(tasks(1), room(), competition, NOW);
  t.true(Math.abs(first - 200) <= 5);
  const all = forecastStart(tasks(1), room(), { ...competition, arrivingFraction: 1 }, NOW);
  t.is(all.first, NEVER);
});

test('work that never ends frees nothing', (t) => {
  const freed = new FreedCapacity([{ at: NEVER, millicores: 1000 }]);
  t.is(forecastStart(tasks(1), room({ freed }), NOTHING_AHEAD, NOW).first, NEVER);
});
