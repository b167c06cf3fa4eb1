/** Appends of the stream task: order, batching, retries, withdrawal and limits. */

import test from 'ava';
import { MAX_QUEUED_RECORDS } from './append-queue.js';
import {
  delivered,
  note,
  advanceTime,
  post,
  runningStream,
  settle,
  settleBriefly,
  withdraw,
} from './stream.fixture.js';

test('records that arrive while an append is in flight are sent together in the next one', async (t) => {
  const { clock, log, subscriber, task } = await runningStream();
  log.failNext('answer_lost');
  await post(task, 1);
  await advanceTime(clock, 1, 1);
  await post(task, 2, 3, 4);
  await advanceTime(clock, 100);
  t.deepEqual(delivered(subscriber.events), [[1], [2, 3, 4]]);
  t.is(log.appends, 2);
});

test('later records wait until the outcome of an append is known', async (t) => {
  const { clock, log, subscriber, task } = await runningStream();
  log.failNext('request_lost', 'request_lost');
  await post(task, 1);
  await advanceTime(clock, 1, 1);
  await post(task, 2);
  await advanceTime(clock, 1900);
  t.is(log.appends, 1);
  await advanceTime(clock, 10_000);
  t.deepEqual(delivered(subscriber.events), [[1], [2]]);
  t.is(log.appends, 4);
});

test('an append that takes effect late repeats the same entry and changes no order', async (t) => {
  const { clock, log, subscriber, task } = await runningStream();
  log.failNext('late');
  await post(task, 1, 2);
  await advanceTime(clock, 1, 1);
  await post(task, 3);
  await advanceTime(clock, 5000);
  log.releaseLate();
  await settle();
  t.deepEqual(delivered(subscriber.events), [[1, 2], [3], [1, 2]]);
});

test('a record can be withdrawn until it is sent, and is then never written', async (t) => {
  const { clock, log, subscriber, task } = await runningStream();
  log.failNext('request_lost');
  await post(task, 1);
  await advanceTime(clock, 1, 1);
  await post(task, 2, 3);
  t.is(await withdraw(task, 1), 'sent');
  t.is(await withdraw(task, 2), 'withdrawn');
  await advanceTime(clock, 5000);
  t.is(await withdraw(task, 3), 'sent');
  t.deepEqual(delivered(subscriber.events), [[1], [3]]);
});

test('a record can be withdrawn if all its appends were refused', async (t) => {
  const { clock, log, subscriber, task } = await runningStream();
  log.setDown(true);
  await post(task, 1, 2);
  await advanceTime(clock, 500);
  t.true(log.appends > 0);
  t.is(await withdraw(task, 1), 'withdrawn');
  log.setDown(false);
  await advanceTime(clock, 5000);
  t.deepEqual(delivered(subscriber.events), [[2]]);
});

test('a record that was refused after an unknown outcome cannot be withdrawn', async (t) => {
  const { clock, log, subscriber, task } = await runningStream();
  log.failNext('late', 'refused', 'refused', 'refused');
  await post(task, 1);
  await advanceTime(clock, 2200);
  t.true(log.appends >= 2);
  t.is(await withdraw(task, 1), 'sent');
  log.releaseLate();
  await advanceTime(clock, 5000);
  t.deepEqual(delivered(subscriber.events)[0], [1]);
});

test('records that do not fit in the queue are rejected and never written', async (t) => {
  const { clock, log, subscriber, task } = await runningStream();
  log.failNext('request_lost');
  await post(task, 1);
  await advanceTime(clock, 1, 1);
  const records = Array.from({ length: MAX_QUEUED_RECORDS + 2 }, (_, index) => note(index + 2));
  task.post({ kind: 'append', records });
  await settle();
  const rejected = subscriber.events.flatMap((event) =>
    event.kind === 'rejected' ? event.sequences : [],
  );
  t.deepEqual(rejected.map(Number), [MAX_QUEUED_RECORDS + 2, MAX_QUEUED_RECORDS + 3]);
  await advanceTime(clock, 5000);
  const written = delivered(subscriber.events).flat();
  t.is(written.length, MAX_QUEUED_RECORDS + 1);
  t.is(Math.max(...written), MAX_QUEUED_RECORDS + 1);
});

test('under load a stream stays within its share of the append rate', async (t) => {
  const { clock, log, task } = await runningStream(20);
  for (let sequence = 1; sequence <= 1000; sequence += 1) {
    task.post({ kind: 'append', records: [note(sequence)] });
    await settleBriefly();
    clock.advance(10);
  }
  await settle();
  t.log(`1000 records in 10 s: ${log.appends} appends`);
  t.true(log.appends <= 10 * 20 + 5);
  t.true(log.appends >= 10 * 20 - 5);
});

test('a stopped task sends nothing more to the log', async (t) => {
  const { clock, log, task } = await runningStream();
  log.setDown(true);
  await post(task, 1);
  await advanceTime(clock, 200);
  await task.stop();
  const { appends } = log;
  await advanceTime(clock, 5000);
  t.is(log.appends, appends);
});

test('withdrawn records free their space in the queue', async (t) => {
  const { clock, log, subscriber, task } = await runningStream();
  log.setDown(true);
  const count = MAX_QUEUED_RECORDS;
  task.post({ kind: 'append', records: Array.from({ length: count }, (_, at) => note(at + 1)) });
  for (let sequence = 1; sequence <= count; sequence += 1) {
    void withdraw(task, sequence);
    await (sequence % 1000 === 0 ? settle() : undefined);
  }
  await post(task, count + 1);
  log.setDown(false);
  await advanceTime(clock, 5000);
  t.deepEqual(delivered(subscriber.events), [[count + 1]]);
});

test('a late answer to an append that was read back does not affect the next append', async (t) => {
  const { clock, log, task } = await runningStream();
  log.failNext('answer_lost', 'request_lost');
  await post(task, 1);
  await advanceTime(clock, 1900);
  await post(task, 2);
  await advanceTime(clock, 1900);
  t.is(log.appends, 2);
  await advanceTime(clock, 1000);
  t.is(log.appends, 3);
});
