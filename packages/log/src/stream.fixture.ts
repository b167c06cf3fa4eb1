/** A stream task with an in-memory log, a recording subscriber and a manual clock. */

import { z } from 'zod';
import { ManualClock } from '@bamboowell/kernel/manual-clock';
import type { PostResult } from '@bamboowell/kernel/mailbox';
import { brandAs, type Sequence, type StreamName, type WriterId } from '@bamboowell/types/ids';
import type { CheckpointPart, Stamped } from '@bamboowell/types/records';
import { deadlineAfter, type Instant } from '@bamboowell/types/time';
import { splitSnapshot } from './checkpoint-parts.js';
import { JsonCodec } from './codec.js';
import { encodeRecord, packEntry } from './entry-format.js';
import { MemoryLog } from './memory-log.js';
import type { StreamEvent, StreamStats } from './stream-messages.js';
import { StreamTask } from './stream-task.js';

export const STREAM = brandAs<StreamName>('notes');
export const RETENTION_MILLIS = 8_000_000;
export const WRITER = brandAs<WriterId>('writer');

export type Entry = { readonly kind: 'note'; readonly text: string } | CheckpointPart;
export type Event = StreamEvent<Entry>;

export const codec = new JsonCodec<Entry>(
  z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('note'), text: z.string() }),
    z.looseObject({ kind: z.literal('checkpoint'), upTo: z.int(), body: z.string() }),
  ]),
);

/** A subscriber that records events and refuses them while it is busy. */
export function recorder() {
  return {
    events: [] as Event[],
    isBusy: false,
    post(event: Event): PostResult {
      if (this.isBusy) {
        return 'full';
      }
      this.events.push(event);
      return 'accepted';
    },
  };
}

export function newStream(
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

export async function runningStream(appendsPerSecond?: number) {
  const stream = newStream(appendsPerSecond);
  await stream.task.start();
  await settle();
  return stream;
}

/** Lets all messages and promises run that need no advance of the clock. */
export async function settle(): Promise<void> {
  for (let turn = 0; turn < 20; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** Advances the clock in small steps, so that the effects of each alarm also take place. */
export async function advanceTime(
  clock: ManualClock,
  millis: number,
  stepMillis = 50,
): Promise<void> {
  for (let passed = 0; passed < millis; passed += stepMillis) {
    clock.advance(Math.min(stepMillis, millis - passed));
    await settle();
  }
}

export function note(sequence: number, text = `note ${sequence}`): Stamped<Entry> {
  return { writer: WRITER, sequence: brandAs<Sequence>(sequence), record: { kind: 'note', text } };
}

export async function post(
  task: StreamTask<Entry>,
  ...sequences: readonly number[]
): Promise<void> {
  for (const sequence of sequences) {
    task.post({ kind: 'append', records: [note(sequence)] });
  }
  await settle();
}

export function withdraw(task: StreamTask<Entry>, sequence: number): Promise<string> {
  return new Promise((reply) => {
    task.post({ kind: 'withdraw', sequence: brandAs<Sequence>(sequence), reply });
  });
}

export function statsOf(task: StreamTask<Entry>): Promise<StreamStats> {
  return new Promise((reply) => {
    task.post({ kind: 'stats', reply });
  });
}

/** Sequence numbers of the notes by entry, in log order. */
export function delivered(events: readonly Event[]): number[][] {
  return events
    .flatMap((event) => (event.kind === 'batch' ? [event.batch.records] : []))
    .map((records) =>
      records.filter(({ record }) => record.kind === 'note').map(({ sequence }) => sequence),
    );
}

export function kindsOf(events: readonly Event[]): string[] {
  return events.map((event) => event.kind);
}

/** Appends an entry to the log without the stream task. */
export async function appendDirectly(
  log: MemoryLog,
  ...records: readonly Stamped<Entry>[]
): Promise<void> {
  const encoded = records.map(({ writer, sequence, record }) =>
    encodeRecord(writer, sequence, codec.encode(record)),
  );
  await log.append(STREAM, packEntry(encoded), deadlineAfter(brandAs<Instant>(0), 1));
}

export function snapshotOf(upTo: number, text: string): string {
  return JSON.stringify({ upTo, text });
}

export function partsOf(snapshot: string, writer = 'other'): Stamped<Entry>[] {
  return splitSnapshot(snapshot).map((record, index) => ({
    writer: brandAs<WriterId>(writer),
    sequence: brandAs<Sequence>(index + 1),
    record,
  }));
}

/** The sequence numbers that take effect: repeats and numbers below a higher one do not. */
export function effective(sequences: readonly number[]): number[] {
  let highest = 0;
  return sequences.filter((sequence) => {
    const isNew = sequence > highest;
    highest = Math.max(highest, sequence);
    return isNew;
  });
}

/** Lets one round of messages run. */
export async function settleBriefly(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
}
