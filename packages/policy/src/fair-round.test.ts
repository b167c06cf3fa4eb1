import test from 'ava';
import fc from 'fast-check';
import { brandAs, type WorkId } from '@bamboowell/types/ids';
import { fits, NO_RESOURCES } from '@bamboowell/types/resources';
import { at, candidateOf, cores, drain, manyOf, orderingOf, team } from './candidates.fixture.js';
import type { Candidate } from './ordering.js';

test('on a full fleet, only the smallest sizes are tried, whatever the length of the backlog', (t) => {
  const ordering = orderingOf(
    ...manyOf('a', 25_000, { demand: cores(2) }),
    ...manyOf('b', 25_000, { demand: cores(1) }),
    ...manyOf('c', 100, { demand: cores(1), gangSize: 4 }),
  );
  ordering.addUsage(team('b'), cores(10));
  ordering.addUsage(team('c'), cores(10));
  const round = ordering.round(at(0));
  let tries = 0;
  for (let next = round.next(); next !== undefined; next = round.next()) {
    tries += 1;
    round.reportBlocked(next, 'no_worker_fits');
  }
  t.is(ordering.size, 50_100);
  t.is(tries, 2);
});

test('a team at its limit does not block other teams, and its smaller work is still tried', (t) => {
  const ordering = orderingOf(
    candidateOf('gang', 'a', { gangSize: 8 }),
    candidateOf('large', 'a', { demand: cores(9), waitingSince: at(1) }),
    candidateOf('small', 'a', { waitingSince: at(2) }),
    candidateOf('other', 'b', { demand: cores(9), waitingSince: at(3) }),
  );
  const round = ordering.round(at(9));
  const gang = round.next();
  t.is<string | undefined, string | undefined>(gang?.work, 'gang');
  if (gang !== undefined) {
    round.reportBlocked(gang, 'team_limit_reached');
  }
  t.deepEqual(drain(round), ['small', 'other']);
});

test('requeued work is returned again at its place in the order', (t) => {
  const ordering = orderingOf(candidateOf('a1', 'a'), candidateOf('b1', 'b'));
  const round = ordering.round(at(0));
  const order: string[] = [];
  for (let turn = 0; turn < 4; turn += 1) {
    const next = round.next();
    if (next !== undefined) {
      order.push(next.work);
      ordering.addUsage(next.team, next.demand);
      round.requeue(next);
    }
  }
  t.deepEqual(order, ['a1', 'b1', 'a1', 'b1']);
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

test('a round returns every candidate that fits, and none at least as large as a blocked one', (t) => {
  const anyCandidate = fc.record({
    millicores: fc.integer({ min: 1, max: 4 }),
    memoryMib: fc.integer({ min: 1, max: 4 }),
    gangSize: fc.integer({ min: 1, max: 2 }),
    team: fc.nat(2),
    urgency: fc.constantFrom('ordinary', 'patient'),
  });
  const property = fc.property(
    fc.array(anyCandidate, { maxLength: 40 }),
    fc.record({ millicores: fc.nat(4), memoryMib: fc.nat(4), gangSize: fc.nat(2) }),
    (drawn, available) => {
      const candidates = drawn.map(
        ({ millicores, memoryMib, gangSize, team: number, urgency }, index) =>
          candidateOf(`w${index}`, `team${number}`, {
            demand: { ...NO_RESOURCES, millicores, memoryMib },
            gangSize,
            urgency,
          }),
      );
      const mayStart = ({ demand, gangSize }: Candidate) =>
        demand.millicores <= available.millicores &&
        demand.memoryMib <= available.memoryMib &&
        gangSize <= available.gangSize;
      const round = orderingOf(...candidates).round(at(0));
      const blocked: Candidate[] = [];
      const started = new Set<string>();
      for (let next = round.next(); next !== undefined; next = round.next()) {
        const { demand, gangSize } = next;
        if (blocked.some((other) => fits(other.demand, demand) && other.gangSize <= gangSize)) {
          return false;
        }
        if (mayStart(next)) {
          started.add(next.work);
        } else {
          round.reportBlocked(next, 'no_worker_fits');
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
