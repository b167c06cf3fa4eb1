import test from 'ava';
import fc from 'fast-check';
import { brandAs, type TeamId, type WorkId, type WorkerId } from '@bamboowell/types/ids';
import {
  fits,
  multiply,
  NOTHING,
  resourcesOf,
  subtract,
  type Resources,
} from '@bamboowell/types/resources';
import type { Instant } from '@bamboowell/types/time';
import { BestFit } from './best-fit.js';
import { FairShare, HOLD_AFTER_MILLIS, OVERDUE_MILLIS, OVERDUE_TURN } from './fair-share.js';
import { Fleet, NO_SPREAD } from './fleet.js';
import { HOLD_MILLIS } from './hold.js';
import type { Candidate, Round } from './ordering.js';

const CAPACITY = resourcesOf(() => 100_000);

function at(millis: number): Instant {
  return brandAs<Instant>(millis);
}

function team(id: string): TeamId {
  return brandAs<TeamId>(id);
}

function cores(count: number): Resources {
  return { millicores: count * 1000, memoryMib: 0, accelerators: 0, slots: 0 };
}

function candidateOf(id: string, teamId: string, more: Partial<Candidate> = {}): Candidate {
  return {
    work: brandAs<WorkId>(id),
    team: team(teamId),
    queue: brandAs(`queue-${teamId}`),
    urgency: 'ordinary',
    demand: cores(1),
    together: 1,
    waitingSince: at(0),
    ...more,
  };
}

function orderingOf(...candidates: Candidate[]): FairShare {
  const ordering = new FairShare();
  ordering.setCapacity(CAPACITY);
  for (const candidate of candidates) {
    ordering.put(candidate);
  }
  return ordering;
}

function drain(round: Round): string[] {
  const found: string[] = [];
  for (let next = round.next(); next !== undefined; next = round.next()) {
    found.push(next.work);
  }
  return found;
}

/** Starts what the round returns until `count` units of work run; counts them by team. */
function startUnits(ordering: FairShare, count: number): Map<TeamId, number> {
  const started = new Map<TeamId, number>();
  const round = ordering.round(at(0));
  for (let unit = 0; unit < count; unit += 1) {
    const next = round.next();
    if (next === undefined) {
      break;
    }
    ordering.remove(next.work);
    ordering.addUsage(next.team, next.demand);
    started.set(next.team, (started.get(next.team) ?? 0) + 1);
  }
  return new Map([...started].sort());
}

function manyOf(teamId: string, count: number, more: Partial<Candidate> = {}): Candidate[] {
  return Array.from({ length: count }, (_, index) =>
    candidateOf(`${teamId}${index}`, teamId, more),
  );
}

test('urgent work goes first, then ordinary before patient, then the oldest', (t) => {
  const ordering = orderingOf(
    candidateOf('patient', 'a', { urgency: 'patient' }),
    candidateOf('young', 'a', { waitingSince: at(9) }),
    candidateOf('old', 'a', { waitingSince: at(3) }),
    candidateOf('urgent', 'b', { urgency: 'urgent', waitingSince: at(99) }),
  );
  ordering.addUsage(team('b'), cores(50));
  t.deepEqual(drain(ordering.round(at(100))), ['urgent', 'old', 'young', 'patient']);
});

test('teams get starts in proportion to their weights', (t) => {
  const ordering = orderingOf(...manyOf('a', 400), ...manyOf('b', 400), ...manyOf('c', 400));
  ordering.setShares(
    new Map([
      [team('a'), 1],
      [team('b'), 3],
    ]),
  );
  const started = startUnits(ordering, 100);
  t.deepEqual(
    started,
    new Map([
      [team('a'), 20],
      [team('b'), 60],
      [team('c'), 20],
    ]),
  );
});

test('the dominant dimension counts', (t) => {
  const accelerator = { ...NOTHING, accelerators: 2000 };
  const ordering = orderingOf(...manyOf('a', 200, { demand: accelerator }), ...manyOf('b', 200));
  const started = startUnits(ordering, 90);
  t.deepEqual(
    started,
    new Map([
      [team('a'), 30],
      [team('b'), 60],
    ]),
  );
});

test('a team with large tasks gets no more than one with small tasks', (t) => {
  const ordering = orderingOf(...manyOf('a', 100, { demand: cores(8) }), ...manyOf('b', 100));
  const round = ordering.round(at(0));
  const running = new Map([
    ['a', 0],
    ['b', 0],
  ]);
  for (let turn = 0; turn < 60; turn += 1) {
    const next = round.next();
    if (next !== undefined) {
      ordering.addUsage(next.team, next.demand);
      running.set(next.team, (running.get(next.team) ?? 0) + next.demand.millicores / 1000);
    }
    t.true(Math.abs((running.get('a') ?? 0) - (running.get('b') ?? 0)) <= 5);
  }
});

test('excess is told against the level that all teams have together', (t) => {
  const ordering = orderingOf();
  ordering.setShares(new Map([[team('a'), 3]]));
  ordering.addUsage(team('a'), cores(30));
  ordering.addUsage(team('b'), cores(30));
  t.true(Math.abs(ordering.excessOf(team('a')) + 0.05) < 1e-9);
  t.true(Math.abs(ordering.excessOf(team('b')) - 0.15) < 1e-9);
});

test('usage elsewhere counts until the next summary replaces it', (t) => {
  const ordering = orderingOf(candidateOf('a1', 'a'), candidateOf('b1', 'b'));
  ordering.setElsewhere([{ team: team('a'), running: cores(10) }]);
  t.deepEqual(drain(ordering.round(at(0))), ['b1', 'a1']);
  ordering.setElsewhere([{ team: team('b'), running: cores(10) }]);
  t.deepEqual(drain(ordering.round(at(0))), ['a1', 'b1']);
});

test('a full fleet costs one try for each smallest size, however many wait', (t) => {
  const ordering = orderingOf(
    ...manyOf('a', 25_000, { demand: cores(2) }),
    ...manyOf('b', 25_000, { demand: cores(1) }),
    ...manyOf('c', 100, { demand: cores(1), together: 4 }),
  );
  ordering.addUsage(team('b'), cores(10));
  ordering.addUsage(team('c'), cores(10));
  const round = ordering.round(at(0));
  let tries = 0;
  for (let next = round.next(); next !== undefined; next = round.next()) {
    tries += 1;
    round.blocked(next, 'no_worker_fits');
  }
  t.is(ordering.size, 50_100);
  t.is(tries, 2);
});

test('a team at its limit leaves the turn to others, and its smaller work is tried', (t) => {
  const ordering = orderingOf(
    candidateOf('gang', 'a', { together: 8 }),
    candidateOf('large', 'a', { demand: cores(9), waitingSince: at(1) }),
    candidateOf('small', 'a', { waitingSince: at(2) }),
    candidateOf('other', 'b', { demand: cores(9), waitingSince: at(3) }),
  );
  const round = ordering.round(at(9));
  const gang = round.next();
  t.is<string | undefined, string | undefined>(gang?.work, 'gang');
  if (gang !== undefined) {
    round.blocked(gang, 'team_limit_reached');
  }
  t.deepEqual(drain(round), ['small', 'other']);
});

test('work with more tasks comes again at its place in the order', (t) => {
  const ordering = orderingOf(candidateOf('a1', 'a'), candidateOf('b1', 'b'));
  const round = ordering.round(at(0));
  const order: string[] = [];
  for (let turn = 0; turn < 4; turn += 1) {
    const next = round.next();
    if (next !== undefined) {
      order.push(next.work);
      ordering.addUsage(next.team, next.demand);
      round.again(next);
    }
  }
  t.deepEqual(order, ['a1', 'b1', 'a1', 'b1']);
});

test('overdue patient work has a turn among ordinary work of its team', (t) => {
  const ordering = orderingOf(
    candidateOf('patient', 'a', { urgency: 'patient' }),
    ...manyOf('a', 100, { waitingSince: at(OVERDUE_MILLIS) }),
  );
  ordering.round(at(OVERDUE_MILLIS - 1));
  ordering.addUsage(team('a'), cores(1));
  t.is(drain(ordering.round(at(OVERDUE_MILLIS - 1))).indexOf('patient'), 100);
  t.true(drain(ordering.round(at(OVERDUE_MILLIS))).indexOf('patient') < OVERDUE_TURN);
});

test('a team without a start goes before others once its work is overdue, for one start', (t) => {
  const ordering = orderingOf(
    ...manyOf('a', 2),
    ...manyOf('b', 100, { waitingSince: at(OVERDUE_MILLIS) }),
  );
  ordering.setElsewhere([{ team: team('a'), running: cores(90) }]);
  t.is(drain(ordering.round(at(OVERDUE_MILLIS - 1))).indexOf('a0'), 100);
  const round = ordering.round(at(OVERDUE_MILLIS));
  t.is<string | undefined, string | undefined>(round.next()?.work, 'a0');
  ordering.remove(brandAs<WorkId>('a0'));
  ordering.addUsage(team('a'), cores(1));
  t.is(drain(round).indexOf('a1'), 100);
});

/** 290 steps are shorter than the time after which room is held. */
const STEP_MILLIS = 200;

/** Four workers of four cores, full of one-core work that ends piece by piece and never lacks. */
function busyCell(gangSince: number) {
  const fleet = new Fleet();
  const placement = new BestFit();
  const gang = candidateOf('gang', 'a', {
    demand: cores(4),
    together: 2,
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
  for (let task = 0; task < candidate.together; task += 1) {
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
  cell.ordering.addUsage(candidate.team, multiply(candidate.demand, candidate.together));
  return true;
}

/** Ends the longest running piece, then starts what may start; true if the gang started. */
function step(cell: BusyCell, now: Instant): boolean {
  const ended = cell.running.shift();
  if (ended !== undefined) {
    cell.fleet.release(ended, cores(1));
    cell.ordering.addUsage(team('b'), subtract(NOTHING, cores(1)));
  }
  const round = cell.ordering.round(now);
  for (let next = round.next(); next !== undefined; next = round.next()) {
    if (!tryStart(cell, next)) {
      round.blocked(next, 'no_worker_fits');
    } else if (next.together > 1) {
      return true;
    }
  }
  return false;
}

function stepsUntilGangStarts(cell: BusyCell, from: number, most: number): number {
  for (let count = 0; count < most; count += 1) {
    if (step(cell, at(from + count * STEP_MILLIS))) {
      return count;
    }
  }
  return most;
}

test('a gang that waits gets room that a stream of small work would take for ever', (t) => {
  const young = busyCell(OVERDUE_MILLIS);
  fillWith(young);
  t.is(stepsUntilGangStarts(young, OVERDUE_MILLIS, 290), 290);
  const old = busyCell(OVERDUE_MILLIS - HOLD_AFTER_MILLIS);
  fillWith(old);
  t.true(stepsUntilGangStarts(old, OVERDUE_MILLIS, 290) < 60);
});

/** Fills the cell with small work only. */
function fillWith(cell: BusyCell): void {
  for (const candidate of manyOf('b', 16)) {
    tryStart(cell, candidate);
  }
}

test('a hold for work that never fits ends, and others go on', (t) => {
  const never = candidateOf('never', 'a', { demand: cores(64) });
  const ordering = orderingOf(never, candidateOf('b1', 'b', { waitingSince: at(1) }));
  const first = ordering.round(at(OVERDUE_MILLIS));
  t.is<string | undefined, string | undefined>(first.next()?.work, 'never');
  first.blocked(never, 'no_worker_fits');
  t.is<string | undefined, string | undefined>(ordering.holdsFor, 'never');
  t.is(first.next(), undefined);
  t.deepEqual(drain(ordering.round(at(OVERDUE_MILLIS + 1))), ['never']);
  const later = at(OVERDUE_MILLIS + HOLD_MILLIS);
  const next = ordering.round(later);
  t.is<string | undefined, string | undefined>(next.next()?.work, 'never');
  next.blocked(never, 'no_worker_fits');
  t.is(ordering.holdsFor, undefined);
  t.deepEqual(drain(next), ['b1']);
});

test('a round returns each waiting candidate once and no removed one', (t) => {
  const anyChange = fc.record({
    work: fc.nat(20),
    kind: fc.constantFrom('put', 'remove', 'next', 'next', 'next'),
    urgency: fc.constantFrom('urgent', 'ordinary', 'patient'),
    size: fc.integer({ min: 1, max: 3 }),
    since: fc.nat(5),
  });
  const property = fc.property(fc.array(anyChange, { maxLength: 100 }), (changes) => {
    const ordering = orderingOf();
    const waiting = new Set<string>();
    let round = ordering.round(at(0));
    let returned = new Set<string>();
    for (const { work, kind, urgency, size, since } of changes) {
      const id = `w${work}`;
      if (kind === 'put') {
        const more = { urgency, demand: cores(size), waitingSince: at(since) } as const;
        ordering.put(candidateOf(id, `team${work % 3}`, more));
        waiting.add(id);
        round = ordering.round(at(0));
        returned = new Set();
      } else if (kind === 'remove') {
        ordering.remove(brandAs<WorkId>(id));
        waiting.delete(id);
      } else {
        const next = round.next()?.work;
        const rest = [...waiting].filter((other) => !returned.has(other));
        if (next === undefined ? rest.length > 0 : !rest.includes(next)) {
          return false;
        }
        returned.add(next ?? '');
      }
    }
    return ordering.size === waiting.size;
  });
  t.notThrows(() => {
    fc.assert(property, { seed: 11, numRuns: 500 });
  });
});

test('whatever is blocked, all that fits is returned, and nothing as large as what was blocked', (t) => {
  const anyCandidate = fc.record({
    millicores: fc.integer({ min: 1, max: 4 }),
    memoryMib: fc.integer({ min: 1, max: 4 }),
    together: fc.integer({ min: 1, max: 2 }),
    team: fc.nat(2),
    urgency: fc.constantFrom('ordinary', 'patient'),
  });
  const property = fc.property(
    fc.array(anyCandidate, { maxLength: 40 }),
    fc.record({ millicores: fc.nat(4), memoryMib: fc.nat(4), together: fc.nat(2) }),
    (drawn, room) => {
      const candidates = drawn.map(
        ({ millicores, memoryMib, together, team: number, urgency }, index) =>
          candidateOf(`w${index}`, `team${number}`, {
            demand: { ...NOTHING, millicores, memoryMib },
            together,
            urgency,
          }),
      );
      const mayStart = ({ demand, together }: Candidate) =>
        demand.millicores <= room.millicores &&
        demand.memoryMib <= room.memoryMib &&
        together <= room.together;
      const round = orderingOf(...candidates).round(at(0));
      const blocked: Candidate[] = [];
      const started = new Set<string>();
      for (let next = round.next(); next !== undefined; next = round.next()) {
        const { demand, together } = next;
        if (blocked.some((other) => fits(other.demand, demand) && other.together <= together)) {
          return false;
        }
        if (mayStart(next)) {
          started.add(next.work);
        } else {
          round.blocked(next, 'no_worker_fits');
          blocked.push(next);
        }
      }
      return candidates.filter(mayStart).every(({ work }) => started.has(work));
    },
  );
  t.notThrows(() => {
    fc.assert(property, { seed: 13, numRuns: 500 });
  });
});

test('counts by queue and team follow a wave of cancellations', (t) => {
  const ordering = orderingOf(...manyOf('a', 1000), ...manyOf('b', 10));
  for (const { work } of manyOf('a', 990).reverse()) {
    ordering.remove(work);
  }
  t.is(ordering.waitingOf(team('a')), 10);
  t.is(ordering.waitingIn(brandAs('queue-a')), 10);
  t.is(ordering.size, 20);
  t.deepEqual(drain(ordering.round(at(0))).length, 20);
});
