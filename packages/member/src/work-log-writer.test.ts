import test from 'ava';
import { ManualClock } from '@bamboowell/kernel/manual-clock';
import { EventLog } from '@bamboowell/logger/logger';
import type { JobBatch } from '@bamboowell/jobs/messages';
import { brandAs, type Offset } from '@bamboowell/types/ids';
import type { Term } from '@bamboowell/types/job';
import type { OwnerMessage } from './owner-messages.js';
import {
  Store,
  type AppendOutcome,
  type LogPart,
  type NewestPage,
  type ProducerSequence,
  type StoreWrite,
  type Topic,
} from './store.js';
import { WorkLogWriter, type AppendResult } from './work-log-writer.js';

type Appended = Extract<OwnerMessage, { kind: 'appended' }>;

/** A store whose appends wait until the test answers them. */
class ManualStore extends Store {
  readonly calls: {
    readonly writes: readonly StoreWrite[];
    readonly answer: (outcome: AppendOutcome) => void;
  }[] = [];

  readonly probes: ((isAnswered: boolean) => void)[] = [];

  append(_topic: Topic, writes: readonly StoreWrite[]): Promise<AppendOutcome> {
    return new Promise((answer) => {
      this.calls.push({ writes, answer });
    });
  }

  override probe(): Promise<boolean> {
    return new Promise((answer) => {
      this.probes.push(answer);
    });
  }

  newest(): Promise<NewestPage> {
    throw new Error('not used in these tests');
  }

  read(): Promise<LogPart> {
    throw new Error('not used in these tests');
  }
}

class NoEvents extends EventLog {
  event(): void {
    // These tests don't check the log.
  }
}

const APPENDED: AppendOutcome = { kind: 'appended', end: brandAs<Offset>(1) };

/** A writer with a manual store, which counts the calls of `wakeAt`. */
function writerBench() {
  const clock = new ManualClock(1000);
  const store = new ManualStore();
  const due: JobBatch[] = [];
  const committed: number[] = [];
  const outcomes: Appended[] = [];
  let wakeCount = 0;
  const writer: WorkLogWriter = new WorkLogWriter({
    term: brandAs<Term>(2),
    store,
    events: new NoEvents(),
    clock,
    wallMillis: () => clock.now(),
    owner: {
      post: (message) => {
        if (message.kind === 'appended') {
          outcomes.push(message);
        } else if (message.kind === 'probed') {
          writer.handleProbe(message);
        }
        return 'accepted';
      },
    },
    wakeAt: (at) => {
      wakeCount += 1;
      clock.wakeAt(at, () => {
        writer.wake();
      });
    },
    checkAt: (at) => {
      clock.wakeAt(at, () => {
        writer.check();
      });
    },
    takeBatch: () => due.shift(),
    committed: (batch) => {
      committed.push(batch);
    },
  });
  let batches = 0;
  return {
    writer,
    store,
    clock,
    committed,
    wakeUps: () => wakeCount,
    /** Adds a batch of the scheduler with `count` writes. */
    write: (count = 1): void => {
      batches += 1;
      const writes = Array.from({ length: count }, (_, index) => ({ key: `k${index}`, value: 1 }));
      due.push({ number: batches, writes });
      writer.send();
    },
    /** Answers the append with this index. */
    answer: async (number: number, outcome = APPENDED): Promise<AppendResult | undefined> => {
      store.calls[number]?.answer(outcome);
      await new Promise((resolve) => setImmediate(resolve));
      const message = outcomes.shift();
      return message === undefined ? undefined : writer.handleOutcome(message);
    },
  };
}

test('with a fast store writes are batched for some milliseconds after an answer', async (t) => {
  const { writer, store, clock, write, answer } = writerBench();
  clock.advance(100);
  write();
  t.is(store.calls.length, 1);
  clock.advance(4);
  t.like(await answer(0), { kind: 'recorded', isFirst: true, batches: [1] });
  write();
  t.is(store.calls.length, 1);
  clock.advance(10);
  t.is(store.calls.length, 2);
  t.true(writer.isOwnershipConfirmed);
});

test('with a slow store the next append follows after a third of the last latency', async (t) => {
  const { store, clock, write, answer } = writerBench();
  clock.advance(100);
  write();
  clock.advance(300);
  await answer(0);
  clock.advance(10);
  write();
  t.is(store.calls.length, 2);
  write();
  clock.advance(99);
  t.is(store.calls.length, 2);
  clock.advance(1);
  t.is(store.calls.length, 3);
});

test('a batch without writes is committed with the appends in flight, not before', async (t) => {
  const { clock, committed, write, answer } = writerBench();
  clock.advance(100);
  write();
  clock.advance(50);
  write(0);
  t.deepEqual(committed, []);
  t.like(await answer(0), { batches: [1, 2] });
  clock.advance(10);
  write(0);
  t.deepEqual(committed, [3]);
});

test('an append that overtook an earlier one is retried in order', async (t) => {
  const { store, clock, write, answer } = writerBench();
  clock.advance(100);
  write();
  clock.advance(50);
  write(2);
  t.is(store.calls.length, 2);
  const expected = brandAs<ProducerSequence>(1);
  t.deepEqual(await answer(1, { kind: 'out_of_sequence', expected }), { kind: 'retry' });
  t.like(await answer(0), { kind: 'recorded', batches: [1] });
  clock.advance(60);
  t.is(store.calls.length, 3);
  t.is(store.calls[2]?.writes.length, 2);
  t.like(await answer(2), { kind: 'recorded', batches: [2] });
});

test('a fenced append, or a stored one whose answer is lost for good, ends the term', async (t) => {
  for (const [outcome, reason] of [
    [{ kind: 'out_of_sequence', expected: brandAs<ProducerSequence>(7) }, 'out_of_sequence'],
    [{ kind: 'fenced' }, 'fenced'],
  ] as const) {
    const { clock, write, answer } = writerBench();
    clock.advance(100);
    write();
    t.deepEqual(await answer(0, outcome), { kind: 'lost', reason });
  }
});

test('a failed append is retried after a pause, and a silent store counts as stalled', async (t) => {
  const { writer, store, clock, write, answer } = writerBench();
  clock.advance(100);
  write();
  clock.advance(800);
  const noAnswer: AppendOutcome = { kind: 'unavailable', how: 'silent', detail: 'no answer' };
  t.deepEqual(await answer(0, noAnswer), { kind: 'retry' });
  t.is(store.calls.length, 1);
  t.false(writer.isStalled);
  clock.advance(60);
  t.is(store.calls.length, 2);
  t.deepEqual(store.calls[1]?.writes, store.calls[0]?.writes);
  clock.advance(200);
  t.true(writer.isStalled);
  await answer(1);
  t.false(writer.isStalled);
});

test('a wake-up is scheduled only once', (t) => {
  const { clock, write, wakeUps } = writerBench();
  clock.advance(100);
  write();
  const asked = wakeUps();
  write();
  write();
  t.is(wakeUps(), asked + 1);
});

test('no writes are taken after finishing, and a slow store is detected', async (t) => {
  const { writer, store, clock, write, answer } = writerBench();
  clock.advance(100);
  write();
  t.false(writer.isSlow);
  clock.advance(101);
  t.true(writer.isSlow);
  await answer(0);
  t.true(writer.isSlow);
  write();
  writer.finish();
  clock.advance(50);
  t.is(store.calls.length, 2);
  write();
  await answer(1);
  clock.advance(500);
  t.is(store.calls.length, 2);
  t.true(writer.isIdle);
  t.false(writer.isSlow);
});

// Guards against an owner that counts the answer to the repeat of an append as a new proof of its ownership.
test('the answer to a repeated append confirms ownership as of its first copy', async (t) => {
  const { writer, store, clock, write, answer } = writerBench();
  clock.advance(100);
  const sentAt = clock.now();
  write();
  clock.advance(400);
  await answer(0, { kind: 'unavailable', how: 'silent', detail: '' });
  clock.advance(60);
  t.is(store.calls.length, 2);
  clock.advance(300);
  t.like(await answer(1), { kind: 'recorded', confirmedAt: { at: sentAt } });
  t.true(writer.isOwnershipConfirmed);
  clock.advance(100);
  t.false(writer.isOwnershipConfirmed);
});

// Guards against a store that is back while the owner still waits for the time-outs of calls that were lost.
test('the first answer to a probe repeats the append at once, and no batch is sent while the store is silent', async (t) => {
  const { writer, store, clock, write, answer } = writerBench();
  clock.advance(100);
  write();
  clock.advance(4);
  await answer(0);
  clock.advance(10);
  write();
  clock.advance(60);
  write();
  t.is(store.probes.length, 1);
  t.is(store.calls.length, 2);
  clock.advance(400);
  t.true(writer.isStoreAway);
  t.true(writer.isBackedUp);
  const { length } = store.calls;
  t.true(store.probes.length <= 5);
  clock.advance(3000);
  t.true(store.probes.length <= 35);
  t.true(store.calls.slice(length).every(({ writes }) => writes.length === 1));
  const before = store.calls.length;
  clock.advance(10);
  store.probes.at(-1)?.(true);
  await new Promise((resolve) => setImmediate(resolve));
  t.is(store.calls.length, before + 1);
  t.deepEqual(store.calls[before]?.writes, store.calls[1]?.writes);
});

// Guards against an answer to a second copy that extends the proof of ownership, or moves the window back.
test('only the first answer to an append counts, whichever copy it answers', async (t) => {
  const { writer, store, clock, write, answer } = writerBench();
  clock.advance(100);
  write();
  clock.advance(4);
  await answer(0);
  clock.advance(10);
  write();
  clock.advance(110);
  t.is(store.calls.length, 3);
  t.like(await answer(1), { kind: 'recorded', batches: [2] });
  clock.advance(720);
  t.deepEqual(await answer(2), { kind: 'retry' });
  t.false(writer.isOwnershipConfirmed);
  t.true(writer.isIdle);
  const silent: AppendOutcome = { kind: 'unavailable', how: 'silent', detail: '' };
  write();
  t.is(store.calls.length, 4);
  clock.advance(180);
  t.is(store.calls.length, 5);
  t.deepEqual(await answer(3, silent), { kind: 'retry' });
  t.like(await answer(4), { kind: 'recorded', batches: [3] });
});
