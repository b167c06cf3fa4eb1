/** Reads the jobs that the store has. */

import type { Clock } from '@bamboowell/kernel/clock';
import { deadlineAfter } from '@bamboowell/types/time';
import { restoreJobs, type Restored } from '@bamboowell/jobs/records';
import type { EventLog } from '@bamboowell/logger/logger';
import type { Store } from './store.js';

/** One page is given up after this, milliseconds: a megabyte from a slow store. */
const PAGE_MILLIS = 2000;
/** Pause before a page is asked for again, milliseconds. */
const RETRY_MILLIS = 100;

export interface WorkLoader {
  readonly store: Store;
  readonly clock: Clock;
  readonly events: EventLog;
  /** Whether the result is still wanted. */
  readonly isWanted: () => boolean;
}

/** Reads all pages, each again until it is answered; nothing if it is not wanted any more. */
export async function loadWork(loader: WorkLoader): Promise<Restored | undefined> {
  const { store, clock, events, isWanted } = loader;
  const entries: (readonly [string, unknown])[] = [];
  let after: string | undefined;
  do {
    const page = await store.newest('work', after, deadlineAfter(clock.now(), PAGE_MILLIS));
    if (!isWanted()) {
      return undefined;
    }
    if (page.kind === 'unavailable') {
      await clock.sleepUntil(deadlineAfter(clock.now(), RETRY_MILLIS));
      continue;
    }
    for (const { key, value } of page.entries) {
      const parsed = value === undefined ? undefined : parse(value);
      if (parsed === undefined) {
        events.event('record.unreadable', { topic: 'work', key });
      } else {
        entries.push([key, parsed.value]);
      }
    }
    after = page.next;
    if (after === undefined) {
      return restoreJobs(entries);
    }
  } while (isWanted());
  return undefined;
}

function parse(text: string): { readonly value: unknown } | undefined {
  try {
    return { value: JSON.parse(text) as unknown };
  } catch {
    return undefined;
  }
}
