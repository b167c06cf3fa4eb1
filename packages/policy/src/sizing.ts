/** The size at which a queue's tasks are packed, learned from what earlier ones used. */

import type { QueueId } from '@bamboowell/types/ids';
import type { Resources } from '@bamboowell/types/resources';

/** Steps into which the declared size is divided. */
const STEPS = 20;
/** Ended attempts from which on the learned size counts. */
export const MIN_PEAKS = 20;
/** Ended attempts after which old ones weigh half. */
const HALVE_AFTER = 256;
/** Part of the attempts whose processor peak is within the learned size. */
const COVERED_PART = 0.95;
/** Steps that are added to the learned size. */
const MARGIN_STEPS = 2;

/** The most that one attempt used while it ran. */
export interface Peak {
  readonly millicores: number;
  readonly memoryMib: number;
}

/** Counts of peaks by the part of the declared size that they took. */
class PeakHistogram {
  private readonly counts = new Array<number>(STEPS + 1).fill(0);

  add(part: number): void {
    const step = Math.min(STEPS, Math.max(0, Math.ceil(part * STEPS)));
    this.counts[step] = (this.counts[step] ?? 0) + 1;
  }

  halve(): void {
    this.counts.forEach((count, step) => {
      this.counts[step] = count / 2;
    });
  }

  /** The smallest step that covers the part of all peaks. */
  stepCovering(part: number): number {
    const total = this.counts.reduce((sum, count) => sum + count, 0);
    let covered = 0;
    for (const [step, count] of this.counts.entries()) {
      covered += count;
      if (covered >= total * part) {
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
 * Processor time is packed at a high percentile of the peaks, as it can be throttled; memory at the
 * largest remembered peak, as it can't. Accelerators and slots are packed as declared. The memory
 * that this takes for a queue does not grow.
 */
export class LearnedSizes {
  private readonly queues = new Map<QueueId, QueuePeaks>();

  /** An attempt ended after it had used at most `peak` of what was declared. */
  recordPeak(queue: QueueId, declared: Resources, peak: Peak): void {
    const learned = this.queues.get(queue) ?? newPeaks();
    this.queues.set(queue, learned);
    learned.millicores.add(partOf(peak.millicores, declared.millicores));
    learned.memoryMib.add(partOf(peak.memoryMib, declared.memoryMib));
    learned.peaks += 1;
    learned.sinceHalved += 1;
    if (learned.sinceHalved >= HALVE_AFTER) {
      learned.millicores.halve();
      learned.memoryMib.halve();
      learned.sinceHalved = 0;
    }
  }

  /** The size to reserve for a task; never above the declared one in any dimension. */
  packingSize(queue: QueueId, declared: Resources): Resources {
    const learned = this.queues.get(queue);
    if (learned === undefined || learned.peaks < MIN_PEAKS) {
      return declared;
    }
    const processorStep = learned.millicores.stepCovering(COVERED_PART);
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

function partOf(used: number, declared: number): number {
  return declared === 0 ? 1 : used / declared;
}

function amountAt(step: number, declared: number): number {
  return Math.min(declared, Math.ceil((declared * (step + MARGIN_STEPS)) / STEPS));
}
