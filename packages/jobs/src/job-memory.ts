/**
 * Counts what the jobs of an owner take in memory. A job is counted with all its tasks, but with one occurrence
 * only: `DueOccurrences` bounds the others. What one owner may accept, the next one can load.
 */

import type { JobId, JobPlan } from '@bamboowell/types/job';

/**
 * What all jobs together may take, bytes. A member takes some 95 MB besides, and the smallest machines give it
 * 250 MB; a takeover holds most of it twice for a moment.
 */
export const MAX_JOB_BYTES = 60_000_000;

/** What the objects of the model take, bytes. */
const BYTES_PER_JOB = 1600;
const BYTES_PER_STEP = 1200;
const BYTES_PER_TASK = 250;
const BYTES_PER_EARLIER_STEP = 8;

/** Bytes that a job with this plan takes until it has ended. */
export function bytesOf({ payload, steps }: Pick<JobPlan, 'payload' | 'steps'>): number {
  let bytes = BYTES_PER_JOB + bytesOfText(payload);
  for (const { count, after } of steps) {
    bytes += BYTES_PER_STEP + count * BYTES_PER_TASK + after.length * BYTES_PER_EARLIER_STEP;
  }
  return bytes;
}

/** A text takes two bytes a character if one of them is not in Latin-1. */
function bytesOfText(text: string): number {
  return /[^\u0000-\u00ff]/.test(text) ? 2 * text.length : text.length;
}

export class JobMemory {
  private readonly bytesByJob = new Map<JobId, number>();
  private usedBytes = 0;

  /** Bytes that all jobs take. */
  get bytes(): number {
    return this.usedBytes;
  }

  hasRoomFor(plan: JobPlan): boolean {
    return this.usedBytes + bytesOf(plan) <= MAX_JOB_BYTES;
  }

  add(plan: JobPlan): void {
    this.remove(plan.id);
    const bytes = bytesOf(plan);
    this.bytesByJob.set(plan.id, bytes);
    this.usedBytes += bytes;
  }

  remove(job: JobId): void {
    this.usedBytes -= this.bytesByJob.get(job) ?? 0;
    this.bytesByJob.delete(job);
  }
}
