/** Laws of the shard's fold over any order, repetition and delay of appends. */

import test, { type ExecutionContext } from 'ava';
import fc from 'fast-check';
import {
  attemptIdOf,
  brandAs,
  taskIdOf,
  type Epoch,
  type Incarnation,
  type MemberId,
  type Offset,
  type QueueId,
  type RequestId,
  type Sequence,
  type TaskId,
  type TeamId,
  type WorkerId,
  type WorkId,
  type WriterId,
} from '@bamboowell/types/ids';
import type { Effect, ShardRecord, Stamped } from '@bamboowell/types/records';
import { NOTHING } from '@bamboowell/types/resources';
import type { Attempt, Outcome, Work } from '@bamboowell/types/work';
import { ShardFold, type ShardSnapshot } from './shard-fold.js';

const RUNS = { seed: 20_261_204, numRuns: 1000 };
const WORKS = 3;
const TASKS = 2;

/** Changes a record, or puts others before it, on its way to the fold. */
type Rewrite = (stamped: Stamped<ShardRecord>, fold: ShardFold) => Stamped<ShardRecord>[];

/** One entry of a log of single records, and what a fold made of it. */
interface Step {
  readonly record: ShardRecord;
  readonly effect: Effect;
  readonly fold: ShardFold;
}

const asIs: Rewrite = (stamped) => [stamped];

/** Works 0 and 1 may be repeated, work 2 may not. */
function workOf(index: number, request = index): Work {
  return {
    id: brandAs<WorkId>(`work${index}`),
    team: brandAs<TeamId>('team'),
    queue: brandAs<QueueId>('queue'),
    requestId: brandAs<RequestId>(`request${request}`),
    shape: { kind: 'batch', tasks: TASKS },
    urgency: 'ordinary',
    demand: NOTHING,
    expectedMillis: 1,
    idempotent: index < 2,
    checkpointable: true,
    payload: 'payload',
  };
}

function taskAt(index: number): TaskId {
  return taskIdOf(workOf(Math.floor(index / TASKS)).id, index % TASKS);
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
const work = fc.nat(WORKS - 1);
const task = fc.nat(WORKS * TASKS - 1);

const outcome = fc.constantFrom<Outcome>(
  { kind: 'succeeded', answer: 'answer' },
  { kind: 'failed', detail: 'detail' },
  { kind: 'stopped' },
  { kind: 'stopped', checkpoint: 'saved' },
  { kind: 'never_started' },
  { kind: 'lost' },
);

/** What a writer means to do, before it is known at which epoch and attempt the others are. */
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

/** How far the writer is behind in what it knows of epochs and of attempts. */
interface Lag {
  readonly epochs: number;
  readonly attempts: number;
}

const lag: fc.Arbitrary<Lag> = fc.oneof(
  { weight: 6, arbitrary: fc.constant({ epochs: 0, attempts: 0 }) },
  { weight: 1, arbitrary: fc.record({ epochs: fc.nat(2), attempts: fc.nat(1) }) },
);

function recordOf(meant: Intent, { epochs, attempts }: Lag, fold: ShardFold): ShardRecord {
  const epoch = brandAs<Epoch>(Math.max(0, fold.epoch - epochs));
  const numberOf = (index: number) => (fold.task(taskAt(index))?.attempts ?? 0) - attempts;
  switch (meant.kind) {
    case 'claim':
      return { kind: 'claim', epoch: brandAs<Epoch>(epoch + 1), owner: meant.owner, votes: [] };
    case 'release':
      return { kind: 'release', epoch };
    case 'accept':
      return { kind: 'accept', epoch, work: workOf(meant.work, meant.request) };
    case 'cancel':
      return { kind: 'cancel', epoch, works: meant.works.map((index) => workOf(index).id) };
    case 'place':
      return {
        kind: 'place',
        epoch,
        attempts: meant.tasks.map((index) => attemptAt(index, numberOf(index) + 1)),
      };
    case 'end': {
      const { id } = attemptAt(meant.task, numberOf(meant.task));
      return { kind: 'end', epoch, attempt: id, outcome: meant.outcome };
    }
  }
}

/**
 * A log to which three writers appended. Each writer's records come in its order for the first
 * time; any may come again, at any later place.
 */
const log = fc
  .tuple(
    fc.array(fc.tuple(fc.nat(2), intent, lag), { maxLength: 60, size: 'max' }),
    fc.array(fc.tuple(fc.nat(59), fc.nat(59)), { maxLength: 15 }),
  )
  .map(([firsts, repeats]) => {
    const once = stamp(firsts);
    return { once, all: withRepeats(once, repeats) };
  });

function stamp(firsts: readonly (readonly [number, Intent, Lag])[]): Stamped<ShardRecord>[] {
  const sequences = [0, 0, 0];
  const fold = new ShardFold();
  return firsts.map(([writer, meant, behind], offset) => {
    const sequence = (sequences[writer] ?? 0) + 1;
    sequences[writer] = sequence;
    const stamped = {
      writer: brandAs<WriterId>(`writer${writer}`),
      sequence: brandAs<Sequence>(sequence),
      record: recordOf(meant, behind, fold),
    };
    fold.apply(stamped, brandAs<Offset>(offset));
    return stamped;
  });
}

function withRepeats(
  records: readonly Stamped<ShardRecord>[],
  repeats: readonly (readonly [number, number])[],
): Stamped<ShardRecord>[] {
  const placed = records.map((stamped, at) => ({ at, stamped }));
  const copies = repeats.flatMap(([from, delay]) => {
    const stamped = records[from];
    return stamped === undefined ? [] : [{ at: from + delay + 0.5, stamped }];
  });
  return [...placed, ...copies]
    .sort((left, right) => left.at - right.at)
    .map(({ stamped }) => stamped);
}

function applyTo(
  fold: ShardFold,
  records: readonly Stamped<ShardRecord>[],
  rewrite: Rewrite,
  firstOffset = 0,
): Step[] {
  return records.map((stamped, index) => {
    const offset = brandAs<Offset>(firstOffset + index);
    const effects = rewrite(stamped, fold).map((one) => fold.apply(one, offset));
    return { record: stamped.record, effect: effects.at(-1) ?? { kind: 'repeated' }, fold };
  });
}

/** Calls `check` after each record, with the record and its effect. */
function always(
  records: readonly Stamped<ShardRecord>[],
  rewrite: Rewrite,
  check: (step: Step) => boolean,
): boolean {
  const fold = new ShardFold();
  return records.every((stamped, index) => {
    const [step] = applyTo(fold, [stamped], rewrite, index);
    return step !== undefined && check(step);
  });
}

function stateOf(fold: ShardFold): unknown {
  return JSON.parse(JSON.stringify({ ...fold.snapshot(), upTo: 0 }));
}

function isEqual(left: unknown, right: unknown): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}

/** The law holds for the fold, and a counterexample is found for the fold without the guard. */
function holdsOnlyWith(
  t: ExecutionContext,
  law: (rewrite: Rewrite) => fc.IProperty<unknown>,
  withoutGuard: Rewrite,
): void {
  const sound = fc.check(law(asIs), RUNS);
  t.false(sound.failed, fc.defaultReportMessage(sound) ?? '');
  t.true(fc.check(law(withoutGuard), RUNS).failed);
}

/** As if the fold took every record for new. */
const withoutSequences: Rewrite = (stamped, fold) => [
  { ...stamped, writer: brandAs<WriterId>(`writer at ${fold.upTo}`) },
];

/** As if the fold compared no epochs. */
const withoutEpochs: Rewrite = (stamped, fold) => {
  const { record: entry } = stamped;
  const current = entry.kind === 'claim' ? fold.epoch + 1 : fold.epoch;
  return [{ ...stamped, record: { ...entry, epoch: brandAs<Epoch>(current) } as ShardRecord }];
};

/** As if the fold placed a task whatever its state. */
const withoutStates: Rewrite = (stamped, fold) => {
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
  return {
    writer: brandAs<WriterId>(`end at ${fold.upTo} ${index}`),
    sequence: brandAs<Sequence>(1),
    record: { kind: 'end', epoch: fold.epoch, attempt: id, outcome: { kind: 'never_started' } },
  };
}

/** As if all work might run again. */
const withoutIdempotence: Rewrite = (stamped) =>
  stamped.record.kind === 'accept'
    ? [
        {
          ...stamped,
          record: { ...stamped.record, work: { ...stamped.record.work, idempotent: true } },
        },
      ]
    : [stamped];

test('an epoch has one owner, and epochs only rise', (t) => {
  const law = (rewrite: Rewrite) =>
    fc.property(log, ({ all }) => {
      const owners = new Map<Epoch, MemberId>();
      let highest = 0;
      return always(all, rewrite, ({ record: entry, effect, fold }) => {
        if (entry.kind === 'claim' && effect.kind === 'applied') {
          if (owners.has(entry.epoch) || entry.epoch <= highest) {
            return false;
          }
          owners.set(entry.epoch, entry.owner);
          highest = entry.epoch;
        }
        return fold.epoch === highest && [null, owners.get(fold.epoch)].includes(fold.owner);
      });
    });
  holdsOnlyWith(t, law, withoutEpochs);
});

test('a record of another epoch than the current one has no effect', (t) => {
  const law = (rewrite: Rewrite) =>
    fc.property(log, ({ all }) => {
      let current = 0;
      return always(all, rewrite, ({ record: entry, effect }) => {
        const isApplied = effect.kind === 'applied' && entry.kind !== 'checkpoint';
        const isAllowed = !isApplied || entry.kind === 'claim' || entry.epoch === current;
        current = isApplied && entry.kind === 'claim' ? entry.epoch : current;
        return isAllowed;
      });
    });
  holdsOnlyWith(t, law, withoutEpochs);
});

test('a repeated append has no second effect, however late', (t) => {
  const law = (rewrite: Rewrite) =>
    fc.property(log, ({ once, all }) => {
      const one = new ShardFold();
      const other = new ShardFold();
      applyTo(one, once, rewrite);
      applyTo(other, all, rewrite);
      return isEqual(
        { ...one.snapshot(), upTo: 0, writers: [] },
        { ...other.snapshot(), upTo: 0, writers: [] },
      );
    });
  holdsOnlyWith(t, law, withoutSequences);
});

test('a task is placed again only after an end, and no attempt id comes twice', (t) => {
  const law = (rewrite: Rewrite) =>
    fc.property(log, ({ all }) => {
      const running = new Set<TaskId>();
      const used = new Set<string>();
      return always(all, rewrite, ({ record: entry, effect }) => {
        if (effect.kind !== 'applied') {
          return true;
        }
        if (entry.kind === 'end') {
          running.delete(brandAs<TaskId>(entry.attempt.slice(0, entry.attempt.lastIndexOf('#'))));
        }
        const attempts = entry.kind === 'place' ? entry.attempts : [];
        return attempts.every(({ id, task: placed }) => {
          const isAllowed = !running.has(placed) && !used.has(id);
          running.add(placed);
          used.add(id);
          return isAllowed;
        });
      });
    });
  holdsOnlyWith(t, law, withoutStates);
});

test('a task that is not idempotent is over once it may have run', (t) => {
  const law = (rewrite: Rewrite) =>
    fc.property(log, ({ all }) => {
      const over = new Set<TaskId>();
      return always(all, rewrite, ({ record: entry, effect, fold }) => {
        if (effect.kind === 'applied' && entry.kind === 'end') {
          const id = brandAs<TaskId>(entry.attempt.slice(0, entry.attempt.lastIndexOf('#')));
          if (id.startsWith(workOf(2).id) && mayHaveRun(entry.outcome)) {
            over.add(id);
          }
        }
        return [...over].every((id) => fold.task(id)?.state.kind === 'ended');
      });
    });
  holdsOnlyWith(t, law, withoutIdempotence);
});

/** With a checkpoint, the next attempt goes on where this one stopped. */
function mayHaveRun(ended: Outcome): boolean {
  return ended.kind === 'stopped' ? ended.checkpoint === undefined : ended.kind !== 'never_started';
}

test('a reader that starts from a snapshot has the same state as one from the beginning', (t) => {
  const law = (damage: (snapshot: ShardSnapshot) => ShardSnapshot) =>
    fc.property(log, fc.nat(75), ({ all }, cut) => {
      const whole = new ShardFold();
      applyTo(whole, all, asIs);
      const first = new ShardFold();
      applyTo(first, all.slice(0, cut), asIs);
      const text = JSON.stringify(damage(first.snapshot()));
      const restored = ShardFold.restore(JSON.parse(text) as ShardSnapshot);
      applyTo(restored, all.slice(cut), asIs, Math.min(cut, all.length));
      return isEqual(stateOf(whole), stateOf(restored)) && hasSameIndex(whole, restored);
    });
  const sound = fc.check(
    law((snapshot) => snapshot),
    RUNS,
  );
  t.false(sound.failed, fc.defaultReportMessage(sound) ?? '');
  t.true(
    fc.check(
      law((snapshot) => ({ ...snapshot, writers: [] })),
      RUNS,
    ).failed,
  );
  t.true(
    fc.check(
      law((snapshot) => ({ ...snapshot, owner: null })),
      RUNS,
    ).failed,
  );
  t.true(
    fc.check(
      law((snapshot) => ({ ...snapshot, works: [] })),
      RUNS,
    ).failed,
  );
  t.true(
    fc.check(
      law((snapshot) => ({ ...snapshot, ended: [] })),
      RUNS,
    ).failed,
  );
});

/** Whether what the folds keep beside the tasks themselves agrees with the tasks. */
function hasSameIndex(left: ShardFold, right: ShardFold): boolean {
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
