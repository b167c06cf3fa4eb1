/** Builds logs for tests of folds, and checks laws of folds over them. */

import type { ExecutionContext } from 'ava';
import fc from 'fast-check';
import { brandAs, type Offset, type Sequence, type WriterId } from '@bamboowell/types/ids';
import type { Effect, Stamped } from '@bamboowell/types/records';

const WRITERS = 3;
const RUNS = { seed: 20_261_204, numRuns: 1000 };

/** Runs that look for any counterexample, not for the smallest. */
const SEARCH = { ...RUNS, endOnFailure: true };

/** A fold of records of the type `Entry`. */
export interface Fold<Entry> {
  readonly upTo: Offset;
  apply(stamped: Stamped<Entry>, offset: Offset): Effect;
}

/** Changes a record, or puts others before it, on its way to the fold. */
export type Rewrite<Entry, Of> = (stamped: Stamped<Entry>, fold: Of) => Stamped<Entry>[];

/** One record, and what a fold made of it. */
export interface Step<Entry, Of> {
  readonly record: Entry;
  readonly effect: Effect;
  readonly fold: Of;
}

/** A log to which several writers appended, without and with repeated appends. */
export interface Appends<Entry> {
  readonly once: readonly Stamped<Entry>[];
  readonly all: readonly Stamped<Entry>[];
}

/**
 * Logs of records that `recordOf` makes of what a writer means to do and of the state so far. Each
 * writer's records come in its order for the first time; any may come again, at any later place.
 */
export function logOf<Entry, Of extends Fold<Entry>, Intent>(
  intent: fc.Arbitrary<Intent>,
  make: () => Of,
  recordOf: (intent: Intent, fold: Of) => Entry,
): fc.Arbitrary<Appends<Entry>> {
  const first = fc.tuple(fc.nat(WRITERS - 1), intent);
  return fc
    .tuple(
      fc.array(first, { maxLength: 60, size: 'max' }),
      fc.array(fc.tuple(fc.nat(59), fc.nat(59)), { maxLength: 15 }),
    )
    .map(([firsts, repeats]) => {
      const fold = make();
      const sequences = Array.from({ length: WRITERS }, () => 0);
      const once = firsts.map(([writer, meant], offset) => {
        const sequence = (sequences[writer] ?? 0) + 1;
        sequences[writer] = sequence;
        const stamped = stampedAs(`writer${writer}`, sequence, recordOf(meant, fold));
        fold.apply(stamped, brandAs<Offset>(offset));
        return stamped;
      });
      return { once, all: withRepeats(once, repeats) };
    });
}

export function stampedAs<Entry>(writer: string, sequence: number, record: Entry): Stamped<Entry> {
  return { writer: brandAs<WriterId>(writer), sequence: brandAs<Sequence>(sequence), record };
}

function withRepeats<Entry>(
  records: readonly Stamped<Entry>[],
  repeats: readonly (readonly [number, number])[],
): Stamped<Entry>[] {
  const placed = records.map((stamped, at) => ({ at, stamped }));
  const copies = repeats.flatMap(([from, delay]) => {
    const stamped = records[from];
    return stamped === undefined ? [] : [{ at: from + delay + 0.5, stamped }];
  });
  return [...placed, ...copies]
    .sort((left, right) => left.at - right.at)
    .map(({ stamped }) => stamped);
}

export function applyTo<Entry, Of extends Fold<Entry>>(
  fold: Of,
  records: readonly Stamped<Entry>[],
  rewrite: Rewrite<Entry, Of>,
  firstOffset = 0,
): Step<Entry, Of>[] {
  return records.map((stamped, index) => {
    const offset = brandAs<Offset>(firstOffset + index);
    const effects = rewrite(stamped, fold).map((one) => fold.apply(one, offset));
    return { record: stamped.record, effect: effects.at(-1) ?? { kind: 'repeated' }, fold };
  });
}

/** Whether `check` holds after each record. */
export function always<Entry, Of extends Fold<Entry>>(
  fold: Of,
  records: readonly Stamped<Entry>[],
  rewrite: Rewrite<Entry, Of>,
  check: (step: Step<Entry, Of>) => boolean,
): boolean {
  return records.every((stamped, index) => applyTo(fold, [stamped], rewrite, index).every(check));
}

export function asIs<Entry>(stamped: Stamped<Entry>): Stamped<Entry>[] {
  return [stamped];
}

/** As if a fold took every record for new. */
export function withoutSequences<Entry>(
  stamped: Stamped<Entry>,
  fold: Fold<Entry>,
): Stamped<Entry>[] {
  return [{ ...stamped, writer: brandAs<WriterId>(`writer at ${fold.upTo}`) }];
}

/** The law holds with the sound variant, and each unsound one has a counterexample. */
export function holdsOnlyWith<Variant>(
  t: ExecutionContext,
  law: (variant: Variant) => fc.IProperty<unknown>,
  sound: Variant,
  ...unsound: readonly Variant[]
): void {
  const result = fc.check(law(sound), RUNS);
  t.false(result.failed, fc.defaultReportMessage(result) ?? '');
  for (const variant of unsound) {
    t.true(fc.check(law(variant), SEARCH).failed);
  }
}
