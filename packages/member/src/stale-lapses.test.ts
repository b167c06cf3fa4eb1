import test from 'ava';
import { linkedScheduler } from './linked-scheduler.fixture.js';

/** Longer than any lease and the time after which a silent worker counts as unreachable, milliseconds. */
const LAPSED_MILLIS = 9000;
const PASS_INTERVAL_MILLIS = 20;

/** Two workers, one of which runs a task that outlives every lease. */
async function schedulerWithRun() {
  const linked = linkedScheduler(['w1', 'w2']);
  linked.submit();
  await linked.run(1000);
  return { linked, worker: linked.runner() };
}

test('a task starts elsewhere once the lease of its unreachable worker has lapsed', async (t) => {
  const { linked, worker } = await schedulerWithRun();
  linked.faults.unreachable.add(worker);
  await linked.run(LAPSED_MILLIS);
  t.not(linked.runner(), worker);
  linked.faults.unreachable.delete(worker);
  await linked.run(1000);
  t.is(linked.runCount(), 1);
  t.deepEqual(linked.invariants.violations, []);
});

test('a task goes on where it runs if its worker answers again before its lease lapses', async (t) => {
  const { linked, worker } = await schedulerWithRun();
  linked.faults.unreachable.add(worker);
  await linked.runUntil('worker.unreachable', worker);
  linked.faults.unreachable.delete(worker);
  await linked.run(LAPSED_MILLIS);
  t.is(linked.runner(), worker);
  t.is(linked.invariants.starts, 1);
});

// Guards against a second run of a task whose worker has answered and got a lease again, while the owner has
// yet to take in that report (TWICE).
test('an owner that is late to take in reports drops no run that goes on', async (t) => {
  const { linked, worker } = await schedulerWithRun();
  linked.faults.unreachable.add(worker);
  await linked.runUntil('worker.unreachable', worker);
  linked.isBusy = true;
  linked.faults.unreachable.delete(worker);
  await linked.run(LAPSED_MILLIS);
  linked.place();
  linked.isBusy = false;
  await linked.run(1000);
  t.deepEqual(linked.invariants.violations, []);
  t.is(linked.runCount(), 1);
});

// Guards against a second run of a task whose worker got a longer lease by the start of another task, which was
// stored only after the worker was reported unreachable (TWICE).
for (const isBusy of [false, true]) {
  test(`a start that is stored late lets no run outlive the lapse that ${isBusy ? 'a busy' : 'an'} owner counts`, async (t) => {
    const { linked, worker } = await schedulerWithRun();
    linked.losesAnswersOf.add(worker);
    linked.submit();
    await linked.run(100);
    linked.isStoreAway = true;
    linked.submit();
    await linked.runUntil('worker.unreachable', worker);
    linked.isStoreAway = false;
    linked.place();
    linked.isBusy = isBusy;
    for (let passed = 0; passed < LAPSED_MILLIS; passed += PASS_INTERVAL_MILLIS) {
      await linked.run(PASS_INTERVAL_MILLIS);
      linked.place();
    }
    t.deepEqual(linked.invariants.violations, []);
    linked.isBusy = false;
    linked.losesAnswersOf.delete(worker);
    await linked.run(1000);
    t.is(linked.runCount(), 3);
  });
}

// Guards against a second run of a task whose start the worker's next process has carried out: the deadline of
// that start was one by the clock of the process before it, so that it gave the longest lease (TWICE).
test('the lease that a start gave to the next process of its worker counts', async (t) => {
  const linked = linkedScheduler(['w1', 'w2']);
  await linked.run(1000);
  const [worker] = linked.workers.values();
  if (worker === undefined) {
    throw new Error('no worker');
  }
  worker.restart();
  linked.losesAnswersOf.add(worker.id);
  linked.submit();
  await linked.run(300);
  t.is(linked.runner(), worker.id);
  linked.losesAnswersOf.delete(worker.id);
  await linked.runUntil('worker.met', worker.id);
  await linked.run(100);
  linked.faults.unreachable.add(worker.id);
  await linked.run(LAPSED_MILLIS);
  t.deepEqual(linked.invariants.violations, []);
  t.not(linked.runner(), worker.id);
});
