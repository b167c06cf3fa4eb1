/**
 * The size that is reserved for tasks of a queue, learned from the peak usage of earlier attempts.
 */

import type { QueueId } from '@bamboowell/types/ids';
import type { Resources } from '@bamboowell/types/resources';

/** Number of histogram steps into which the declared size is divided. */
const STEPS = 20;
/** Minimum number of ended attempts before the learned size is used. */
export const MIN_PEAKS = 20;
/**
 * Number of ended attempts after which the counts are halved, so that recent attempts weigh more.
 */
const HALVE_AFTER_PEAKS = 256;
/** Fraction of the attempts whose processor peak is within the learned size. */
const COVERED_FRACTION = 0.95;
/** Number of steps added to the learned size as a safety margin. */
const MARGIN_STEPS = 2;

/** The peak usage of one attempt. */
export interface Peak {
  readonly millicores: number;
  readonly memoryMib: number;
}

/** Histogram of peaks as fractions of the declared size. */
class PeakHistogram {
  private readonly counts = new Array<number>(STEPS + 1).fill(0);

  add(fraction: number): void {
    const step = Math.min(STEPS, Math.max(0, Math.ceil(fraction * STEPS)));
    this.counts[step] = (this.counts[step] ?? 0) + 1;
  }

  halve(): void {
    this.counts.forEach((count, step) => {
      this.counts[step] = count / 2;
    });
  }

  /** The smallest step at or below which at least this fraction of all peaks lies. */
  stepCovering(fraction: number): number {
    const total = this.counts.reduce((sum, count) => sum + count, 0);
    let covered = 0;
    for (const [step, count] of this.counts.entries()) {
      covered += count;
      if (covered >= total * fraction) {
        return step;
      }
    }
    return STEPS;
  }
}

interface QueuePeaks {
  readonly millicores: PeakHistogram;
  readonly memoryMib: PeakHistogram;
  peaks: number;
  sinceHalved: number;
}

/**
 * Processor time is reserved at a high percentile of the peaks, as it can be throttled; memory at
 * the largest recorded peak, as it cannot. Accelerators and slots are reserved as declared. Uses
 * constant space per queue.
 */
export class LearnedSizes {
  private readonly queues = new Map<QueueId, QueuePeaks>();

  /** Records the peak usage of an attempt that has ended. */
  recordPeak(queue: QueueId, declared: Resources, peak: Peak): void {
    const learned = this.queues.get(queue) ?? newPeaks();
    this.queues.set(queue, learned);
    learned.millicores.add(fractionOf(peak.millicores, declared.millicores));
    learned.memoryMib.add(fractionOf(peak.memoryMib, declared.memoryMib));
    learned.peaks += 1;
    learned.sinceHalved += 1;
    if (learned.sinceHalved >= HALVE_AFTER_PEAKS) {
      learned.millicores.halve();
      learned.memoryMib.halve();
      learned.sinceHalved = 0;
    }
  }

  /** The size to reserve for a task; never more than the declared size in any dimension. */
  packingSize(queue: QueueId, declared: Resources): Resources {
    const learned = this.queues.get(queue);
    if (learned === undefined || learned.peaks < MIN_PEAKS) {
      return declared;
    }
    const processorStep = learned.millicores.stepCovering(COVERED_FRACTION);
    const memoryStep = learned.memoryMib.stepCovering(1);
    return {
      ...declared,
      millicores: amountAt(processorStep, declared.millicores),
      memoryMib: amountAt(memoryStep, declared.memoryMib),
    };
  }

  forget(queue: QueueId): void {
    this.queues.delete(queue);
  }
}

function newPeaks(): QueuePeaks {
  return {
    millicores: new PeakHistogram(),
    memoryMib: new PeakHistogram(),
    peaks: 0,
    sinceHalved: 0,
  };
}

function fractionOf(used: number, declared: number): number {
  return declared === 0 ? 1 : used / declared;
}

function amountAt(step: number, declared: number): number {
  return Math.min(declared, Math.ceil((declared * (step + MARGIN_STEPS)) / STEPS));
}
