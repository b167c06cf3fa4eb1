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

/** Appends wait until a test answers them. */
class HeldStore extends Store {
  readonly calls: {
    readonly writes: readonly StoreWrite[];
    readonly answer: (outcome: AppendOutcome) => void;
  }[] = [];

  append(_topic: Topic, writes: readonly StoreWrite[]): Promise<AppendOutcome> {
    return new Promise((answer) => {
      this.calls.push({ writes, answer });
    });
  }

  newest(): Promise<NewestPage> {
    throw new Error('nothing is read here');
  }

  read(): Promise<LogPart> {
    throw new Error('nothing is read here');
  }
}

class NoEvents extends EventLog {
  event(): void {
    // What is logged is not looked at here.
  }
}

const APPENDED: AppendOutcome = { kind: 'appended', end: brandAs<Offset>(1) };

/** Appends of an owner whose reminders are kept, with a store that answers by hand. */
function appendsBench() {
  const clock = new ManualClock(1000);
  const store = new HeldStore();
  const due: JobBatch[] = [];
  const committed: number[] = [];
  const outcomes: Appended[] = [];
  let reminders = 0;
  const appends: WorkLogWriter = new WorkLogWriter({
    term: brandAs<Term>(2),
    store,
    events: new NoEvents(),
    clock,
    wallMillis: () => clock.now(),
    owner: {
      post: (message) => {
        if (message.kind === 'appended') {
          outcomes.push(message);
        }
        return 'accepted';
      },
    },
    wakeAt: (at) => {
      reminders += 1;
      clock.wakeAt(at, () => {
        appends.wake();
      });
    },
    takeBatch: () => due.shift(),
    committed: (batch) => {
      committed.push(batch);
    },
  });
  let batches = 0;
  return {
    appends,
    store,
    clock,
    committed,
    reminders: () => reminders,
    /** The scheduler has writes; none where `count` is 0. */
    write: (count = 1): void => {
      batches += 1;
      const writes = Array.from({ length: count }, (_, index) => ({ key: `k${index}`, value: 1 }));
      due.push({ number: batches, writes });
      appends.send();
    },
    /** The store answers the append of this number, counted from 0. */
    answer: async (number: number, outcome = APPENDED): Promise<AppendResult | undefined> => {
      store.calls[number]?.answer(outcome);
      await new Promise((resolve) => setImmediate(resolve));
      const message = outcomes.shift();
      return message === undefined ? undefined : appends.handleOutcome(message);
    },
  };
}

test('with a fast store writes are gathered for some milliseconds after an answer', async (t) => {
  const { appends, store, clock, write, answer } = appendsBench();
  clock.advance(100);
  write();
  t.is(store.calls.length, 1);
  clock.advance(4);
  t.like(await answer(0), { kind: 'recorded', isFirst: true, batches: [1] });
  write();
  t.is(store.calls.length, 1);
  clock.advance(10);
  t.is(store.calls.length, 2);
  t.true(appends.isOwnershipConfirmed);
});

test('while the store is slow an append follows after a third of the last latency', async (t) => {
  const { store, clock, write, answer } = appendsBench();
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

test('what needs no write is committed with what is on its way, not before', async (t) => {
  const { clock, committed, write, answer } = appendsBench();
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

test('an append that overtook an earlier one is sent again, in order', async (t) => {
  const { store, clock, write, answer } = appendsBench();
  clock.advance(100);
  write();
  clock.advance(50);
  write(2);
  t.is(store.calls.length, 2);
  const expected = brandAs<ProducerSequence>(1);
  t.deepEqual(await answer(1, { kind: 'out_of_sequence', expected }), { kind: 'again' });
  t.like(await answer(0), { kind: 'recorded', batches: [1] });
  clock.advance(60);
  t.is(store.calls.length, 3);
  t.is(store.calls[2]?.writes.length, 2);
  t.like(await answer(2), { kind: 'recorded', batches: [2] });
});

test('an append of which the store has lost the answer, and a fence, end the term', async (t) => {
  for (const [outcome, reason] of [
    [{ kind: 'out_of_sequence', expected: brandAs<ProducerSequence>(7) }, 'out_of_sequence'],
    [{ kind: 'fenced' }, 'fenced'],
  ] as const) {
    const { clock, write, answer } = appendsBench();
    clock.advance(100);
    write();
    t.deepEqual(await answer(0, outcome), { kind: 'lost', reason });
  }
});

test('a failed append is sent again after a pause, and a store that stays silent is late', async (t) => {
  const { appends, store, clock, write, answer } = appendsBench();
  clock.advance(100);
  write();
  clock.advance(800);
  const silence: AppendOutcome = { kind: 'unavailable', how: 'silent', detail: 'no answer' };
  t.deepEqual(await answer(0, silence), { kind: 'again' });
  t.is(store.calls.length, 1);
  t.false(appends.isStalled);
  clock.advance(60);
  t.is(store.calls.length, 2);
  t.deepEqual(store.calls[1]?.writes, store.calls[0]?.writes);
  clock.advance(200);
  t.true(appends.isStalled);
  await answer(1);
  t.false(appends.isStalled);
});

test('reminders for the same time are asked for once', (t) => {
  const { clock, write, reminders } = appendsBench();
  clock.advance(100);
  write();
  const asked = reminders();
  write();
  write();
  t.is(reminders(), asked + 1);
});

test('after the last writes nothing is taken any more, and a slow store is told', async (t) => {
  const { appends, store, clock, write, answer } = appendsBench();
  clock.advance(100);
  write();
  t.false(appends.isSlow);
  clock.advance(101);
  t.true(appends.isSlow);
  await answer(0);
  t.true(appends.isSlow);
  write();
  appends.finish();
  clock.advance(50);
  t.is(store.calls.length, 2);
  write();
  await answer(1);
  clock.advance(500);
  t.is(store.calls.length, 2);
  t.true(appends.isIdle);
  t.false(appends.isSlow);
});
