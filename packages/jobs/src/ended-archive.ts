/**
 * Keeps the states of ended jobs in a few records of the store instead of one each. They are kept for
 * minutes, so that soon most of what a new owner has to read would be records of ended jobs.
 */

import type { JobId } from '@bamboowell/types/job';
import type { JobWrite } from './messages.js';
import type { Job } from './model.js';
import { archiveKey, archiveRowOf, progressKey, type ArchiveRow } from './records.js';

/** Jobs of one record: a few kilobytes. */
const JOBS_PER_RECORD = 100;

/** One record of the store. */
interface Archive {
  readonly key: string;
  /** The jobs of the record that are not forgotten yet. */
  jobsLeft: number;
}

/** A record with ended jobs as it was restored. */
export interface RestoredArchive {
  readonly key: string;
  readonly jobs: readonly JobId[];
}

export class EndedArchive {
  private readonly archives = new Map<JobId, Archive>();
  /** Ended jobs that have a record of their own, which is stored. */
  private pending: Job[] = [];

  /** Adds a job whose own record says that it has ended, and is stored. */
  add(job: Job): void {
    if (!this.has(job.id)) {
      this.pending.push(job);
    }
  }

  restore({ key, jobs }: RestoredArchive): void {
    const archive: Archive = { key, jobsLeft: jobs.length };
    jobs.forEach((id) => this.archives.set(id, archive));
  }

  has(job: JobId): boolean {
    return this.archives.has(job);
  }

  /** Returns the writes that replace the records of ended jobs by a common one, if there are enough. */
  takeWrites(): JobWrite[] {
    const writes: JobWrite[] = [];
    while (this.pending.length >= JOBS_PER_RECORD) {
      const jobs = this.pending.slice(0, JOBS_PER_RECORD);
      this.pending = this.pending.slice(JOBS_PER_RECORD);
      writes.push(...this.writesFor(jobs));
    }
    return writes;
  }

  /** Forgets a job; returns the key of the record that is to be deleted, if there is one. */
  forget(job: JobId): string | undefined {
    const archive = this.archives.get(job);
    if (archive === undefined) {
      this.pending = this.pending.filter(({ id }) => id !== job);
      return progressKey(job);
    }
    this.archives.delete(job);
    archive.jobsLeft -= 1;
    return archive.jobsLeft === 0 ? archive.key : undefined;
  }

  /** The common record goes first: a part of the writes may be all that is stored. */
  private writesFor(jobs: readonly Job[]): JobWrite[] {
    const rows: ArchiveRow[] = jobs.map(archiveRowOf);
    const key = archiveKey(jobs);
    this.restore({ key, jobs: jobs.map(({ id }) => id) });
    return [
      { key, value: rows },
      ...jobs.map(({ id }) => ({ key: progressKey(id), value: undefined })),
    ];
  }
}
