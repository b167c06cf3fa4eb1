/** Notifies the owner of the workers that the store lists. */

import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { Clock } from '@bamboowell/kernel/clock';
import type { WorkerId } from '@bamboowell/types/ids';
import type { EventLog } from '@bamboowell/logger/logger';
import type { OwnerMessage } from './owner-messages.js';
import type { Documents } from './ports.js';
import type { Store, StoreEntry } from './store.js';
import { TopicWatch } from './topic-watch.js';

/** Interval between reads: each worker writes about once a second, and one read collects many entries. */
const READ_INTERVAL_MILLIS = 300;

export class WorkersWatch {
  private readonly watch: TopicWatch;
  private readonly listed = new Set<WorkerId>();
  /** Keys whose record is unreadable, which has been logged. */
  private readonly unreadableKeys = new Set<string>();

  constructor(
    store: Store,
    clock: Clock,
    private readonly documents: Documents,
    private readonly events: EventLog,
    private readonly owner: MailboxAddress<OwnerMessage>,
  ) {
    const listener = {
      entries: (entries: readonly StoreEntry[], _end: unknown, isWhole: boolean) => {
        this.read(entries, isWhole);
      },
      reachable: (isReachable: boolean, detail: string) => {
        events.event(isReachable ? 'store.regained' : 'store.lost', { topic: 'workers', detail });
      },
    };
    this.watch = new TopicWatch(store, 'workers', clock, listener, {
      gatherMillis: READ_INTERVAL_MILLIS,
    });
  }

  start(): void {
    this.watch.start();
  }

  stop(): void {
    this.watch.stop();
  }

  private read(entries: readonly StoreEntry[], isWhole: boolean): void {
    const missing = isWhole ? new Set(this.listed) : new Set<WorkerId>();
    for (const entry of entries) {
      missing.delete(this.documents.workerId(entry.key));
      this.handleEntry(entry);
    }
    missing.forEach((worker) => {
      this.remove(worker);
    });
    if (isWhole) {
      this.owner.post({ kind: 'workers_read' });
    }
  }

  /** An unreadable entry comes from another writer, and says nothing about the worker registered before it. */
  private handleEntry({ key, value }: StoreEntry): void {
    if (value === undefined) {
      this.unreadableKeys.delete(key);
      this.remove(this.documents.workerId(key));
      return;
    }
    const decoded = this.documents.worker(key, value);
    if (decoded.kind === 'decoded') {
      this.unreadableKeys.delete(key);
      this.listed.add(decoded.value.id);
      this.owner.post({ kind: 'worker', registration: decoded.value });
      return;
    }
    if (!this.unreadableKeys.has(key)) {
      this.unreadableKeys.add(key);
      this.events.event('record.unreadable', { topic: 'workers', key, detail: decoded.detail });
    }
  }

  private remove(worker: WorkerId): void {
    if (this.listed.delete(worker)) {
      this.owner.post({ kind: 'worker_gone', worker });
    }
  }
}
