import test from 'ava';
import fc from 'fast-check';
import { brandAs, type QueueId } from '@bamboowell/types/ids';
import { fits, type Resources } from '@bamboowell/types/resources';
import type { Instant } from '@bamboowell/types/time';
import { escalate, NO_OVERUSE, STEP_MILLIS, type Overuse } from './overuse.js';
import { LearnedSizes, MIN_PEAKS } from './sizing.js';

const QUEUE = brandAs<QueueId>('queue');
const DECLARED: Resources = { millicores: 4000, memoryMib: 8000, accelerators: 2, slots: 1 };

/** Sizes learned from attempts that used these fractions of the declared size. */
function learnedFrom(fractions: number[]): LearnedSizes {
  const sizes = new LearnedSizes();
  for (const fraction of fractions) {
    sizes.recordPeak(QUEUE, DECLARED, {
      millicores: DECLARED.millicores * fraction,
      memoryMib: DECLARED.memoryMib * fraction,
    });
  }
  return sizes;
}

function repeated(fraction: number, count: number): number[] {
  return new Array<number>(count).fill(fraction);
}

/**
 * The steps taken when the processor usage is these fractions of the declared one, `STEP_MILLIS`
 * apart.
 */
function stepsFor(fractions: number[], checkpointable: boolean): string[] {
  let overuse: Overuse = NO_OVERUSE;
  return fractions.map((fraction, index) => {
    const used = { millicores: DECLARED.millicores * fraction, memoryMib: 1 };
    const now = brandAs<Instant>(index * STEP_MILLIS);
    overuse = escalate(overuse, { declared: DECLARED, used, checkpointable }, now);
    return overuse.step;
  });
}

test('reserves the declared size until enough peaks are recorded', (t) => {
  t.deepEqual(learnedFrom(repeated(0.1, MIN_PEAKS - 1)).packingSize(QUEUE, DECLARED), DECLARED);
});

test('reserves less than declared for oversized tasks, with a margin', (t) => {
  const size = learnedFrom(repeated(0.25, 100)).packingSize(QUEUE, DECLARED);
  t.deepEqual(size, { millicores: 1400, memoryMib: 2800, accelerators: 2, slots: 1 });
});

test('one large peak in a hundred changes the memory but not the processor size', (t) => {
  const size = learnedFrom([...repeated(0.25, 99), 0.75]).packingSize(QUEUE, DECLARED);
  t.deepEqual([size.millicores, size.memoryMib], [1400, 6800]);
});

test('adapts when the usage grows', (t) => {
  const sizes = learnedFrom([...repeated(0.1, 1000), ...repeated(0.9, 300)]);
  t.is(sizes.packingSize(QUEUE, DECLARED).millicores, 4000);
});

test('the packing size is never above the declared size', (t) => {
  const fractions = fc.array(fc.double({ min: 0, max: 50, noNaN: true }), { maxLength: 400 });
  const property = fc.property(fractions, fc.nat(9000), (peaks, millicores) => {
    const declared = { ...DECLARED, millicores };
    return fits(learnedFrom(peaks).packingSize(QUEUE, declared), declared);
  });
  t.notThrows(() => {
    fc.assert(property, { seed: 5, numRuns: 200 });
  });
});

test('overuse is throttled, then checkpointed, then stopped', (t) => {
  const over = [1, 1.2, 1.2, 1.2, 1.2];
  t.deepEqual(stepsFor(over, true), ['none', 'throttle', 'checkpoint', 'stop', 'stop']);
  t.deepEqual(stepsFor(over, false), ['none', 'throttle', 'stop', 'stop', 'stop']);
});

test('a step has time to take effect, and usage within the declared size ends the overuse', (t) => {
  t.deepEqual(stepsFor([1.2, 0.9, 1.2], true), ['throttle', 'none', 'throttle']);
  const measured = {
    declared: DECLARED,
    used: { millicores: 1, memoryMib: DECLARED.memoryMib + 1 },
    checkpointable: true,
  };
  const first = escalate(NO_OVERUSE, measured, brandAs<Instant>(0));
  t.is(escalate(first, measured, brandAs<Instant>(STEP_MILLIS - 1)), first);
  t.is(escalate(first, measured, brandAs<Instant>(STEP_MILLIS)).step, 'checkpoint');
});
