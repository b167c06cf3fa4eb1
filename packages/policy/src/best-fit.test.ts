import test from 'ava';
import { brandAs, type RackId, type WorkerId } from '@bamboowell/types/ids';
import type { Resources } from '@bamboowell/types/resources';
import { BestFit } from './best-fit.js';
import { Fleet, NO_SPREAD, type Spread } from './fleet.js';

interface WorkerSetup {
  readonly id: string;
  readonly rack?: string;
  readonly cores: number;
  readonly accelerators?: number;
  readonly used?: Partial<Resources>;
}

function amountOf(amount: Partial<Resources>): Resources {
  return { millicores: 0, memoryMib: 0, accelerators: 0, slots: 0, ...amount };
}

function fleetOf(...workers: WorkerSetup[]): Fleet {
  const fleet = new Fleet();
  for (const { id, rack = 'rack1', cores, accelerators = 0, used = {} } of workers) {
    const capacity = amountOf({ millicores: cores * 1000, memoryMib: 4096, accelerators });
    const worker = brandAs<WorkerId>(id);
    fleet.put(
      { id: worker, dataCentre: brandAs('dc1'), rack: brandAs<RackId>(rack), capacity },
      true,
    );
    fleet.adopt(worker, amountOf(used));
  }
  return fleet;
}

function choose(
  fleet: Fleet,
  demand: Partial<Resources>,
  spread: Spread = NO_SPREAD,
): string | undefined {
  return new BestFit().choose(fleet, amountOf(demand), spread);
}

function spreadOf(workers: Record<string, number>, racks: Record<string, number>): Spread {
  return {
    workers: new Map(Object.entries(workers).map(([id, count]) => [brandAs<WorkerId>(id), count])),
    racks: new Map(Object.entries(racks).map(([id, count]) => [brandAs<RackId>(id), count])),
  };
}

test('chooses the worker with the least capacity left, so that large gaps stay free', (t) => {
  const fleet = fleetOf(
    { id: 'empty', cores: 8 },
    { id: 'tight', cores: 8, used: { millicores: 6000 } },
    { id: 'full', cores: 8, used: { millicores: 7000 } },
  );
  t.is(choose(fleet, { millicores: 2000 }), 'tight');
});

test('keeps accelerators free for work that needs them', (t) => {
  const fleet = fleetOf(
    { id: 'free', cores: 4, accelerators: 4 },
    { id: 'taken', cores: 8, accelerators: 4, used: { accelerators: 4 } },
    { id: 'plain', cores: 64 },
  );
  t.is(choose(fleet, { millicores: 4000 }), 'plain');
  fleet.setUsable(brandAs('plain'), false);
  t.is(choose(fleet, { millicores: 4000 }), 'taken');
  t.is(choose(fleet, { millicores: 4000, accelerators: 1 }), 'free');
});

test('chooses the worker with the fewest accelerators left over', (t) => {
  const fleet = fleetOf(
    { id: 'eight', cores: 8, accelerators: 8 },
    { id: 'two', cores: 64, accelerators: 2 },
  );
  t.is(choose(fleet, { millicores: 1000, accelerators: 2 }), 'two');
});

test('spreads over racks, then over workers', (t) => {
  const fleet = fleetOf(
    { id: 'a1', rack: 'a', cores: 8, used: { millicores: 7000 } },
    { id: 'a2', rack: 'a', cores: 8 },
    { id: 'b1', rack: 'b', cores: 8 },
  );
  const demand = { millicores: 1000 };
  t.is(choose(fleet, demand), 'a1');
  t.is(choose(fleet, demand, spreadOf({ a1: 1 }, { a: 1 })), 'b1');
  t.is(choose(fleet, demand, spreadOf({ a1: 1, b1: 1 }, { a: 1, b: 1 })), 'a2');
  t.is(choose(fleet, demand, spreadOf({ a1: 2, a2: 1, b1: 2 }, { a: 3, b: 2 })), 'b1');
});

test('chooses no worker that is unusable or has too little free capacity', (t) => {
  const fleet = fleetOf({ id: 'a', cores: 8 }, { id: 'b', cores: 8, used: { memoryMib: 4000 } });
  fleet.setUsable(brandAs('a'), false);
  t.is(choose(fleet, { memoryMib: 200 }), undefined);
  t.is(choose(fleet, { memoryMib: 96 }), 'b');
});
