/** The stream task against a log in memory and a clock that is moved by hand. */

import test from 'ava';
import { z } from 'zod';
import { ManualClock } from '@bamboowell/kernel/manual-clock';
import type { Posted } from '@bamboowell/kernel/mailbox';
import {
  brandAs,
  type Offset,
  type Sequence,
  type StreamName,
  type WriterId,
} from '@bamboowell/types/ids';
import type { CheckpointPart, Stamped } from '@bamboowell/types/records';
import { deadlineAfter, type Deadline, type Instant } from '@bamboowell/types/time';
import { MAX_QUEUED_RECORDS } from './append-queue.js';
import { MAX_PART_CHARACTERS, splitSnapshot } from './checkpoint-parts.js';
import { JsonCodec } from './codec.js';
import { encodedRecord, packEntry } from './entry-format.js';
import type { Page } from './log.js';
import { MemoryLog } from './memory-log.js';
import { READ_WAIT_MILLIS } from './read-loop.js';
import type { StreamEvent, StreamStats } from './stream-messages.js';
import { StreamTask } from './stream-task.js';

const STREAM = brandAs<StreamName>('notes');
const RETENTION_MILLIS = 8_000_000;
const WRITER = brandAs<WriterId>('writer');

type Entry = { readonly kind: 'note'; readonly text: string } | CheckpointPart;
type Event = StreamEvent<Entry>;

const codec = new JsonCodec<Entry>(
  z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('note'), text: z.string() }),
    z.looseObject({ kind: z.literal('checkpoint'), upTo: z.int(), body: z.string() }),
  ]),
);

/** A subscriber that keeps events while it is not busy. */
function recorder() {
  return {
    events: [] as Event[],
    isBusy: false,
    post(event: Event): Posted {
      if (this.isBusy) {
        return 'full';
      }
      this.events.push(event);
      return 'accepted';
    },
  };
}

function newStream(
  appendsPerSecond = 1000,
  clock = new ManualClock(1000),
  log = new MemoryLog(clock),
) {
  const subscriber = recorder();
  const task = new StreamTask<Entry>({
    name: 'notes',
    stream: STREAM,
    writer: WRITER,
    log,
    clock,
    subscriber,
    codec,
    appendsPerSecond,
    retention: { entries: null, millis: RETENTION_MILLIS },
    random: () => 0,
  });
  return { clock, log, subscriber, task };
}

async function runningStream(appendsPerSecond?: number) {
  const stream = newStream(appendsPerSecond);
  await stream.task.start();
  await settle();
  return stream;
}

/** Lets all messages and promises run that need no time. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 20; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** Moves time in small steps, so that what each alarm causes also happens. */
async function pass(clock: ManualClock, millis: number, stepMillis = 50): Promise<void> {
  for (let passed = 0; passed < millis; passed += stepMillis) {
    clock.advance(Math.min(stepMillis, millis - passed));
    await settle();
  }
}

function note(sequence: number, text = `note ${sequence}`): Stamped<Entry> {
  return { writer: WRITER, sequence: brandAs<Sequence>(sequence), record: { kind: 'note', text } };
}

async function post(task: StreamTask<Entry>, ...sequences: readonly number[]): Promise<void> {
  for (const sequence of sequences) {
    task.post({ kind: 'append', records: [note(sequence)] });
  }
  await settle();
}

function withdraw(task: StreamTask<Entry>, sequence: number): Promise<string> {
  return new Promise((reply) => {
    task.post({ kind: 'withdraw', sequence: brandAs<Sequence>(sequence), reply });
  });
}

function statsOf(task: StreamTask<Entry>): Promise<StreamStats> {
  return new Promise((reply) => {
    task.post({ kind: 'stats', reply });
  });
}

/** Sequences of the notes by entry, in log order. */
function delivered(events: readonly Event[]): number[][] {
  return events
    .flatMap((event) => (event.kind === 'batch' ? [event.batch.records] : []))
    .map((records) =>
      records.filter(({ record }) => record.kind === 'note').map(({ sequence }) => sequence),
    );
}

function kindsOf(events: readonly Event[]): string[] {
  return events.map((event) => event.kind);
}

/** Appends an entry to the log past the stream task. */
async function store(log: MemoryLog, ...records: readonly Stamped<Entry>[]): Promise<void> {
  const encoded = records.map(({ writer, sequence, record }) =>
    encodedRecord(writer, sequence, codec.encode(record)),
  );
  await log.append(STREAM, packEntry(encoded), deadlineAfter(brandAs<Instant>(0), 1));
}

function snapshotOf(upTo: number, text: string): string {
  return JSON.stringify({ upTo, text });
}

function partsOf(snapshot: string, writer = 'other'): Stamped<Entry>[] {
  return splitSnapshot(snapshot).map((record, index) => ({
    writer: brandAs<WriterId>(writer),
    sequence: brandAs<Sequence>(index + 1),
    record,
  }));
}

test('records that come while an append is in flight go out together in the next', async (t) => {
  const { clock, log, subscriber, task } = await runningStream();
  log.failNext('answer_lost');
  await post(task, 1);
  await pass(clock, 1, 1);
  await post(task, 2, 3, 4);
  await pass(clock, 100);
  t.deepEqual(delivered(subscriber.events), [[1], [2, 3, 4]]);
  t.is(log.appends, 2);
});

test('later records wait until the outcome of an append is known', async (t) => {
  const { clock, log, subscriber, task } = await runningStream();
  log.failNext('request_lost', 'request_lost');
  await post(task, 1);
  await pass(clock, 1, 1);
  await post(task, 2);
  await pass(clock, 1900);
  t.is(log.appends, 1);
  await pass(clock, 10_000);
  t.deepEqual(delivered(subscriber.events), [[1], [2]]);
  t.is(log.appends, 4);
});

test('a late effect comes as the same entry again, never as another order', async (t) => {
  const { clock, log, subscriber, task } = await runningStream();
  log.failNext('late');
  await post(task, 1, 2);
  await pass(clock, 1, 1);
  await post(task, 3);
  await pass(clock, 5000);
  log.releaseLate();
  await settle();
  t.deepEqual(delivered(subscriber.events), [[1, 2], [3], [1, 2]]);
});

test('a record can be withdrawn until it is sent, and is then never written', async (t) => {
  const { clock, log, subscriber, task } = await runningStream();
  log.failNext('request_lost');
  await post(task, 1);
  await pass(clock, 1, 1);
  await post(task, 2, 3);
  t.is(await withdraw(task, 1), 'sent');
  t.is(await withdraw(task, 2), 'withdrawn');
  await pass(clock, 5000);
  t.is(await withdraw(task, 3), 'sent');
  t.deepEqual(delivered(subscriber.events), [[1], [3]]);
});

test('a record whose every append was refused can be withdrawn', async (t) => {
  const { clock, log, subscriber, task } = await runningStream();
  log.setDown(true);
  await post(task, 1, 2);
  await pass(clock, 500);
  t.true(log.appends > 0);
  t.is(await withdraw(task, 1), 'withdrawn');
  log.setDown(false);
  await pass(clock, 5000);
  t.deepEqual(delivered(subscriber.events), [[2]]);
});

test('a record that was refused after an unknown outcome can not be withdrawn', async (t) => {
  const { clock, log, subscriber, task } = await runningStream();
  log.failNext('late', 'refused', 'refused', 'refused');
  await post(task, 1);
  await pass(clock, 2200);
  t.true(log.appends >= 2);
  t.is(await withdraw(task, 1), 'sent');
  log.releaseLate();
  await pass(clock, 5000);
  t.deepEqual(delivered(subscriber.events)[0], [1]);
});

test('what does not fit in the queue is rejected and never written', async (t) => {
  const { clock, log, subscriber, task } = await runningStream();
  log.failNext('request_lost');
  await post(task, 1);
  await pass(clock, 1, 1);
  const records = Array.from({ length: MAX_QUEUED_RECORDS + 2 }, (_, index) => note(index + 2));
  task.post({ kind: 'append', records });
  await settle();
  const rejected = subscriber.events.flatMap((event) =>
    event.kind === 'rejected' ? event.sequences : [],
  );
  t.deepEqual(rejected.map(Number), [MAX_QUEUED_RECORDS + 2, MAX_QUEUED_RECORDS + 3]);
  await pass(clock, 5000);
  const written = delivered(subscriber.events).flat();
  t.is(written.length, MAX_QUEUED_RECORDS + 1);
  t.is(Math.max(...written), MAX_QUEUED_RECORDS + 1);
});

test('under load a stream keeps to its part of the appends', async (t) => {
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

async function settleBriefly(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
}

test('caught_up carries the instant at which the read was sent', async (t) => {
  const { clock, subscriber } = await runningStream();
  t.deepEqual(subscriber.events, [
    { kind: 'restored', snapshot: undefined },
    { kind: 'caught_up', readAt: brandAs<Instant>(1000) },
  ]);
  await pass(clock, READ_WAIT_MILLIS, READ_WAIT_MILLIS);
  const last = subscriber.events.at(-1);
  t.deepEqual(last, { kind: 'caught_up', readAt: brandAs<Instant>(1000) });
  await pass(clock, READ_WAIT_MILLIS, READ_WAIT_MILLIS);
  t.deepEqual(subscriber.events.at(-1), { kind: 'caught_up', readAt: brandAs<Instant>(2000) });
});

test('an outage is told again and again, with the instant of the last good read', async (t) => {
  const { clock, log, subscriber } = await runningStream();
  log.setDown(true);
  await pass(clock, 1000);
  const outages = subscriber.events.filter((event) => event.kind === 'unavailable');
  t.true(outages.length >= 2);
  t.deepEqual([...new Set(outages.map((event) => Number(event.since)))], [1000]);
});

test('a busy subscriber loses no event, and nothing is read meanwhile', async (t) => {
  const { clock, log, subscriber, task } = await runningStream();
  subscriber.isBusy = true;
  await store(log, note(1));
  await settle();
  await store(log, note(2));
  const before = await statsOf(task);
  await pass(clock, 500);
  t.is((await statsOf(task)).reads, before.reads);
  subscriber.isBusy = false;
  await pass(clock, 100);
  t.deepEqual(delivered(subscriber.events), [[1], [2]]);
});

test('starts from the newest whole checkpoint and delivers all from its offset on', async (t) => {
  const { log, subscriber, task } = newStream();
  const older = snapshotOf(1, 'older');
  const newer = snapshotOf(3, 'x'.repeat(2 * MAX_PART_CHARACTERS));
  const [first, second, third] = partsOf(newer);
  await store(log, note(1), note(2));
  await store(log, ...partsOf(older));
  await store(log, note(3));
  await store(log, note(4), ...(first === undefined ? [] : [first]));
  await store(log, note(5));
  await store(log, ...(third === undefined ? [] : [third]));
  await store(log, ...(second === undefined ? [] : [second]));
  await store(log, note(6));
  log.expire(STREAM, 2);
  await task.start();
  await settle();
  t.deepEqual(subscriber.events[0], { kind: 'restored', snapshot: newer });
  t.deepEqual(delivered(subscriber.events), [[4], [5], [], [], [6]]);
});

test('passes over checkpoints that are incomplete, damaged or too old', async (t) => {
  const { log, subscriber, task } = newStream();
  const usable = snapshotOf(3, 'usable');
  const incomplete = partsOf(snapshotOf(5, 'y'.repeat(MAX_PART_CHARACTERS))).slice(0, 1);
  const damaged = partsOf(snapshotOf(6, 'damaged')).map((part) => ({
    ...part,
    record: { ...part.record, body: snapshotOf(6, 'changed!') } as Entry,
  }));
  for (let sequence = 1; sequence <= 5; sequence += 1) {
    await store(log, note(sequence));
  }
  await store(log, ...partsOf(usable));
  await store(log, ...incomplete);
  await store(log, ...damaged);
  log.expire(STREAM, 3);
  await task.start();
  await settle();
  t.deepEqual(subscriber.events[0], { kind: 'restored', snapshot: usable });
  t.deepEqual(delivered(subscriber.events).flat(), [4, 5]);
});

test('tells that history is lost, and restores from a later checkpoint of another writer', async (t) => {
  const { log, subscriber, task } = newStream();
  for (let sequence = 1; sequence <= 3; sequence += 1) {
    await store(log, note(sequence));
  }
  await store(log, ...partsOf(snapshotOf(1, 'too old')));
  log.expire(STREAM, 2);
  await task.start();
  await settle();
  t.deepEqual(subscriber.events, [{ kind: 'lost', earliest: brandAs<Offset>(2) }]);
  await store(log, ...partsOf(snapshotOf(3, 'good')));
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
  await store(log, note(1));
  await settle();
  await store(log, note(2));
  await store(log, note(3));
  await store(log, ...partsOf(snapshotOf(3, 'state')));
  log.expire(STREAM, 2);
  subscriber.isBusy = false;
  await pass(clock, 100);
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

test('writes a checkpoint in parts beside records, and a new task starts from it', async (t) => {
  const { clock, log, task } = await runningStream();
  const snapshot = snapshotOf(1, 'z'.repeat(3 * MAX_PART_CHARACTERS));
  await post(task, 1);
  await pass(clock, 100);
  task.post({ kind: 'checkpoint', snapshot });
  await pass(clock, 1, 1);
  await post(task, 2);
  await pass(clock, 500);
  log.expire(STREAM, 1);
  const next = newStream(1000, clock, log);
  await next.task.start();
  await settle();
  t.deepEqual(next.subscriber.events[0], { kind: 'restored', snapshot });
  t.deepEqual(delivered(next.subscriber.events).flat(), [2]);
});

test('a task that is stopped asks the log for nothing more', async (t) => {
  const { clock, log, task } = await runningStream();
  log.setDown(true);
  await post(task, 1);
  await pass(clock, 200);
  await task.stop();
  const { appends } = log;
  await pass(clock, 5000);
  t.is(log.appends, appends);
});

test('a checkpoint that falls into an outage is overdue and is written once the log is back', async (t) => {
  const { clock, log, subscriber, task } = await runningStream();
  await post(task, 1);
  await pass(clock, 100);
  t.deepEqual(subscriber.events.at(-1), { kind: 'checkpoint_due', overdue: false });
  log.setDown(true);
  task.post({ kind: 'checkpoint', snapshot: snapshotOf(1, 'written in the outage') });
  await pass(clock, 1000);
  await pass(clock, RETENTION_MILLIS, RETENTION_MILLIS / 4);
  t.deepEqual(subscriber.events.filter((event) => event.kind === 'checkpoint_due').length, 1);
  t.is(log.entries(STREAM).length, 1);
  log.setDown(false);
  await pass(clock, 5000);
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

test('a checkpoint that nobody wrote in time is told as overdue until one is whole', async (t) => {
  const { clock, log, subscriber, task } = await runningStream();
  await post(task, 1);
  await pass(clock, 100);
  log.setDown(true);
  await pass(clock, RETENTION_MILLIS, RETENTION_MILLIS / 4);
  log.setDown(false);
  await pass(clock, 5000);
  t.deepEqual(subscriber.events.at(-1), { kind: 'checkpoint_due', overdue: true });
  task.post({ kind: 'checkpoint', snapshot: snapshotOf(1, 'state') });
  await settle();
  await pass(clock, 2000);
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
  await pass(clock, 5000);
  const { reads } = await statsOf(task);
  t.log(`${reads} reads in 5 s`);
  t.true(reads <= 55);
});

test('records that were withdrawn leave room for others', async (t) => {
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
  await pass(clock, 5000);
  t.deepEqual(delivered(subscriber.events), [[count + 1]]);
});

test('a late answer to an append that was read back does not concern the next one', async (t) => {
  const { clock, log, task } = await runningStream();
  log.failNext('answer_lost', 'request_lost');
  await post(task, 1);
  await pass(clock, 1900);
  await post(task, 2);
  await pass(clock, 1900);
  t.is(log.appends, 2);
  await pass(clock, 1000);
  t.is(log.appends, 3);
});
