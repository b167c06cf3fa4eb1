/** Reads of the stream task: restart, checkpoints, expiry, outages and freshness. */

import test from 'ava';
import { ManualClock } from '@bamboowell/kernel/manual-clock';
import { brandAs, type Offset, type StreamName } from '@bamboowell/types/ids';
import { type Deadline, type Instant } from '@bamboowell/types/time';
import { MAX_PART_CHARACTERS } from './checkpoint-parts.js';
import type { Page } from './log.js';
import { MemoryLog } from './memory-log.js';
import { READ_WAIT_MILLIS } from './read-loop.js';
import {
  delivered,
  kindsOf,
  newStream,
  note,
  partsOf,
  advanceTime,
  post,
  runningStream,
  settle,
  snapshotOf,
  statsOf,
  appendDirectly,
  RETENTION_MILLIS,
  STREAM,
  type Entry,
} from './stream.fixture.js';

test('caught_up carries the instant at which the read was sent', async (t) => {
  const { clock, subscriber } = await runningStream();
  t.deepEqual(subscriber.events, [
    { kind: 'restored', snapshot: undefined },
    { kind: 'caught_up', readAt: brandAs<Instant>(1000) },
  ]);
  await advanceTime(clock, READ_WAIT_MILLIS, READ_WAIT_MILLIS);
  const last = subscriber.events.at(-1);
  t.deepEqual(last, { kind: 'caught_up', readAt: brandAs<Instant>(1000) });
  await advanceTime(clock, READ_WAIT_MILLIS, READ_WAIT_MILLIS);
  t.deepEqual(subscriber.events.at(-1), { kind: 'caught_up', readAt: brandAs<Instant>(2000) });
});

test('an outage is reported repeatedly, with the instant of the last successful read', async (t) => {
  const { clock, log, subscriber } = await runningStream();
  log.setDown(true);
  await advanceTime(clock, 1000);
  const outages = subscriber.events.filter((event) => event.kind === 'unavailable');
  t.true(outages.length >= 2);
  t.deepEqual([...new Set(outages.map((event) => Number(event.since)))], [1000]);
});

test('a busy subscriber loses no event, and nothing is read meanwhile', async (t) => {
  const { clock, log, subscriber, task } = await runningStream();
  subscriber.isBusy = true;
  await appendDirectly(log, note(1));
  await settle();
  await appendDirectly(log, note(2));
  const before = await statsOf(task);
  await advanceTime(clock, 500);
  t.is((await statsOf(task)).reads, before.reads);
  subscriber.isBusy = false;
  await advanceTime(clock, 100);
  t.deepEqual(delivered(subscriber.events), [[1], [2]]);
});

test('starts from the newest complete checkpoint and delivers all entries from its offset on', async (t) => {
  const { log, subscriber, task } = newStream();
  const older = snapshotOf(1, 'older');
  const newer = snapshotOf(3, 'x'.repeat(2 * MAX_PART_CHARACTERS));
  const [first, second, third] = partsOf(newer);
  await appendDirectly(log, note(1), note(2));
  await appendDirectly(log, ...partsOf(older));
  await appendDirectly(log, note(3));
  await appendDirectly(log, note(4), ...(first === undefined ? [] : [first]));
  await appendDirectly(log, note(5));
  await appendDirectly(log, ...(third === undefined ? [] : [third]));
  await appendDirectly(log, ...(second === undefined ? [] : [second]));
  await appendDirectly(log, note(6));
  log.expire(STREAM, 2);
  await task.start();
  await settle();
  t.deepEqual(subscriber.events[0], { kind: 'restored', snapshot: newer });
  t.deepEqual(delivered(subscriber.events), [[4], [5], [], [], [6]]);
});

test('ignores checkpoints that are incomplete, damaged or too old', async (t) => {
  const { log, subscriber, task } = newStream();
  const usable = snapshotOf(3, 'usable');
  const incomplete = partsOf(snapshotOf(5, 'y'.repeat(MAX_PART_CHARACTERS))).slice(0, 1);
  const damaged = partsOf(snapshotOf(6, 'damaged')).map((part) => ({
    ...part,
    record: { ...part.record, body: snapshotOf(6, 'changed!') } as Entry,
  }));
  for (let sequence = 1; sequence <= 5; sequence += 1) {
    await appendDirectly(log, note(sequence));
  }
  await appendDirectly(log, ...partsOf(usable));
  await appendDirectly(log, ...incomplete);
  await appendDirectly(log, ...damaged);
  log.expire(STREAM, 3);
  await task.start();
  await settle();
  t.deepEqual(subscriber.events[0], { kind: 'restored', snapshot: usable });
  t.deepEqual(delivered(subscriber.events).flat(), [4, 5]);
});

test('reports lost history, and restores from a later checkpoint of another writer', async (t) => {
  const { log, subscriber, task } = newStream();
  for (let sequence = 1; sequence <= 3; sequence += 1) {
    await appendDirectly(log, note(sequence));
  }
  await appendDirectly(log, ...partsOf(snapshotOf(1, 'too old')));
  log.expire(STREAM, 2);
  await task.start();
  await settle();
  t.deepEqual(subscriber.events, [{ kind: 'lost', earliest: brandAs<Offset>(2) }]);
  await appendDirectly(log, ...partsOf(snapshotOf(3, 'good')));
  await settle();
  t.deepEqual(subscriber.events[1], { kind: 'restored', snapshot: snapshotOf(3, 'good') });
  t.deepEqual(kindsOf(subscriber.events.slice(2)), [
    'batch',
    'batch',
    'caught_up',
    'checkpoint_due',
  ]);
});

test('restores again when entries expired before they were read', async (t) => {
  const { clock, log, subscriber } = await runningStream();
  subscriber.isBusy = true;
  await appendDirectly(log, note(1));
  await settle();
  await appendDirectly(log, note(2));
  await appendDirectly(log, note(3));
  await appendDirectly(log, ...partsOf(snapshotOf(3, 'state')));
  log.expire(STREAM, 2);
  subscriber.isBusy = false;
  await advanceTime(clock, 100);
  t.deepEqual(kindsOf(subscriber.events.slice(2)), [
    'batch',
    'caught_up',
    'checkpoint_due',
    'restored',
    'batch',
    'caught_up',
    'checkpoint_due',
  ]);
  t.deepEqual(delivered(subscriber.events), [[1], []]);
});

test('writes a checkpoint in parts along with records, and a new task starts from it', async (t) => {
  const { clock, log, task } = await runningStream();
  const snapshot = snapshotOf(1, 'z'.repeat(3 * MAX_PART_CHARACTERS));
  await post(task, 1);
  await advanceTime(clock, 100);
  task.post({ kind: 'checkpoint', snapshot });
  await advanceTime(clock, 1, 1);
  await post(task, 2);
  await advanceTime(clock, 500);
  log.expire(STREAM, 1);
  const next = newStream(1000, clock, log);
  await next.task.start();
  await settle();
  t.deepEqual(next.subscriber.events[0], { kind: 'restored', snapshot });
  t.deepEqual(delivered(next.subscriber.events).flat(), [2]);
});

test('a checkpoint that falls into an outage is overdue and is written once the log is back', async (t) => {
  const { clock, log, subscriber, task } = await runningStream();
  await post(task, 1);
  await advanceTime(clock, 100);
  t.deepEqual(subscriber.events.at(-1), { kind: 'checkpoint_due', overdue: false });
  log.setDown(true);
  task.post({ kind: 'checkpoint', snapshot: snapshotOf(1, 'written in the outage') });
  await advanceTime(clock, 1000);
  await advanceTime(clock, RETENTION_MILLIS, RETENTION_MILLIS / 4);
  t.deepEqual(subscriber.events.filter((event) => event.kind === 'checkpoint_due').length, 1);
  t.is(log.entries(STREAM).length, 1);
  log.setDown(false);
  await advanceTime(clock, 5000);
  t.is(log.entries(STREAM).length, 2);
  log.expire(STREAM, 1);
  const next = newStream(1000, clock, log);
  await next.task.start();
  await settle();
  t.deepEqual(next.subscriber.events[0], {
    kind: 'restored',
    snapshot: snapshotOf(1, 'written in the outage'),
  });
});

test('a checkpoint that nobody wrote in time is reported as overdue until one is complete', async (t) => {
  const { clock, log, subscriber, task } = await runningStream();
  await post(task, 1);
  await advanceTime(clock, 100);
  log.setDown(true);
  await advanceTime(clock, RETENTION_MILLIS, RETENTION_MILLIS / 4);
  log.setDown(false);
  await advanceTime(clock, 5000);
  t.deepEqual(subscriber.events.at(-1), { kind: 'checkpoint_due', overdue: true });
  task.post({ kind: 'checkpoint', snapshot: snapshotOf(1, 'state') });
  await settle();
  await advanceTime(clock, 2000);
  t.is(subscriber.events.at(-1)?.kind, 'caught_up');
});

test('a log that does not wait at the end of a stream is not read in a tight loop', async (t) => {
  const clock = new ManualClock(1000);
  const log = new (class extends MemoryLog {
    override read(stream: StreamName, from: Offset): Promise<Page> {
      return super.read(stream, from, brandAs<Deadline>(0));
    }
  })(clock);
  const { task } = newStream(1000, clock, log);
  await task.start();
  await advanceTime(clock, 5000);
  const { reads } = await statsOf(task);
  t.log(`${reads} reads in 5 s`);
  t.true(reads <= 55);
});
