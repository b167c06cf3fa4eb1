/**
 * The log client over HTTP against the stand-in log: outages, latency, lost answers, late effects.
 */

import test, { type ExecutionContext } from 'ava';
import { z } from 'zod';
import { SystemClock } from '@bamboowell/kernel/clock';
import {
  brandAs,
  type Offset,
  type Sequence,
  type StreamName,
  type WriterId,
} from '@bamboowell/types/ids';
import { deadlineAfter } from '@bamboowell/types/time';
import type { Batch, Stamped } from '@bamboowell/types/records';
import { LogServer } from '@bamboowell/stand-ins/log-server';
import { JsonCodec } from './codec.js';
import { HttpLog } from './http-log.js';
import type { StreamEvent, StreamStats } from './stream-messages.js';
import { StreamTask } from './stream-task.js';

const STREAM = brandAs<StreamName>('notes');
const WRITER = brandAs<WriterId>('writer');

interface Note {
  readonly kind: 'note';
  readonly text: string;
}

type Event = StreamEvent<Note>;

const codec = new JsonCodec<Note>(z.object({ kind: z.literal('note'), text: z.string() }));

/** A subscriber that records all events and lets a test wait for a condition on them. */
function recorder() {
  const events: Event[] = [];
  let check: () => void = () => undefined;
  return {
    events,
    post(event: Event) {
      events.push(event);
      check();
      return 'accepted' as const;
    },
    until(condition: (events: readonly Event[]) => boolean): Promise<void> {
      return new Promise((resolve) => {
        check = () => {
          if (condition(events)) {
            resolve();
          }
        };
        check();
      });
    },
  };
}

/** A stand-in log, a client and a stream task that is stopped after the test. */
async function runningStream(t: ExecutionContext, appendsPerSecond = 1000) {
  const clock = new SystemClock();
  const server = new LogServer({ entries: 10_000, millis: null });
  const port = await server.start(0);
  const log = new HttpLog({ host: '127.0.0.1', port }, clock);
  const subscriber = recorder();
  const task = new StreamTask<Note>({
    name: 'notes',
    stream: STREAM,
    writer: WRITER,
    log,
    clock,
    subscriber,
    codec,
    appendsPerSecond,
    random: () => 0,
  });
  t.teardown(async () => {
    await task.stop();
    await log.close();
    await server.stop();
  });
  return { clock, server, port, log, subscriber, task };
}

function notes(first: number, count: number): Stamped<Note>[] {
  return Array.from({ length: count }, (_, index) => ({
    writer: WRITER,
    sequence: brandAs<Sequence>(first + index),
    record: { kind: 'note', text: `note ${first + index}` },
  }));
}

function batchesOf(events: readonly Event[]): Batch<Note>[] {
  return events.flatMap((event) => (event.kind === 'batch' ? [event.batch] : []));
}

/** The sequence numbers that take effect: repeats and numbers below a higher one do not. */
function effective(events: readonly Event[]): number[] {
  let highest = 0;
  return batchesOf(events)
    .flatMap((batch) => batch.records)
    .map((record) => record.sequence)
    .filter((sequence) => {
      const isNew = sequence > highest;
      highest = Math.max(highest, sequence);
      return isNew;
    });
}

function upTo(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index + 1);
}

async function setSwitches(port: number, switches: object): Promise<void> {
  await fetch(`http://127.0.0.1:${port}/switches`, {
    method: 'PUT',
    body: JSON.stringify(switches),
  });
}

/** Number of appends by stream, as counted by the log. */
async function appendStats(port: number): Promise<{ notes: number; plain: number }> {
  const response = await fetch(`http://127.0.0.1:${port}/stats`);
  const counts = z.object({ appends: z.int() });
  const stats = z.object({ notes: counts, plain: counts }).parse(await response.json());
  return { notes: stats.notes.appends, plain: stats.plain.appends };
}

function statsOf(task: StreamTask<Note>): Promise<StreamStats> {
  return new Promise((resolve) => {
    task.post({ kind: 'stats', reply: resolve });
  });
}

test('packs records submitted at once into few appends', async (t) => {
  const { clock, log, port, subscriber, task } = await runningStream(t);
  await task.start();
  for (const note of notes(1, 1000)) {
    task.post({ kind: 'append', records: [note] });
  }
  await subscriber.until((events) => effective(events).length === 1000);
  t.deepEqual(effective(subscriber.events), upTo(1000));
  const plain = brandAs<StreamName>('plain');
  for (const { record } of notes(1, 1000)) {
    await log.append(plain, codec.encode(record), deadlineAfter(clock.now(), 10_000));
  }
  const stats = await appendStats(port);
  t.log(`1000 records: ${stats.notes} appends, ${stats.plain} with one append a record`);
  t.is(stats.plain, 1000);
  t.true(stats.notes <= 10);
});

test('a record whose answer was lost takes effect once, and later ones after it', async (t) => {
  const { port, subscriber, task } = await runningStream(t);
  await setSwitches(port, { loseAnswers: { count: 1, how: 'cut' } });
  await task.start();
  task.post({ kind: 'append', records: notes(1, 3) });
  await subscriber.until((events) => effective(events).length === 3);
  task.post({ kind: 'append', records: notes(4, 3) });
  await subscriber.until((events) => effective(events).length === 6);
  t.deepEqual(effective(subscriber.events), upTo(6));
});

test('an append that takes effect late, after later ones, has no second effect', async (t) => {
  const { port, subscriber, task } = await runningStream(t);
  await setSwitches(port, { lateEffect: { count: 1, afterAppends: 2 } });
  await task.start();
  task.post({ kind: 'append', records: notes(1, 3) });
  await subscriber.until((events) => effective(events).length === 3);
  task.post({ kind: 'append', records: notes(4, 3) });
  await subscriber.until((events) => batchesOf(events).length === 3);
  const sequences = batchesOf(subscriber.events).map((batch) => batch.records[0]?.sequence);
  t.deepEqual(sequences.map(Number), [1, 4, 1]);
  t.deepEqual(effective(subscriber.events), upTo(6));
});

test('a log that refuses is reported to the subscriber; queued records are written when it is back', async (t) => {
  const { port, subscriber, task } = await runningStream(t);
  await setSwitches(port, { down: 'refuse' });
  await task.start();
  task.post({ kind: 'append', records: notes(1, 5) });
  await subscriber.until((events) => events.some((event) => event.kind === 'unavailable'));
  t.deepEqual(effective(subscriber.events), []);
  await setSwitches(port, { down: 'no' });
  await subscriber.until((events) => effective(events).length === 5);
  t.deepEqual(effective(subscriber.events), upTo(5));
});

test('a log that hangs is reported to the subscriber; each record takes effect once afterwards', async (t) => {
  const { port, subscriber, task } = await runningStream(t);
  await task.start();
  await subscriber.until((events) => events.some((event) => event.kind === 'caught_up'));
  await setSwitches(port, { down: 'hang' });
  task.post({ kind: 'append', records: notes(1, 5) });
  await subscriber.until((events) => events.some((event) => event.kind === 'unavailable'));
  await setSwitches(port, { down: 'no' });
  await subscriber.until((events) => effective(events).length === 5);
  t.deepEqual(effective(subscriber.events), upTo(5));
});

test('a slow log is still used', async (t) => {
  const { port, subscriber, task } = await runningStream(t);
  await setSwitches(port, { slowMillis: 200 });
  await task.start();
  for (const note of notes(1, 50)) {
    task.post({ kind: 'append', records: [note] });
  }
  await subscriber.until((events) => effective(events).length === 50);
  t.deepEqual(effective(subscriber.events), upTo(50));
});

test('malformed entries in the stream are skipped and counted', async (t) => {
  const { log, clock, subscriber, task } = await runningStream(t);
  await log.append(STREAM, 'not JSON', deadlineAfter(clock.now(), 10_000));
  await log.append(
    STREAM,
    '{"version":1,"writers":[],"records":[[0,1,{}]]}',
    deadlineAfter(clock.now(), 10_000),
  );
  await task.start();
  task.post({ kind: 'append', records: notes(1, 1) });
  await subscriber.until((events) => effective(events).length === 1);
  const skipped = subscriber.events.filter((event) => event.kind === 'skipped');
  t.deepEqual(
    skipped.map((event) => event.offset),
    [brandAs<Offset>(0), brandAs<Offset>(1)],
  );
  t.is((await statsOf(task)).skipped, 2);
});
