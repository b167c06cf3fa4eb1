/** State that the owner keeps for one term. */

import type { WorkerId } from '@bamboowell/types/ids';
import type { Term, WorkerRegistration } from '@bamboowell/types/job';
import { deadlineAfter, type Deadline, type Instant } from '@bamboowell/types/time';
import type { Restored } from '@bamboowell/jobs/records';
import type { JobScheduler } from '@bamboowell/jobs/scheduler';
import type { WorkLogWriter } from './work-log-writer.js';
import type { WorkerLinks } from './worker-links.js';
import type { WorkersWatch } from './workers-watch.js';

/** What shows an owner that no other member owns the work, so that it may renew leases. */
export type RenewalGrounds = 'store' | 'members' | 'nothing';

export interface Tenure {
  readonly term: Term;
  readonly electedAt: Instant;
  readonly writer: WorkLogWriter;
  readonly watch: WorkersWatch;
  readonly links: WorkerLinks;
  /** Workers that the store lists, collected until the scheduler is created. */
  readonly registrations: Map<WorkerId, WorkerRegistration>;
  /** When all leases of earlier owners have ended; undefined until these are fenced. */
  earlierLeasesEnd: Deadline | undefined;
  areWorkersRead: boolean;
  restored: Restored | undefined;
  scheduler: JobScheduler | undefined;
  nextFiguresAt: Deadline;
  hasStoreTrouble: boolean;
  /** By what the owner renews leases, as last logged. */
  loggedRenewsBy: RenewalGrounds;
  hasEnded: boolean;
}

export function newTenure(
  parts: Pick<Tenure, 'term' | 'writer' | 'watch' | 'links'>,
  now: Instant,
): Tenure {
  return {
    ...parts,
    electedAt: now,
    registrations: new Map(),
    earlierLeasesEnd: undefined,
    areWorkersRead: false,
    restored: undefined,
    scheduler: undefined,
    nextFiguresAt: deadlineAfter(now, 0),
    hasStoreTrouble: false,
    loggedRenewsBy: 'store',
    hasEnded: false,
  };
}
