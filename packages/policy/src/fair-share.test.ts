import test from 'ava';
import { brandAs, type TeamId, type WorkId } from '@bamboowell/types/ids';
import { NO_RESOURCES } from '@bamboowell/types/resources';
import { at, candidateOf, cores, drain, manyOf, orderingOf, team } from './candidates.fixture.js';
import { OVERDUE_MILLIS, OVERDUE_TURN_INTERVAL_MILLIS, type FairShare } from './fair-share.js';

/** Starts the first `count` candidates of a round; returns how many of each team. */
function startFirst(ordering: FairShare, count: number, now = 0): Map<TeamId, number> {
  const started = new Map<TeamId, number>();
  const round = ordering.round(at(now));
  for (let index = 0; index < count; index += 1) {
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
  ordering.setWeights(
    new Map([
      [team('a'), 1],
      [team('b'), 3],
    ]),
  );
  const started = startFirst(ordering, 100);
  t.deepEqual(
    started,
    new Map([
      [team('a'), 20],
      [team('b'), 60],
      [team('c'), 20],
    ]),
  );
});

test('the share of a team is that of its dominant dimension', (t) => {
  const accelerator = { ...NO_RESOURCES, accelerators: 2000 };
  const ordering = orderingOf(...manyOf('a', 200, { demand: accelerator }), ...manyOf('b', 200));
  const started = startFirst(ordering, 90);
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

test('a team that was below its share catches up with one that was above it, within bounds', (t) => {
  const ordering = orderingOf(...manyOf('a', 100), ...manyOf('b', 100));
  ordering.round(at(0));
  ordering.addUsage(team('a'), cores(90));
  ordering.round(at(OVERDUE_MILLIS));
  ordering.addUsage(team('a'), cores(-90));
  ordering.addUsage(team('a'), cores(1));
  ordering.addUsage(team('b'), cores(1));
  const started = startFirst(ordering, 60, OVERDUE_MILLIS);
  t.deepEqual(
    started,
    new Map([
      [team('a'), 20],
      [team('b'), 40],
    ]),
  );
});

test('excess is measured against the weighted mean share of all teams', (t) => {
  const ordering = orderingOf();
  ordering.setWeights(new Map([[team('a'), 3]]));
  ordering.addUsage(team('a'), cores(30));
  ordering.addUsage(team('b'), cores(30));
  t.true(Math.abs(ordering.excessOf(team('a')) + 0.05) < 1e-9);
  t.true(Math.abs(ordering.excessOf(team('b')) - 0.15) < 1e-9);
});

test('usage in other shards counts until the next report replaces it', (t) => {
  const ordering = orderingOf(candidateOf('a1', 'a'), candidateOf('b1', 'b'));
  ordering.setRemoteUsage([{ team: team('a'), running: cores(10) }]);
  t.deepEqual(drain(ordering.round(at(0))), ['b1', 'a1']);
  ordering.setRemoteUsage([{ team: team('b'), running: cores(10) }]);
  t.deepEqual(drain(ordering.round(at(0))), ['a1', 'b1']);
});

test('overdue patient work goes before ordinary work of its team, one piece per interval', (t) => {
  const ordering = orderingOf(
    ...manyOf('a', 2, { urgency: 'patient' }).map((other, index) => ({
      ...other,
      work: brandAs<WorkId>(`patient${index}`),
    })),
    ...manyOf('a', 100, { waitingSince: at(OVERDUE_MILLIS) }),
  );
  ordering.round(at(OVERDUE_MILLIS - 1));
  ordering.addUsage(team('a'), cores(1));
  t.is(drain(ordering.round(at(OVERDUE_MILLIS - 1))).indexOf('patient0'), 100);
  const first = drain(ordering.round(at(OVERDUE_MILLIS)));
  t.deepEqual([first.indexOf('patient0'), first.indexOf('patient1')], [0, 101]);
  ordering.remove(brandAs<WorkId>('patient0'));
  const nextTurn = OVERDUE_MILLIS + OVERDUE_TURN_INTERVAL_MILLIS;
  t.is(drain(ordering.round(at(nextTurn - 1))).indexOf('patient1'), 100);
  t.is(drain(ordering.round(at(nextTurn))).indexOf('patient1'), 0);
});

test('a starved team goes before others once its work is overdue, for one start', (t) => {
  const ordering = orderingOf(
    ...manyOf('a', 2),
    ...manyOf('b', 100, { waitingSince: at(OVERDUE_MILLIS) }),
  );
  ordering.setRemoteUsage([{ team: team('a'), running: cores(90) }]);
  t.is(drain(ordering.round(at(OVERDUE_MILLIS - 1))).indexOf('a0'), 100);
  const round = ordering.round(at(OVERDUE_MILLIS));
  t.is<string | undefined, string | undefined>(round.next()?.work, 'a0');
  ordering.remove(brandAs<WorkId>('a0'));
  ordering.addUsage(team('a'), cores(1));
  t.is(drain(round).indexOf('a1'), 100);
});

test('an equal candidate keeps its place, a changed one is replaced', (t) => {
  const ordering = orderingOf(candidateOf('w1', 'a'), candidateOf('w2', 'a'));
  ordering.put(candidateOf('w1', 'a'));
  t.deepEqual(drain(ordering.round(at(0))), ['w1', 'w2']);
  ordering.put(candidateOf('w1', 'a', { urgency: 'patient' }));
  t.deepEqual(drain(ordering.round(at(0))), ['w2', 'w1']);
  t.is(ordering.size, 2);
});

test('counts by queue and team stay correct after many cancellations', (t) => {
  const ordering = orderingOf(...manyOf('a', 1000), ...manyOf('b', 10));
  for (const { work } of manyOf('a', 990).reverse()) {
    ordering.remove(work);
  }
  t.is(ordering.waitingOfTeam(team('a')), 10);
  t.is(ordering.waitingInQueue(brandAs('queue-a')), 10);
  t.is(ordering.size, 20);
  t.deepEqual(drain(ordering.round(at(0))).length, 20);
});
