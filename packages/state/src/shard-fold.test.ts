/** Properties of `ShardFold` that hold for any order, repetition and delay of appends. */

import test from 'ava';
import fc from 'fast-check';
import {
  attemptIdOf,
  brandAs,
  taskIdOf,
  type Epoch,
  type Incarnation,
  type MemberId,
  type QueueId,
  type RequestId,
  type TaskId,
  type TeamId,
  type WorkerId,
  type WorkId,
} from '@bamboowell/types/ids';
import type { ShardRecord, Stamped } from '@bamboowell/types/records';
import { NO_RESOURCES } from '@bamboowell/types/resources';
import type { Attempt, Outcome, Work } from '@bamboowell/types/work';
import {
  holdsAfterEach,
  applyAll,
  unchanged,
  assertHoldsOnlyFor,
  logArbitrary,
  stampedAs,
  withoutSequences,
  type Rewrite,
} from './fold.fixture.js';
import { ShardFold, type ShardSnapshot } from './shard-fold.js';

const WORK_COUNT = 3;
const TASKS_PER_WORK = 2;

type ShardRewrite = Rewrite<ShardRecord, ShardFold>;

/** Works 0 and 1 are idempotent, work 2 is not. */
function workOf(index: number, request = index): Work {
  return {
    id: brandAs<WorkId>(`work${index}`),
    team: brandAs<TeamId>('team'),
    queue: brandAs<QueueId>('queue'),
    requestId: brandAs<RequestId>(`request${request}`),
    shape: { kind: 'batch', tasks: TASKS_PER_WORK },
    urgency: 'ordinary',
    demand: NO_RESOURCES,
    expectedMillis: 1,
    idempotent: index < 2,
    checkpointable: true,
    payload: 'payload',
  };
}

function taskAt(index: number): TaskId {
  return taskIdOf(workOf(Math.floor(index / TASKS_PER_WORK)).id, index % TASKS_PER_WORK);
}

function attemptAt(index: number, number: number): Attempt {
  return {
    id: attemptIdOf(taskAt(index), number),
    task: taskAt(index),
    worker: brandAs<WorkerId>('worker'),
    incarnation: brandAs<Incarnation>('1'),
  };
}

const member = fc.constantFrom('a', 'b', 'c').map((value) => brandAs<MemberId>(value));
const work = fc.nat(WORK_COUNT - 1);
const task = fc.nat(WORK_COUNT * TASKS_PER_WORK - 1);

const outcome = fc.constantFrom<Outcome>(
  { kind: 'succeeded', answer: 'answer' },
  { kind: 'failed', detail: 'detail' },
  { kind: 'stopped' },
  { kind: 'stopped', checkpoint: 'saved' },
  { kind: 'never_started' },
  { kind: 'lost' },
);

/**
 * What a writer intends to do; `recordOf` adds the epoch and the attempt from the state of the log.
 */
type Intent =
  | { readonly kind: 'claim'; readonly owner: MemberId }
  | { readonly kind: 'release' }
  | { readonly kind: 'accept'; readonly work: number; readonly request: number }
  | { readonly kind: 'cancel'; readonly works: readonly number[] }
  | { readonly kind: 'place'; readonly tasks: readonly number[] }
  | { readonly kind: 'end'; readonly task: number; readonly outcome: Outcome };

const intent: fc.Arbitrary<Intent> = fc.oneof(
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('claim' as const), owner: member }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('release' as const) }) },
  {
    weight: 4,
    arbitrary: fc.record({ kind: fc.constant('accept' as const), work, request: work }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('cancel' as const),
      works: fc.array(work, { maxLength: 2 }),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('place' as const),
      tasks: fc.array(task, { minLength: 1, maxLength: 2 }),
    }),
  },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('end' as const), task, outcome }) },
);

/** How many epochs and attempts the writer is behind the log in what it knows. */
interface Lag {
  readonly epochs: number;
  readonly attempts: number;
}

const lag: fc.Arbitrary<Lag> = fc.oneof(
  { weight: 6, arbitrary: fc.constant({ epochs: 0, attempts: 0 }) },
  { weight: 1, arbitrary: fc.record({ epochs: fc.nat(2), attempts: fc.nat(1) }) },
);

function recordOf(
  [intended, { epochs, attempts }]: readonly [Intent, Lag],
  fold: ShardFold,
): ShardRecord {
  const epoch = brandAs<Epoch>(Math.max(0, fold.epoch - epochs));
  const numberOf = (index: number) => (fold.task(taskAt(index))?.attempts ?? 0) - attempts;
  switch (intended.kind) {
    case 'claim':
      return { kind: 'claim', epoch: brandAs<Epoch>(epoch + 1), owner: intended.owner, votes: [] };
    case 'release':
      return { kind: 'release', epoch };
    case 'accept':
      return { kind: 'accept', epoch, work: workOf(intended.work, intended.request) };
    case 'cancel':
      return { kind: 'cancel', epoch, works: intended.works.map((index) => workOf(index).id) };
    case 'place':
      return {
        kind: 'place',
        epoch,
        attempts: intended.tasks.map((index) => attemptAt(index, numberOf(index) + 1)),
      };
    case 'end': {
      const { id } = attemptAt(intended.task, numberOf(intended.task));
      return { kind: 'end', epoch, attempt: id, outcome: intended.outcome };
    }
  }
}

const log = logArbitrary<ShardRecord, ShardFold, readonly [Intent, Lag]>(
  fc.tuple(intent, lag),
  () => new ShardFold(),
  recordOf,
);

function stateOf(fold: ShardFold): unknown {
  return JSON.parse(JSON.stringify({ ...fold.snapshot(), upTo: 0 }));
}

function isEqual(left: unknown, right: unknown): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}

/** Simulates a fold that does not compare epochs. */
const withoutEpochs: ShardRewrite = (stamped, fold) => {
  const { record } = stamped;
  const current = record.kind === 'claim' ? fold.epoch + 1 : fold.epoch;
  return [{ ...stamped, record: { ...record, epoch: brandAs<Epoch>(current) } as ShardRecord }];
};

/** Simulates a fold that places a task whatever its state: ends the running attempt first. */
const withoutStates: ShardRewrite = (stamped, fold) => {
  if (stamped.record.kind !== 'place') {
    return [stamped];
  }
  const ends = stamped.record.attempts.flatMap(({ task: id }, index) => {
    const state = fold.task(id)?.state;
    return state?.kind === 'placed' ? [endOf(state.attempt, fold, index)] : [];
  });
  const attempts = stamped.record.attempts.map((one) => ({
    ...one,
    id: attemptIdOf(one.task, (fold.task(one.task)?.attempts ?? 0) + 1),
  }));
  return [...ends, { ...stamped, record: { ...stamped.record, attempts } }];
};

function endOf({ id }: Attempt, fold: ShardFold, index: number): Stamped<ShardRecord> {
  return stampedAs(`end at ${fold.upTo} ${index}`, 1, {
    kind: 'end',
    epoch: fold.epoch,
    attempt: id,
    outcome: { kind: 'never_started' },
  });
}

/** Simulates a fold that treats all work as idempotent. */
const withoutIdempotence: ShardRewrite = (stamped) =>
  stamped.record.kind === 'accept'
    ? [
        {
          ...stamped,
          record: { ...stamped.record, work: { ...stamped.record.work, idempotent: true } },
        },
      ]
    : [stamped];

test('an epoch has one owner, and epochs only rise', (t) => {
  const propertyFor = (rewrite: ShardRewrite) =>
    fc.property(log, ({ all }) => {
      const owners = new Map<Epoch, MemberId>();
      let highest = 0;
      return holdsAfterEach(new ShardFold(), all, rewrite, ({ record, effect, fold }) => {
        if (record.kind === 'claim' && effect.kind === 'applied') {
          if (owners.has(record.epoch) || record.epoch <= highest) {
            return false;
          }
          owners.set(record.epoch, record.owner);
          highest = record.epoch;
        }
        return fold.epoch === highest && [null, owners.get(fold.epoch)].includes(fold.owner);
      });
    });
  assertHoldsOnlyFor(t, propertyFor, unchanged, withoutEpochs);
});

test('a record of another epoch than the current one has no effect', (t) => {
  const propertyFor = (rewrite: ShardRewrite) =>
    fc.property(log, ({ all }) => {
      let current = 0;
      return holdsAfterEach(new ShardFold(), all, rewrite, ({ record, effect }) => {
        const isApplied = effect.kind === 'applied' && record.kind !== 'checkpoint';
        const isAllowed = !isApplied || record.kind === 'claim' || record.epoch === current;
        current = isApplied && record.kind === 'claim' ? record.epoch : current;
        return isAllowed;
      });
    });
  assertHoldsOnlyFor(t, propertyFor, unchanged, withoutEpochs);
});

test('a repeated append has no second effect, however late', (t) => {
  const propertyFor = (rewrite: ShardRewrite) =>
    fc.property(log, ({ once, all }) => {
      const one = new ShardFold();
      const other = new ShardFold();
      applyAll(one, once, rewrite);
      applyAll(other, all, rewrite);
      return isEqual(
        { ...one.snapshot(), upTo: 0, writers: [] },
        { ...other.snapshot(), upTo: 0, writers: [] },
      );
    });
  assertHoldsOnlyFor(t, propertyFor, unchanged, withoutSequences);
});

test('a task is placed again only after an end, and no attempt id comes twice', (t) => {
  const propertyFor = (rewrite: ShardRewrite) =>
    fc.property(log, ({ all }) => {
      const running = new Set<TaskId>();
      const used = new Set<string>();
      return holdsAfterEach(new ShardFold(), all, rewrite, ({ record, effect }) => {
        if (effect.kind !== 'applied') {
          return true;
        }
        if (record.kind === 'end') {
          running.delete(brandAs<TaskId>(record.attempt.slice(0, record.attempt.lastIndexOf('#'))));
        }
        const attempts = record.kind === 'place' ? record.attempts : [];
        return attempts.every(({ id, task: placed }) => {
          const isAllowed = !running.has(placed) && !used.has(id);
          running.add(placed);
          used.add(id);
          return isAllowed;
        });
      });
    });
  assertHoldsOnlyFor(t, propertyFor, unchanged, withoutStates);
});

test('a task that is not idempotent is over once it may have run', (t) => {
  const propertyFor = (rewrite: ShardRewrite) =>
    fc.property(log, ({ all }) => {
      const ended = new Set<TaskId>();
      return holdsAfterEach(new ShardFold(), all, rewrite, ({ record, effect, fold }) => {
        if (effect.kind === 'applied' && record.kind === 'end') {
          const id = brandAs<TaskId>(record.attempt.slice(0, record.attempt.lastIndexOf('#')));
          if (id.startsWith(workOf(2).id) && mayHaveRun(record.outcome)) {
            ended.add(id);
          }
        }
        return [...ended].every((id) => fold.task(id)?.state.kind === 'ended');
      });
    });
  assertHoldsOnlyFor(t, propertyFor, unchanged, withoutIdempotence);
});

/** False for an attempt that left a checkpoint: the next one resumes where it stopped. */
function mayHaveRun(ended: Outcome): boolean {
  return ended.kind === 'stopped' ? ended.checkpoint === undefined : ended.kind !== 'never_started';
}

test('a reader that starts from a snapshot has the same state as one from the beginning', (t) => {
  const propertyFor = (damage: (snapshot: ShardSnapshot) => ShardSnapshot) =>
    fc.property(log, fc.nat(75), ({ all }, cut) => {
      const whole = new ShardFold();
      applyAll(whole, all, unchanged);
      const first = new ShardFold();
      applyAll(first, all.slice(0, cut), unchanged);
      const text = JSON.stringify(damage(first.snapshot()));
      const restored = ShardFold.restore(JSON.parse(text) as ShardSnapshot);
      applyAll(restored, all.slice(cut), unchanged, Math.min(cut, all.length));
      return isEqual(stateOf(whole), stateOf(restored)) && hasConsistentIndexes(whole, restored);
    });
  assertHoldsOnlyFor<(snapshot: ShardSnapshot) => ShardSnapshot>(
    t,
    propertyFor,
    (snapshot) => snapshot,
    (snapshot) => ({ ...snapshot, writers: [] }),
    (snapshot) => ({ ...snapshot, owner: null }),
    (snapshot) => ({ ...snapshot, works: [] }),
    (snapshot) => ({ ...snapshot, ended: [] }),
  );
});

/** Whether `waiting` and `endedTasks` of each work agree with the states of its tasks. */
function hasConsistentIndexes(left: ShardFold, right: ShardFold): boolean {
  return [left, right].every((fold) =>
    [...fold.works.values()].every(({ tasks, waiting, endedTasks }) => {
      const indices = tasks.flatMap(({ state }, index) =>
        state.kind === 'waiting' ? [index] : [],
      );
      const ended = tasks.filter(({ state }) => state.kind === 'ended').length;
      return (
        isEqual(
          indices,
          [...waiting].sort((one, other) => one - other),
        ) && ended === endedTasks
      );
    }),
  );
}
