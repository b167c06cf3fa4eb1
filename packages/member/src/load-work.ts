/** Loads what earlier owners have stored. */

import type { Clock } from '@bamboowell/kernel/clock';
import { deadlineAfter } from '@bamboowell/types/time';
import { restoreJobs, type Restored } from '@bamboowell/jobs/records';
import type { EventLog } from '@bamboowell/logger/logger';
import type { Store } from './store.js';
import type { Takeover } from './succession.js';
import { WITNESSES_KEY, type WitnessRecord } from './witness-list.js';

/** Timeout of one page: enough for a megabyte from a slow store. */
const PAGE_TIMEOUT_MILLIS = 2000;
/** Pause before a page is requested again. */
const RETRY_DELAY_MILLIS = 100;

/** Key of the record in which an owner says that it has taken the work over. */
export const TAKEOVER_KEY = 'takeover';

export interface LoadedWork {
  readonly restored: Restored;
  /** Undefined if no owner of this or a later build has taken the work over. */
  readonly takeover: Takeover | undefined;
  /** The witnesses of the last owner that recorded them. */
  readonly witnesses: WitnessRecord | undefined;
}

export interface WorkLoader {
  readonly store: Store;
  readonly clock: Clock;
  readonly events: EventLog;
  /** Whether the result is still needed. */
  readonly isWanted: () => boolean;
}

/**
 * Reads all pages, retrying each until it is answered; returns undefined once the result is no
 * longer needed.
 */
export async function loadWork(loader: WorkLoader): Promise<LoadedWork | undefined> {
  const { store, clock, events, isWanted } = loader;
  const entries: (readonly [string, unknown])[] = [];
  let after: string | undefined;
  do {
    const page = await store.newest('work', after, deadlineAfter(clock.now(), PAGE_TIMEOUT_MILLIS));
    if (!isWanted()) {
      return undefined;
    }
    if (page.kind === 'unavailable') {
      await clock.sleepUntil(deadlineAfter(clock.now(), RETRY_DELAY_MILLIS));
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
      const find = (wanted: string): unknown => entries.find(([key]) => key === wanted)?.[1];
      const takeover = find(TAKEOVER_KEY) as Takeover | undefined;
      const witnesses = find(WITNESSES_KEY) as WitnessRecord | undefined;
      return { restored: restoreJobs(entries), takeover, witnesses };
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
