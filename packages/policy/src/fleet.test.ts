import test from 'ava';
import fc from 'fast-check';
import { brandAs, type RackId, type WorkerId } from '@bamboowell/types/ids';
import { fits, resourcesOf, type Resources } from '@bamboowell/types/resources';
import type { WorkerProfile } from '@bamboowell/types/work';
import { BestFit } from './best-fit.js';
import { Fleet, NO_SPREAD } from './fleet.js';

const WORKERS = 6;

function amountOf(millicores: number, accelerators = 0): Resources {
  return { millicores, memoryMib: millicores, accelerators, slots: 0 };
}

function workerOf(number: number): WorkerId {
  return brandAs<WorkerId>(`w${number}`);
}

function profileOf(number: number, capacity: Resources): WorkerProfile {
  return {
    id: workerOf(number),
    dataCentre: brandAs('dc1'),
    rack: brandAs<RackId>(`rack${number % 2}`),
    capacity,
  };
}

function anyAmount(): fc.Arbitrary<Resources> {
  return fc.record({
    millicores: fc.nat(40),
    memoryMib: fc.nat(40),
    accelerators: fc.nat(4),
    slots: fc.nat(4),
  });
}

type Step =
  | { readonly kind: 'put'; readonly worker: number; readonly amount: Resources }
  | { readonly kind: 'reserve' | 'release' | 'choose'; worker: number; readonly amount: Resources }
  | { readonly kind: 'toggle' | 'remove'; readonly worker: number; readonly amount: Resources };

function anyStep(): fc.Arbitrary<Step> {
  const kinds = ['put', 'reserve', 'reserve', 'release', 'choose', 'choose', 'toggle', 'remove'];
  return fc.record({
    kind: fc.constantFrom(...(kinds as Step['kind'][])),
    worker: fc.nat(WORKERS - 1),
    amount: anyAmount(),
  });
}

function anyFits(fleet: Fleet, amount: Resources): boolean {
  return [...fleet.all()].some((worker) => worker.usable && fits(amount, fleet.freeOf(worker)));
}

/** Applies the step; false if it broke an invariant of the fleet. */
function holdsAfter(fleet: Fleet, step: Step): boolean {
  const worker = workerOf(step.worker);
  const before = fleet.get(worker);
  if (step.kind === 'put') {
    fleet.put(profileOf(step.worker, step.amount), true);
  } else if (step.kind === 'release') {
    fleet.release(worker, step.amount);
  } else if (step.kind === 'toggle') {
    fleet.setUsable(worker, before?.usable === false);
  } else if (step.kind === 'remove') {
    fleet.remove(worker);
  } else if (step.kind === 'choose') {
    const found = new BestFit().choose(fleet, step.amount, NO_SPREAD);
    const expected = anyFits(fleet, step.amount);
    return expected
      ? found !== undefined && fleet.reserve(found, step.amount)
      : found === undefined;
  } else if (fleet.reserve(worker, step.amount)) {
    const after = fleet.get(worker);
    return (
      before?.usable === true && after !== undefined && fits(after.used, after.profile.capacity)
    );
  }
  return true;
}

test('no reservation exceeds a capacity, and a worker is found if and only if the demand fits on one', (t) => {
  const property = fc.property(fc.array(anyStep(), { maxLength: 80 }), (steps) => {
    const fleet = new Fleet();
    return steps.every((step) => holdsAfter(fleet, step));
  });
  t.notThrows(() => {
    fc.assert(property, { seed: 7, numRuns: 500 });
  });
});

test('releasing more than is reserved frees no more than the capacity', (t) => {
  const fleet = new Fleet();
  fleet.put(profileOf(1, amountOf(10)), true);
  fleet.reserve(workerOf(1), amountOf(4));
  fleet.release(workerOf(1), amountOf(9));
  t.true(fleet.reserve(workerOf(1), amountOf(10)));
  t.false(fleet.reserve(workerOf(1), amountOf(1)));
});

test('adopted amounts count even beyond capacity', (t) => {
  const fleet = new Fleet();
  fleet.put(profileOf(1, amountOf(10)), true);
  fleet.adopt(workerOf(1), amountOf(12));
  fleet.release(workerOf(1), amountOf(1));
  t.false(fleet.reserve(workerOf(1), amountOf(1)));
  fleet.release(workerOf(1), amountOf(2));
  t.true(fleet.reserve(workerOf(1), amountOf(1)));
});

test('knows which amounts fit no worker, also after workers are added and removed', (t) => {
  const fleet = new Fleet();
  fleet.put(profileOf(1, amountOf(10)), false);
  fleet.put(profileOf(2, amountOf(20)), true);
  fleet.reserve(workerOf(2), amountOf(20));
  t.true(fleet.couldEverHold(amountOf(20)));
  t.false(fleet.couldEverHold(amountOf(21)));
  fleet.remove(workerOf(2));
  t.false(fleet.couldEverHold(amountOf(20)));
  fleet.put(profileOf(1, amountOf(30)), false);
  t.true(fleet.couldEverHold(amountOf(30)));
  t.is(fleet.rackCount, 1);
});

test('knows how many tasks all workers together could hold', (t) => {
  const fleet = new Fleet();
  fleet.put(profileOf(1, amountOf(10)), false);
  fleet.put(profileOf(2, amountOf(10)), true);
  fleet.put(profileOf(3, amountOf(25)), true);
  t.true(fleet.couldEverHold(amountOf(8), 5));
  t.false(fleet.couldEverHold(amountOf(8), 6));
  t.is(fleet.mostOnOneWorker(amountOf(8)), 3);
  t.true(fleet.couldEverHold(amountOf(0), 1000));
});

test('groups in which nothing fitted are skipped until a release', (t) => {
  const fleet = new Fleet();
  fleet.put(
    profileOf(
      1,
      resourcesOf(() => 1000),
    ),
    true,
  );
  fleet.put(
    profileOf(
      2,
      resourcesOf(() => 1000),
    ),
    true,
  );
  fleet.reserve(workerOf(1), amountOf(10));
  fleet.reserve(workerOf(2), amountOf(10));
  const tooMuch = amountOf(995);
  t.is(new BestFit().choose(fleet, tooMuch, NO_SPREAD), undefined);
  t.deepEqual(fleet.groupsFor(tooMuch), []);
  fleet.release(workerOf(2), amountOf(10));
  t.is(new BestFit().choose(fleet, tooMuch, NO_SPREAD), workerOf(2));
});
