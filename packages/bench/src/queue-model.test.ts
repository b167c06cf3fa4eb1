import test from 'ava';
import { BestFit } from '@bamboowell/policy/best-fit';
import { FairShare } from '@bamboowell/policy/fair-share';
import { brandAs, type TeamId } from '@bamboowell/types/ids';
import type { Instant } from '@bamboowell/types/time';
import { arrivalsOf, UPEPO_PROFILE, type Arrival, type TeamDemand } from './demand.js';
import { maxMinFairShares } from './fair-shares.js';
import { amountOf, capacityOf, fleetOf, type FleetPlan } from './fleets.js';
import { QueueModel } from './queue-model.js';

const TEAM = brandAs<TeamId>('team');
const ONE_WORKER: FleetPlan = { name: 'one', kinds: [{ workers: 1, capacity: amountOf(8, 8) }] };

function arrivalOf(id: string, at: number, runMillis: number, cores: number): Arrival {
  const candidate = {
    work: brandAs<Arrival['candidate']['work']>(id),
    team: TEAM,
    queue: brandAs<Arrival['candidate']['queue']>('queue'),
    urgency: id === 'urgent' ? ('urgent' as const) : ('ordinary' as const),
    demand: amountOf(cores, 0, 0, 0),
    gangSize: 1,
    waitingSince: brandAs<Instant>(at),
  };
  return { candidate, className: id, runMillis, checkpointable: id !== 'urgent' };
}

function runModel(arrivals: Arrival[], preempts = false): QueueModel {
  const ordering = new FairShare();
  ordering.setCapacity(capacityOf(ONE_WORKER));
  const excessOf = preempts ? () => 1 : undefined;
  const rules = { name: 'test', ordering, placement: new BestFit(), limits: undefined, excessOf };
  const model = new QueueModel(rules, fleetOf(ONE_WORKER), 0, 20_000);
  model.run(arrivals);
  return model;
}

function waitsOf(model: QueueModel): Record<string, number> {
  return Object.fromEntries(
    model.starts.map(({ arrival, waitedMillis }) => [arrival.className, waitedMillis]),
  );
}

function teamOf(id: string, weight: number): TeamDemand {
  return { team: brandAs<TeamId>(id), weight, loadFraction: 0 };
}

test('work waits until earlier work has ended, and its run time is counted', (t) => {
  const model = runModel([arrivalOf('first', 0, 3000, 8), arrivalOf('second', 1000, 5000, 4)]);
  t.deepEqual(waitsOf(model), { first: 0, second: 2000 });
  t.is(model.usage.get(TEAM), 3000 * 8000 + 5000 * 4000);
});

test('urgent work waits for a checkpoint of preempted work, which later runs its remaining time', (t) => {
  const arrivals = [arrivalOf('long', 0, 9000, 8), arrivalOf('urgent', 1000, 2000, 8)];
  t.is(waitsOf(runModel(arrivals)).urgent, 8000);
  const model = runModel(arrivals, true);
  t.is(waitsOf(model).urgent, 1000);
  t.is(model.preemptions, 1);
  t.is(model.usage.get(TEAM), 11_000 * 8000);
});

test('arrivals request the given load and are the same for the same seed', (t) => {
  const arrivals = arrivalsOf(UPEPO_PROFILE, 0.95, 600_000, 4);
  const volume = arrivals.reduce(
    (sum, { candidate, runMillis }) =>
      sum + candidate.demand.millicores * candidate.gangSize * runMillis,
    0,
  );
  const load = volume / (capacityOf(UPEPO_PROFILE.fleet).millicores * 600_000);
  t.true(Math.abs(load - 0.95) < 0.05);
  t.deepEqual(arrivalsOf(UPEPO_PROFILE, 0.95, 600_000, 4), arrivals);
});

test('no team gets more than it asked for, and the rest is shared by weight', (t) => {
  const teams = [teamOf('a', 1), teamOf('b', 3), teamOf('c', 1)];
  const asked = new Map([
    [brandAs<TeamId>('a'), 90],
    [brandAs<TeamId>('b'), 90],
    [brandAs<TeamId>('c'), 20],
  ]);
  t.deepEqual(
    maxMinFairShares(teams, asked, 100),
    new Map([
      [brandAs<TeamId>('c'), 0.2],
      [brandAs<TeamId>('b'), 0.6],
      [brandAs<TeamId>('a'), 0.2],
    ]),
  );
});
