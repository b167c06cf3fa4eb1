/**
 * Counts what the jobs of an owner take in memory. A job is counted with all its tasks, but with one occurrence
 * only: `DueOccurrences` bounds the others. What one owner may accept, the next one can load.
 */

import type { JobId, JobPlan } from '@bamboowell/types/job';

/** What all jobs together may take, bytes: half of the heap that a member is started with. */
export const MAX_JOB_BYTES = 100_000_000;

/** What the objects of the model take, bytes. */
const BYTES_PER_JOB = 1600;
const BYTES_PER_STEP = 1100;
const BYTES_PER_TASK = 400;
const BYTES_PER_EARLIER_STEP = 8;

/** Bytes that a job with this plan takes until it has ended. */
export function bytesOf({ payload, steps }: Pick<JobPlan, 'payload' | 'steps'>): number {
  let bytes = BYTES_PER_JOB + payload.length;
  for (const { count, after } of steps) {
    bytes += BYTES_PER_STEP + count * BYTES_PER_TASK + after.length * BYTES_PER_EARLIER_STEP;
  }
  return bytes;
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
