/** Follows the operator's configuration and notifies the other tasks; only higher versions are adopted. */

import { match } from 'ts-pattern';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { Clock } from '@bamboowell/kernel/clock';
import { Task } from '@bamboowell/kernel/task';
import type { EventLog } from '@bamboowell/logger/logger';
import type { JobConfiguration } from '@bamboowell/types/job';
import type { Documents } from './ports.js';
import type { Store, StoreEntry } from './store.js';
import { TopicWatch } from './topic-watch.js';

export interface ConfigurationUpdate {
  readonly kind: 'configuration';
  readonly configuration: JobConfiguration;
}

export type ConfigurationMessage =
  | { readonly kind: 'entries'; readonly entries: readonly StoreEntry[] }
  /** A document received from another member. */
  | { readonly kind: 'offered'; readonly document: StoreEntry }
  /** Sends the subscriber the current version at once and every later one. */
  | { readonly kind: 'subscribe'; readonly subscriber: MailboxAddress<ConfigurationUpdate> }
  /** Sets how each new document is sent to the connected members. */
  | { readonly kind: 'broadcast_by'; readonly broadcast: (document: StoreEntry) => void };

export interface ConfigurationOptions {
  readonly store: Store;
  readonly documents: Documents;
  readonly events: EventLog;
}

export class ConfigurationTask extends Task<ConfigurationMessage> {
  private readonly watch: TopicWatch;
  private configuration: JobConfiguration | undefined;
  private readonly subscribers: MailboxAddress<ConfigurationUpdate>[] = [];
  private broadcast: (document: StoreEntry) => void = () => undefined;

  constructor(
    private readonly options: ConfigurationOptions,
    clock: Clock,
  ) {
    super('configuration', clock);
    this.watch = new TopicWatch(options.store, 'operator', clock, {
      entries: (entries) => {
        this.post({ kind: 'entries', entries });
      },
      reachable: (isReachable, detail) => {
        const name = isReachable ? 'store.regained' : 'store.lost';
        options.events.event(name, { topic: 'operator', detail, version: this.version });
      },
    });
  }

  protected override onStart(): void {
    this.watch.start();
  }

  protected override onStop(): void {
    this.watch.stop();
  }

  protected receive(message: ConfigurationMessage): void {
    match(message)
      .with({ kind: 'entries' }, ({ entries }) => {
        entries.forEach((entry) => {
          this.read(entry, 'store');
        });
      })
      .with({ kind: 'offered' }, ({ document }) => {
        this.read(document, 'member');
      })
      .with({ kind: 'subscribe' }, ({ subscriber }) => {
        this.subscribers.push(subscriber);
        if (this.configuration !== undefined) {
          subscriber.post({ kind: 'configuration', configuration: this.configuration });
        }
      })
      .with({ kind: 'broadcast_by' }, ({ broadcast }) => {
        this.broadcast = broadcast;
      })
      .exhaustive();
  }

  private read(entry: StoreEntry, source: 'store' | 'member'): void {
    if (entry.value === undefined) {
      return;
    }
    const decoded = this.options.documents.configuration(entry.key, entry.value);
    if (decoded === undefined) {
      return;
    }
    if (decoded.kind === 'unreadable') {
      const { detail } = decoded;
      this.options.events.event('record.unreadable', { topic: 'operator', key: entry.key, detail });
      return;
    }
    this.adopt(decoded.value, entry, source);
  }

  private adopt(configuration: JobConfiguration, entry: StoreEntry, source: string): void {
    const { version, queues, teams } = configuration;
    if (version <= this.version) {
      return;
    }
    this.options.events.event('configuration.adopted', {
      version,
      earlier: this.version,
      source,
      queues: queues.length,
      teams: teams.length,
    });
    this.configuration = configuration;
    this.subscribers.forEach((subscriber) => {
      subscriber.post({ kind: 'configuration', configuration });
    });
    this.broadcast(entry);
  }

  /** Version of the current configuration; lower than any valid one while there is none. */
  private get version(): number {
    return this.configuration?.version ?? -1;
  }
}
      bytes: entry.value?.length ?? 0,
