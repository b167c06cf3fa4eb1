/**
 * Notifies the owner of the data centres that the operator evacuates, and of how long it may rely on that.
 * A long poll delivers a record as soon as it is stored. Where it confirms nothing for a while, as behind a
 * large configuration in the same topic or on a connection that has gone silent, the records are also read
 * directly.
 */

import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { Clock } from '@bamboowell/kernel/clock';
import type { EventLog } from '@bamboowell/logger/logger';
import { brandAs, type DataCentreId, type Offset } from '@bamboowell/types/ids';
import type { Term } from '@bamboowell/types/job';
import { deadlineAfter, hasPassed, type Instant } from '@bamboowell/types/time';
import type { OwnerMessage } from './owner-messages.js';
import type { Documents } from './ports.js';
import type { Store, StoreEntry } from './store.js';
import { TopicWatch } from './topic-watch.js';

/**
 * Part of the bound during which starts rely on the last reading. The other part is for starts that were sent
 * before, whose workers may take their time.
 */
export const RELIANCE_FRACTION = 1 / 2;
/** Part of the bound after which the records are read directly: several attempts fit before starts end. */
const DIRECT_READ_FRACTION = 1 / 4;
/** Part of the bound that a poll waits for a record: it confirms the set before a direct reading is due. */
const POLL_FRACTION = 1 / 5;
/** A direct reading is given up after this, so that it succeeds soon after the store is back. */
const DIRECT_READ_TIMEOUT_MILLIS = 400;
/** Pause before a failed direct reading is repeated. */
const RETRY_DELAY_MILLIS = 100;

export interface EvacuationsWatchOptions {
  readonly store: Store;
  readonly documents: Documents;
  readonly events: EventLog;
  readonly owner: MailboxAddress<OwnerMessage>;
  readonly term: Term;
  /** No task may be started in a data centre this long after its evacuation was stored, milliseconds. */
  readonly boundMillis: number;
}

export class EvacuationsWatch {
  private readonly watch: TopicWatch;
  private readonly zonesByKey = new Map<string, DataCentreId>();
  /** Keys whose record is unreadable, which has been logged. */
  private readonly unreadableKeys = new Set<string>();
  /** All records before this offset have been taken in. */
  private knownUpTo = brandAs<Offset>(0);
  /** Whether the last reading of all records was older than what is known: its store may have lost records. */
  private isBehind = false;
  /** When the store had no further records at the latest. */
  private confirmedAt: Instant | undefined;
  private readonly startedAt: Instant;
  private isStopped = false;

  constructor(
    private readonly options: EvacuationsWatchOptions,
    private readonly clock: Clock,
  ) {
    const { store, documents, events, boundMillis } = options;
    this.startedAt = clock.now();
    const listener = {
      entries: (entries: readonly StoreEntry[], end: Offset, isWhole: boolean) => {
        if (isWhole) {
          this.replaceAll(entries, end);
        } else {
          this.update(entries);
        }
      },
      confirmed: (at: Instant) => {
        this.confirm(at);
      },
      reachable: (isReachable: boolean, detail: string) => {
        const name = isReachable ? 'store.regained' : 'store.lost';
        events.event(name, { topic: 'evacuations', detail });
      },
    };
    this.watch = new TopicWatch(store, 'operator', clock, listener, {
      after: documents.keyBeforeEvacuations,
      pollWaitMillis: boundMillis * POLL_FRACTION,
    });
  }

  start(): void {
    this.watch.start();
    void this.readDirectlyWhenDue();
  }

  stop(): void {
    this.isStopped = true;
    this.watch.stop();
  }

  private async readDirectlyWhenDue(): Promise<void> {
    while (!this.isStopped) {
      const reliedOn = this.confirmedAt ?? this.startedAt;
      const dueAt = deadlineAfter(reliedOn, this.options.boundMillis * DIRECT_READ_FRACTION);
      if (!hasPassed(dueAt, this.clock.now())) {
        await this.clock.sleepUntil(dueAt);
      } else if (!(await this.readDirectly())) {
        await this.clock.sleepUntil(deadlineAfter(this.clock.now(), RETRY_DELAY_MILLIS));
      }
    }
  }

  /** Returns whether the store answered. */
  private async readDirectly(): Promise<boolean> {
    const { store, documents } = this.options;
    const askedAt = this.clock.now();
    const entries: StoreEntry[] = [];
    let end: Offset | undefined;
    let after: string | undefined = documents.keyBeforeEvacuations;
    do {
      const deadline = deadlineAfter(this.clock.now(), DIRECT_READ_TIMEOUT_MILLIS);
      const page = await store.newest('operator', after, deadline);
      if (page.kind === 'unavailable') {
        return false;
      }
      end ??= page.end;
      entries.push(...page.entries);
      after = page.next;
    } while (after !== undefined);
    if (!this.isStopped) {
      this.replaceAll(entries, end);
      this.confirm(askedAt);
    }
    return true;
  }

  /** Takes in the newest record of each key, unless later records have been taken in already. */
  private replaceAll(entries: readonly StoreEntry[], end: Offset): void {
    this.isBehind = end < this.knownUpTo;
    if (this.isBehind) {
      return;
    }
    this.knownUpTo = end;
    const present = new Set(entries.map(({ key }) => key));
    [...this.zonesByKey.keys()]
      .filter((key) => !present.has(key))
      .forEach((key) => {
        this.remove(key);
      });
    entries.forEach((entry) => {
      this.takeIn(entry);
    });
    this.notify();
  }

  private update(entries: readonly StoreEntry[]): void {
    const later = entries.filter(({ offset }) => offset >= this.knownUpTo);
    const last = later.at(-1);
    if (last !== undefined) {
      this.knownUpTo = brandAs<Offset>(last.offset + 1);
      later.forEach((entry) => {
        this.takeIn(entry);
      });
      this.notify();
    }
  }

  /** The key of a record is sufficient: one with an unreadable value still evacuates the data centre. */
  private takeIn({ key, value }: StoreEntry): void {
    const { documents, events } = this.options;
    const zone = documents.evacuatedZone(key);
    if (zone === undefined) {
      return;
    }
    if (value === undefined) {
      this.remove(key);
      return;
    }
    this.zonesByKey.set(key, zone);
    const decoded = documents.evacuation(key, value);
    if (decoded.kind === 'decoded') {
      this.unreadableKeys.delete(key);
    } else if (!this.unreadableKeys.has(key)) {
      this.unreadableKeys.add(key);
      events.event('record.unreadable', { topic: 'operator', key, detail: decoded.detail });
    }
  }

  private remove(key: string): void {
    this.zonesByKey.delete(key);
    this.unreadableKeys.delete(key);
  }

  private confirm(at: Instant): void {
    const isLater = this.confirmedAt === undefined || at > this.confirmedAt;
    if (isLater && !this.isBehind) {
      this.confirmedAt = at;
      this.notify();
    }
  }

  private notify(): void {
    const { owner, term, boundMillis } = this.options;
    if (this.confirmedAt === undefined) {
      return;
    }
    owner.post({
      kind: 'evacuations',
      term,
      evacuations: {
        zones: [...new Set(this.zonesByKey.values())],
        currentUntil: deadlineAfter(this.confirmedAt, boundMillis * RELIANCE_FRACTION),
      },
    });
  }
}
