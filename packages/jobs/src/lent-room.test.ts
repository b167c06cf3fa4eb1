import test from 'ava';
import { NEVER } from '@bamboowell/types/time';
import { LentRoom } from './lent-room.js';
import { newWorker } from './model.js';
import { orderingContext, waitingStep } from './ordering.fixture.js';
import { cores, workerRegistration } from './plans.fixture.js';

/** A worker of 100 cores of which some are used, and promised work that arrives at ten cores a second. */
function nearlyFull(usedCores: number) {
  const context = orderingContext();
  const registration = workerRegistration('w1', { capacity: cores(100, 100_000) });
  const worker = newWorker(registration, NEVER);
  worker.used = cores(usedCores);
  context.workers.set(worker.incarnation, worker);
  context.currentIncarnations.set(worker.id, worker);
  context.fleet.setWorkers([worker]);
  const lentRoom = new LentRoom(context);
  for (let job = 0; job < 10; job += 1) {
    const { job: accepted, occurrence } = waitingStep(0, {
      isExcess: false,
      plan: { estimateMillis: 2000 },
    });
    accepted.occurrences.set(occurrence.index, occurrence);
    lentRoom.recordAccepted(accepted);
  }
  lentRoom.beginPass([]);
  return lentRoom;
}

function excess(estimateMillis: number, ageMillis = 0, count = 1) {
  return waitingStep(ageMillis, { objectiveMillis: 60_000, plan: { estimateMillis, count } });
}

// Guards against a fleet full of long excess when promised work arrives, which then waits for its ends.
test('on a nearly full fleet, excess starts only if it ends before promised work needs the room', (t) => {
  const lentRoom = nearlyFull(95);
  t.false(lentRoom.take(excess(5000)));
  t.true(lentRoom.take(excess(100)));
});

test('while much of the fleet is free, any excess starts', (t) => {
  const lentRoom = nearlyFull(60);
  t.true(lentRoom.take(excess(5000, 0, 20)));
  t.false(lentRoom.take(excess(5000, 0, 20)));
});

// Guards against accepted excess that waits for ever beside promised work that never pauses.
test('excess that has waited long starts, unless it has no value any more', (t) => {
  t.true(nearlyFull(95).take(excess(5000, 2000)));
  t.false(nearlyFull(95).take(excess(5000, 200_000)));
});

test('the room of waiting promised work is not lent', (t) => {
  const lentRoom = nearlyFull(60);
  lentRoom.beginPass([waitingStep(0, { isExcess: false, plan: { count: 38 } })]);
  t.false(lentRoom.take(excess(5000)));
});
