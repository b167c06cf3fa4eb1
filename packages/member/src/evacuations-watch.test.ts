import test from 'ava';
import { ManualClock } from '@bamboowell/kernel/manual-clock';
import { EventLog } from '@bamboowell/logger/logger';
import { brandAs, type DataCentreId, type Offset } from '@bamboowell/types/ids';
import type { Term } from '@bamboowell/types/job';
import { JsonDocuments } from './emulated-cluster.fixture.js';
import { EvacuationsWatch } from './evacuations-watch.js';
import type { OwnerMessage } from './owner-messages.js';
import {
  Store,
  type AppendOutcome,
  type LogPart,
  type NewestPage,
  type StoreEntry,
  type Unavailable,
} from './store.js';

const BOUND_MILLIS = 4000;
const SILENCE: Unavailable = { kind: 'unavailable', how: 'silent', detail: 'no answer' };

type Answer = NewestPage | LogPart | Unavailable;

interface OpenCall {
  readonly kind: 'newest' | 'read';
  readonly after: string | undefined;
  readonly answer: (answer: Answer) => void;
}

/** A store whose answers the test gives. */
class HeldStore extends Store {
  readonly calls: OpenCall[] = [];

  append(): Promise<AppendOutcome> {
    return Promise.resolve(SILENCE);
  }

  newest(_topic: unknown, after: string | undefined): Promise<NewestPage | Unavailable> {
    return this.call<NewestPage | Unavailable>('newest', after);
  }

  read(): Promise<LogPart | Unavailable> {
    return this.call<LogPart | Unavailable>('read', undefined);
  }

  private call<Kind extends Answer>(kind: OpenCall['kind'], after: string | undefined) {
    return new Promise<Kind>((resolve) => {
      const answer = (given: Answer): void => {
        resolve(given as Kind);
      };
      this.calls.push({ kind, after, answer });
    });
  }
}

class ListedEvents extends EventLog {
  readonly names: string[] = [];

  event(name: string): void {
    this.names.push(name);
  }
}

function entry(zone: string, offset: number, value: string | undefined = '{}'): StoreEntry {
  return { key: `evacuate/${zone}`, value, offset: brandAs<Offset>(offset) };
}

function watchBench() {
  const clock = new ManualClock(1000);
  const store = new HeldStore();
  const events = new ListedEvents();
  const messages: Extract<OwnerMessage, { kind: 'evacuations' }>[] = [];
  const owner = {
    post: (message: OwnerMessage) => {
      if (message.kind === 'evacuations') {
        messages.push(message);
      }
      return 'accepted' as const;
    },
  };
  const term = brandAs<Term>(1);
  const watch = new EvacuationsWatch(
    { store, documents: new JsonDocuments(), events, owner, term, boundMillis: BOUND_MILLIS },
    clock,
  );
  const settle = (): Promise<void> =>
    new Promise((resolve) => {
      setImmediate(resolve);
    });
  watch.start();
  return {
    events,
    messages,
    zones: (): readonly DataCentreId[] | undefined => messages.at(-1)?.evacuations.zones,
    reliedOnUntil: (): number | undefined => messages.at(-1)?.evacuations.currentUntil,
    advance: async (millis: number): Promise<void> => {
      clock.advance(millis);
      await settle();
    },
    /** Answers the call that has been open for longest. */
    answer: async (kind: OpenCall['kind'], entries: readonly StoreEntry[], end: number) => {
      const index = store.calls.findIndex((call) => call.kind === kind);
      const [call] = store.calls.splice(index, 1);
      const given = { entries, end: brandAs<Offset>(end) };
      call?.answer(
        kind === 'newest'
          ? { kind: 'page', next: undefined, ...given }
          : { kind: 'part', ...given },
      );
      await settle();
      return call;
    },
  };
}

test('the set is read before anything is told, without the configuration in the same topic', async (t) => {
  const bench = watchBench();
  t.deepEqual(bench.messages, []);
  const call = await bench.answer('newest', [entry('west', 3)], 5);
  t.is(call?.after, 'evacuate');
  t.deepEqual(bench.zones(), [brandAs<DataCentreId>('west')]);
  t.is(bench.reliedOnUntil(), 1000 + BOUND_MILLIS / 2);
});

test('a record evacuates its data centre whatever its value, until it is deleted', async (t) => {
  const bench = watchBench();
  await bench.answer('newest', [], 5);
  await bench.answer('read', [entry('west', 5, '{')], 6);
  t.deepEqual(bench.zones(), [brandAs<DataCentreId>('west')]);
  t.deepEqual(
    bench.events.names.filter((name) => name === 'record.unreadable'),
    ['record.unreadable'],
  );
  const deletion = { ...entry('west', 6), value: undefined };
  await bench.answer('read', [deletion], 7);
  t.deepEqual(bench.zones(), []);
});

// Guards against starts that end because a large configuration is on its way in the same topic.
test('while the poll confirms nothing, direct readings do', async (t) => {
  const bench = watchBench();
  await bench.answer('newest', [], 5);
  await bench.advance(BOUND_MILLIS / 4);
  await bench.answer('newest', [entry('west', 5)], 7);
  t.deepEqual(bench.zones(), [brandAs<DataCentreId>('west')]);
  t.is(bench.reliedOnUntil(), 1000 + BOUND_MILLIS / 4 + BOUND_MILLIS / 2);
});

// Guards against starts on the word of a store that does not know its topic for a moment.
test('a reading that lacks records that were there confirms nothing', async (t) => {
  const bench = watchBench();
  await bench.answer('newest', [entry('west', 3)], 5);
  await bench.advance(BOUND_MILLIS / 4);
  await bench.answer('newest', [], 0);
  t.deepEqual(bench.zones(), [brandAs<DataCentreId>('west')]);
  t.is(bench.reliedOnUntil(), 1000 + BOUND_MILLIS / 2);
});

// Guards against an answer that was on its way for long and ends an evacuation that has begun since.
test('an answer that is older than what is known changes nothing', async (t) => {
  const bench = watchBench();
  await bench.answer('newest', [entry('west', 3)], 5);
  await bench.advance(BOUND_MILLIS / 4);
  const west = [brandAs<DataCentreId>('west')];
  await bench.answer('newest', [entry('west', 6)], 7);
  await bench.answer('read', [{ ...entry('west', 5), value: undefined }], 6);
  t.deepEqual(bench.zones(), west);
  await bench.answer('read', [entry('west', 6)], 7);
  t.deepEqual(bench.zones(), west);
});
