/** Tells the owner which workers the store lists. */

import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { Clock } from '@bamboowell/kernel/clock';
import type { WorkerId } from '@bamboowell/types/ids';
import type { EventLog } from '@bamboowell/logger/logger';
import type { OwnerMessage } from './owner-messages.js';
import type { Documents } from './ports.js';
import type { Store, StoreEntry } from './store.js';
import { TopicWatch } from './topic-watch.js';

/** Every worker writes about once a second: their entries are read together, this often, milliseconds. */
const GATHER_MILLIS = 300;

export class WorkersWatch {
  private readonly watch: TopicWatch;
  private readonly listed = new Set<WorkerId>();
  /** Keys whose record was reported as unreadable. */
  private readonly unreadable = new Set<string>();

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
    this.watch = new TopicWatch(store, 'workers', clock, listener, GATHER_MILLIS);
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
      this.note(entry);
    }
    missing.forEach((worker) => {
      this.gone(worker);
    });
    if (isWhole) {
      this.owner.post({ kind: 'workers_read' });
    }
  }

  private note({ key, value }: StoreEntry): void {
    if (value === undefined) {
      this.gone(this.documents.workerId(key));
      return;
    }
    const decoded = this.documents.worker(key, value);
    if (decoded.kind === 'decoded') {
      this.listed.add(decoded.value.id);
      this.owner.post({ kind: 'worker', registration: decoded.value });
      return;
    }
    if (!this.unreadable.has(key)) {
      this.unreadable.add(key);
      this.events.event('record.unreadable', { topic: 'workers', key, detail: decoded.detail });
    }
  }

  private gone(worker: WorkerId): void {
    if (this.listed.delete(worker)) {
      this.owner.post({ kind: 'worker_gone', worker });
    }
  }
}
