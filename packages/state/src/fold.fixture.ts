/** Generates logs for property-based tests of folds, and checks properties of folds over them. */

import type { ExecutionContext } from 'ava';
import fc from 'fast-check';
import { brandAs, type Offset, type Sequence, type WriterId } from '@bamboowell/types/ids';
import type { Effect, Stamped } from '@bamboowell/types/records';

const WRITER_COUNT = 3;
const RUNS = { seed: 20_261_204, numRuns: 1000 };

/** Stops at the first counterexample instead of searching for the smallest one. */
const SEARCH = { ...RUNS, endOnFailure: true };

/** A fold of records of the type `LogRecord`. */
export interface Fold<LogRecord> {
  readonly upTo: Offset;
  apply(stamped: Stamped<LogRecord>, offset: Offset): Effect;
}

/** Changes a record, or inserts others before it, before the fold applies it. */
export type Rewrite<LogRecord, FoldType> = (
  stamped: Stamped<LogRecord>,
  fold: FoldType,
) => Stamped<LogRecord>[];

/** One record, its effect, and the fold that applied it. */
export interface AppliedRecord<LogRecord, FoldType> {
  readonly record: LogRecord;
  readonly effect: Effect;
  readonly fold: FoldType;
}

/** A log to which several writers append: without (`once`) and with (`all`) repeated appends. */
export interface GeneratedLog<LogRecord> {
  readonly once: readonly Stamped<LogRecord>[];
  readonly all: readonly Stamped<LogRecord>[];
}

/**
 * Generates logs. `recordOf` makes each record from what its writer intends to do and from the
 * state so far. The first appends of a writer's records are in its order; any record may be
 * appended again at any later position.
 */
export function logArbitrary<LogRecord, FoldType extends Fold<LogRecord>, Intent>(
  intent: fc.Arbitrary<Intent>,
  make: () => FoldType,
  recordOf: (intent: Intent, fold: FoldType) => LogRecord,
): fc.Arbitrary<GeneratedLog<LogRecord>> {
  const append = fc.tuple(fc.nat(WRITER_COUNT - 1), intent);
  return fc
    .tuple(
      fc.array(append, { maxLength: 60, size: 'max' }),
      fc.array(fc.tuple(fc.nat(59), fc.nat(59)), { maxLength: 15 }),
    )
    .map(([appends, repeats]) => {
      const fold = make();
      const sequences = Array.from({ length: WRITER_COUNT }, () => 0);
      const once = appends.map(([writer, intended], offset) => {
        const sequence = (sequences[writer] ?? 0) + 1;
        sequences[writer] = sequence;
        const stamped = stampedAs(`writer${writer}`, sequence, recordOf(intended, fold));
        fold.apply(stamped, brandAs<Offset>(offset));
        return stamped;
      });
      return { once, all: withRepeats(once, repeats) };
    });
}

export function stampedAs<LogRecord>(
  writer: string,
  sequence: number,
  record: LogRecord,
): Stamped<LogRecord> {
  return { writer: brandAs<WriterId>(writer), sequence: brandAs<Sequence>(sequence), record };
}

function withRepeats<LogRecord>(
  records: readonly Stamped<LogRecord>[],
  repeats: readonly (readonly [number, number])[],
): Stamped<LogRecord>[] {
  const originals = records.map((stamped, at) => ({ at, stamped }));
  const copies = repeats.flatMap(([from, delay]) => {
    const stamped = records[from];
    return stamped === undefined ? [] : [{ at: from + delay + 0.5, stamped }];
  });
  return [...originals, ...copies]
    .sort((left, right) => left.at - right.at)
    .map(({ stamped }) => stamped);
}

export function applyAll<LogRecord, FoldType extends Fold<LogRecord>>(
  fold: FoldType,
  records: readonly Stamped<LogRecord>[],
  rewrite: Rewrite<LogRecord, FoldType>,
  firstOffset = 0,
): AppliedRecord<LogRecord, FoldType>[] {
  return records.map((stamped, index) => {
    const offset = brandAs<Offset>(firstOffset + index);
    const effects = rewrite(stamped, fold).map((one) => fold.apply(one, offset));
    return { record: stamped.record, effect: effects.at(-1) ?? { kind: 'repeated' }, fold };
  });
}

/** Whether `check` holds after each record. */
export function holdsAfterEach<LogRecord, FoldType extends Fold<LogRecord>>(
  fold: FoldType,
  records: readonly Stamped<LogRecord>[],
  rewrite: Rewrite<LogRecord, FoldType>,
  check: (applied: AppliedRecord<LogRecord, FoldType>) => boolean,
): boolean {
  return records.every((stamped, index) => applyAll(fold, [stamped], rewrite, index).every(check));
}

export function unchanged<LogRecord>(stamped: Stamped<LogRecord>): Stamped<LogRecord>[] {
  return [stamped];
}

/** Simulates a fold that treats every record as new. */
export function withoutSequences<LogRecord>(
  stamped: Stamped<LogRecord>,
  fold: Fold<LogRecord>,
): Stamped<LogRecord>[] {
  return [{ ...stamped, writer: brandAs<WriterId>(`writer at ${fold.upTo}`) }];
}

/**
 * Asserts that the property holds for the sound variant, and that each unsound one has a
 * counterexample: the property detects that fault.
 */
export function assertHoldsOnlyFor<Variant>(
  t: ExecutionContext,
  propertyFor: (variant: Variant) => fc.IProperty<unknown>,
  sound: Variant,
  ...unsound: readonly Variant[]
): void {
  const result = fc.check(propertyFor(sound), RUNS);
  t.false(result.failed, fc.defaultReportMessage(result) ?? '');
  for (const variant of unsound) {
    t.true(fc.check(propertyFor(variant), SEARCH).failed);
  }
}
