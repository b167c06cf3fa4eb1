/** What a member has while it holds the cluster's work. */

import type { WorkerId } from '@bamboowell/types/ids';
import type { Term, WorkerRegistration } from '@bamboowell/types/job';
import { deadlineAfter, type Deadline, type Instant } from '@bamboowell/types/time';
import type { Restored } from '@bamboowell/jobs/records';
import type { JobScheduler } from '@bamboowell/jobs/scheduler';
import type { WorkLogWriter } from './work-log-writer.js';
import type { WorkerLinks } from './worker-links.js';
import type { WorkersWatch } from './workers-watch.js';

export interface Tenure {
  readonly term: Term;
  readonly electedAt: Instant;
  readonly appends: WorkLogWriter;
  readonly watch: WorkersWatch;
  readonly links: WorkerLinks;
  /** Workers that the store lists, until the scheduler is there to be told. */
  readonly registrations: Map<WorkerId, WorkerRegistration>;
  readonly earlierLeasesEnd: Deadline;
  areWorkersRead: boolean;
  restored: Restored | undefined;
  scheduler: JobScheduler | undefined;
  figuresAt: Deadline;
  isTroubled: boolean;
  isFenced: boolean;
}

export function newTenure(
  parts: Pick<Tenure, 'term' | 'appends' | 'watch' | 'links' | 'earlierLeasesEnd'>,
  now: Instant,
): Tenure {
  return {
    ...parts,
    electedAt: now,
    registrations: new Map(),
    areWorkersRead: false,
    restored: undefined,
    scheduler: undefined,
    figuresAt: deadlineAfter(now, 0),
    isTroubled: false,
    isFenced: false,
  };
}
