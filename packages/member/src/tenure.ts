/** What a member has while it holds the cluster's work. */

import type { WorkerId } from '@bamboowell/types/ids';
import type { Term, WorkerNotice } from '@bamboowell/types/job';
import { deadlineAfter, type Deadline, type Instant } from '@bamboowell/types/time';
import type { Restored } from '@bamboowell/jobs/records';
import type { JobScheduler } from '@bamboowell/jobs/scheduler';
import { Commits } from './commits.js';
import type { WorkerLinks } from './worker-links.js';
import type { WorkersWatch } from './workers-watch.js';

/** A proof of ownership is good for so long, milliseconds, to say that a job does not exist. */
const PROOF_MILLIS = 1500;

/** When the store last showed that the work is still ours, by both clocks. */
export interface Proof {
  readonly at: Instant;
  readonly wallMillis: number;
}

export interface Tenure {
  readonly term: Term;
  readonly commits: Commits;
  readonly watch: WorkersWatch;
  readonly links: WorkerLinks;
  /** Workers that the store lists, until the scheduler is there to be told. */
  readonly notices: Map<WorkerId, WorkerNotice>;
  readonly earlierLeasesEnd: Deadline;
  areWorkersRead: boolean;
  restored: Restored | undefined;
  scheduler: JobScheduler | undefined;
  proof: Proof | undefined;
  lastAppendAt: Instant;
  /** When the append on its way was first sent. */
  appendingSince: Instant | undefined;
  /** After a failed append the next one waits until then. */
  appendAgainAt: Deadline;
  /** The next append waits for more writes to come. */
  isAppendDue: boolean;
  figuresAt: Deadline;
  isTroubled: boolean;
  isFenced: boolean;
}

export function newTenure(
  parts: Pick<Tenure, 'term' | 'watch' | 'links' | 'earlierLeasesEnd'>,
  now: Instant,
): Tenure {
  return {
    ...parts,
    commits: new Commits(parts.term),
    notices: new Map(),
    areWorkersRead: false,
    restored: undefined,
    scheduler: undefined,
    proof: undefined,
    lastAppendAt: now,
    appendingSince: undefined,
    appendAgainAt: deadlineAfter(now, 0),
    isAppendDue: false,
    figuresAt: deadlineAfter(now, 0),
    isTroubled: false,
    isFenced: false,
  };
}

/** Both clocks count: the steady one stands still while a machine is suspended. */
export function isProved({ proof }: Tenure, now: Instant, wallMillis: number): boolean {
  return (
    proof !== undefined &&
    now - proof.at < PROOF_MILLIS &&
    Math.abs(wallMillis - proof.wallMillis) < PROOF_MILLIS
  );
}
