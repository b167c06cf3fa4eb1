/** State that the owner keeps for one term. */

import type { WorkerId } from '@bamboowell/types/ids';
import type { Term, WorkerRegistration } from '@bamboowell/types/job';
import { deadlineAfter, type Deadline, type Instant } from '@bamboowell/types/time';
import type { KnownEvacuations } from '@bamboowell/jobs/evacuations';
import type { JobScheduler } from '@bamboowell/jobs/scheduler';
import type { EvacuationsWatch } from './evacuations-watch.js';
import type { LoadedWork } from './load-work.js';
import type { RenewalGrounds } from './ownership-proof.js';
import type { Precedence } from './succession.js';
import type { Witnesses } from './witnesses.js';
import type { WorkLogWriter } from './work-log-writer.js';
import type { WorkerLinks } from './worker-links.js';
import type { WorkersWatch } from './workers-watch.js';

export interface Tenure {
  readonly term: Term;
  precedence: Precedence;
  readonly electedAt: Instant;
  readonly writer: WorkLogWriter;
  readonly watch: WorkersWatch;
  /** Undefined where the operator's evacuations are not followed. */
  readonly evacuationsWatch: EvacuationsWatch | undefined;
  readonly links: WorkerLinks;
  readonly witnesses: Witnesses;
  /** Workers that the store lists, collected until the scheduler is created. */
  readonly registrations: Map<WorkerId, WorkerRegistration>;
  /** When earlier owners were fenced at the latest; undefined before that. */
  fencedAt: Instant | undefined;
  /** When no earlier owner renews leases any more; undefined until the work has been loaded. */
  earlierRenewalsEnd: Deadline | undefined;
  /** Whether the store has been told that earlier owners have stopped. */
  isTakeoverSettled: boolean;
  areWorkersRead: boolean;
  /** As last read; undefined before that. */
  evacuations: KnownEvacuations | undefined;
  work: LoadedWork | undefined;
  scheduler: JobScheduler | undefined;
  nextFiguresAt: Deadline;
  hasStoreTrouble: boolean;
  /** By what the owner renews leases, as last logged. */
  loggedRenewsBy: RenewalGrounds;
  hasEnded: boolean;
}

export function newTenure(
  parts: Pick<
    Tenure,
    'term' | 'precedence' | 'writer' | 'watch' | 'evacuationsWatch' | 'links' | 'witnesses'
  >,
  now: Instant,
): Tenure {
  return {
    ...parts,
    electedAt: now,
    registrations: new Map(),
    areWorkersRead: false,
    evacuations: undefined,
    fencedAt: undefined,
    earlierRenewalsEnd: undefined,
    isTakeoverSettled: false,
    work: undefined,
    scheduler: undefined,
    nextFiguresAt: deadlineAfter(now, 0),
    hasStoreTrouble: false,
    loggedRenewsBy: 'nothing',
    hasEnded: false,
  };
}
