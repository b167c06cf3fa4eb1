/**
 * Follows the operator's configuration and notifies the other tasks; only higher versions are adopted.
 * Members tell each other their versions, and when these were last known to be the latest; one that stays
 * behind, because it can't read the store, fetches the document from another member. Most members of a
 * region follow one that reads the store on their behalf.
 */

import { match } from 'ts-pattern';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { Reply } from '@bamboowell/kernel/ask';
import type { Alarm, Clock } from '@bamboowell/kernel/clock';
import { Task } from '@bamboowell/kernel/task';
import type { EventLog } from '@bamboowell/logger/logger';
import type { JobConfiguration } from '@bamboowell/types/job';
import { brandAs, type Offset } from '@bamboowell/types/ids';
import { deadlineAfter, type Deadline, type Instant } from '@bamboowell/types/time';
import type { Documents } from './ports.js';
import type { Store, StoreEntry } from './store.js';
import { TopicWatch, type TopicListener } from './topic-watch.js';

/**
 * How long a member waits for a version that another member already has to come from where it usually
 * comes from, the store or the member that this one follows: enough for a large document.
 */
const USUAL_DELIVERY_MILLIS = 1000;
/** The same while the store doesn't answer and no member is followed: several round trips. */
const SUBSTITUTE_DELAY_MILLIS = 300;
/** Pause before a failed fetch from another member is retried. */
const FETCH_RETRY_DELAY_MILLIS = 250;

/** Interval at which members are told that a version is still the latest one. */
const ANNOUNCEMENT_INTERVAL_MILLIS = 1000;

/** Version of a configuration; the version of a member without one is lower than any valid one. */
export const NO_VERSION = -1;

export type ConfigurationUpdate =
  | { readonly kind: 'configuration'; readonly configuration: JobConfiguration }
  /** The configuration in use was the latest one at this time. */
  | { readonly kind: 'configuration_confirmed'; readonly at: Instant };

/** Milliseconds since the configuration was last confirmed, as logged; -1 if it never was. */
export function ageMillis(confirmedAt: Instant | undefined, now: Instant): number {
  return confirmedAt === undefined ? -1 : Math.round(now - confirmedAt);
}

export type ConfigurationMessage =
  | { readonly kind: 'entries'; readonly entries: readonly StoreEntry[] }
  /** The store had no later version than this member at this time. */
  | { readonly kind: 'confirmed'; readonly at: Instant }
  /** A connection to another member is open. */
  | { readonly kind: 'member_connected'; readonly member: ConfigurationSource }
  /** A connection is open to a member of the region that reads the store on behalf of this one. */
  | { readonly kind: 'member_followed'; readonly member: ConfigurationSource }
  | { readonly kind: 'member_gone'; readonly member: ConfigurationSource }
  /** Another member has announced its version. */
  | {
      readonly kind: 'version_announced';
      readonly version: number;
      /** When that was last known to be the latest version, if ever. */
      readonly confirmedAt: Instant | undefined;
      readonly member: ConfigurationSource;
    }
  /** Time to tell the other members that the version is still the latest one. */
  | { readonly kind: 'announce' }
  | { readonly kind: 'store_reachable'; readonly isReachable: boolean }
  | { readonly kind: 'fetch' }
  /** A document received from another member; undefined if the fetch failed. */
  | {
      readonly kind: 'fetched';
      readonly member: ConfigurationSource;
      readonly document: StoreEntry | undefined;
    }
  /** Requests the current document. */
  | { readonly kind: 'document'; readonly reply: Reply<StoreEntry | undefined> }
  /** Sends the subscriber the current version at once and every later one. */
  | { readonly kind: 'subscribe'; readonly subscriber: MailboxAddress<ConfigurationUpdate> };

/** Another member, as a source of the configuration. */
export abstract class ConfigurationSource {
  /**
   * Tells the member the version that this one has, and how long ago that was known to be the latest
   * one; undefined if it never was.
   */
  abstract announceVersion(version: number, ageMillis: number | undefined): void;

  /** Returns the member's document; undefined if it doesn't answer. */
  abstract fetchDocument(): Promise<StoreEntry | undefined>;
}

interface Announced {
  readonly version: number;
  readonly confirmedAt: Instant | undefined;
}

const NOTHING_ANNOUNCED: Announced = { version: NO_VERSION, confirmedAt: undefined };

export interface ConfigurationOptions {
  readonly store: Store;
  readonly documents: Documents;
  readonly events: EventLog;
}

export class ConfigurationTask extends Task<ConfigurationMessage> {
  private readonly watch: TopicWatch;
  private configuration: JobConfiguration | undefined;
  /** The record that holds the current configuration. */
  private document: StoreEntry | undefined;
  /** When the configuration was last known to be the latest one. */
  private confirmedAt: Instant | undefined;
  /** Whether the store has a record after the current one that can't be read. */
  private hasUnreadableRecord = false;
  /** What `confirmedAt` was when the members were last told. */
  private announcedConfirmation: Instant | undefined;
  private readonly subscribers: MailboxAddress<ConfigurationUpdate>[] = [];
  /** The connected members, with what each announced last. */
  private readonly members = new Map<ConfigurationSource, Announced>();
  /** The member of the region that reads the store on behalf of this one. */
  private followed: ConfigurationSource | undefined;
  private isStoreReachable = true;
  private isFetching = false;
  private scheduledFetch: { readonly at: Deadline; readonly alarm: Alarm } | undefined;

  constructor(
    private readonly options: ConfigurationOptions,
    clock: Clock,
  ) {
    super('configuration', clock);
    const listener: TopicListener = {
      entries: (entries) => {
        this.post({ kind: 'entries', entries });
      },
      confirmed: (at) => {
        this.post({ kind: 'confirmed', at });
      },
      reachable: (isReachable, detail) => {
        this.post({ kind: 'store_reachable', isReachable });
        const name = isReachable ? 'store.regained' : 'store.lost';
        options.events.event(name, { topic: 'operator', detail, version: this.version });
      },
    };
    this.watch = new TopicWatch(options.store, 'operator', clock, listener, {
      hasLargeRecords: true,
    });
  }

  protected override onStart(): void {
    this.watch.start();
    this.announceLater();
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
      .with({ kind: 'confirmed' }, ({ at }) => {
        if (!this.hasUnreadableRecord) {
          this.confirm(at);
        }
      })
      .with({ kind: 'member_connected' }, ({ member }) => {
        this.members.set(member, this.members.get(member) ?? NOTHING_ANNOUNCED);
        this.announceTo(member);
      })
      .with({ kind: 'member_followed' }, ({ member }) => {
        this.follow(member);
        this.members.set(member, this.members.get(member) ?? NOTHING_ANNOUNCED);
        this.announceTo(member);
      })
      .with({ kind: 'member_gone' }, ({ member }) => {
        this.members.delete(member);
        if (this.followed === member) {
          this.follow(undefined);
        }
      })
      .with({ kind: 'version_announced' }, ({ version, confirmedAt, member }) => {
        this.members.set(member, { version, confirmedAt });
        this.confirmByMembers();
        this.fetchLater(this.delayOfFetch());
      })
      .with({ kind: 'announce' }, () => {
        this.announceLater();
        if (this.confirmedAt !== this.announcedConfirmation) {
          this.announceToAll();
        }
      })
      .with({ kind: 'store_reachable' }, ({ isReachable }) => {
        this.isStoreReachable = isReachable;
        this.fetchLater(this.delayOfFetch());
      })
      .with({ kind: 'fetch' }, () => {
        this.scheduledFetch = undefined;
        this.fetch();
      })
      .with({ kind: 'fetched' }, ({ member, document }) => {
        this.isFetching = false;
        this.fetched(member, document);
      })
      .with({ kind: 'document' }, ({ reply }) => {
        reply(this.document);
      })
      .with({ kind: 'subscribe' }, ({ subscriber }) => {
        this.subscribers.push(subscriber);
        if (this.configuration !== undefined) {
          subscriber.post({ kind: 'configuration', configuration: this.configuration });
        }
        if (this.confirmedAt !== undefined) {
          subscriber.post({ kind: 'configuration_confirmed', at: this.confirmedAt });
        }
      })
      .exhaustive();
  }

  /** Schedules a fetch if a connected member has a higher version. */
  private fetchLater(millis: number): void {
    const at = deadlineAfter(this.clock.now(), millis);
    const isScheduled = this.scheduledFetch !== undefined && this.scheduledFetch.at <= at;
    if (this.isFetching || isScheduled || this.newestMember() === undefined) {
      return;
    }
    this.scheduledFetch?.alarm.cancel();
    this.scheduledFetch = { at, alarm: this.postAt(at, { kind: 'fetch' }) };
  }

  private follow(member: ConfigurationSource | undefined): void {
    this.followed = member;
    this.watch.setServedByMember(member !== undefined);
  }

  /** How long to wait before a newer version is fetched from a member that has announced it. */
  private delayOfFetch(): number {
    if (this.newestMember() === this.followed) {
      return 0;
    }
    return this.isStoreReachable || this.followed !== undefined
      ? USUAL_DELIVERY_MILLIS
      : SUBSTITUTE_DELAY_MILLIS;
  }

  private fetch(): void {
    const member = this.newestMember();
    if (member === undefined || this.isFetching) {
      return;
    }
    this.isFetching = true;
    this.options.events.event('configuration.behind', {
      version: this.version,
      announced: this.members.get(member)?.version ?? NO_VERSION,
    });
    void member.fetchDocument().then((document) => {
      this.post({ kind: 'fetched', member, document });
    });
  }

  private fetched(member: ConfigurationSource, document: StoreEntry | undefined): void {
    const before = this.version;
    if (document !== undefined) {
      this.read(document, 'member');
    }
    const isUseless = document !== undefined && this.version === before;
    const announced = this.members.get(member);
    if (announced !== undefined && announced.version > this.version) {
      // It goes last among members with the same version. One whose document can't be used counts as
      // having this member's version until it announces another.
      this.members.delete(member);
      this.members.set(member, isUseless ? { ...announced, version: this.version } : announced);
    }
    this.fetchLater(FETCH_RETRY_DELAY_MILLIS);
  }

  /**
   * The followed member if it has a higher version than this one; otherwise the connected member with
   * the highest version, if that is higher.
   */
  private newestMember(): ConfigurationSource | undefined {
    const { followed } = this;
    if (followed !== undefined && (this.members.get(followed)?.version ?? 0) > this.version) {
      return followed;
    }
    let newest: ConfigurationSource | undefined;
    let newestVersion = this.version;
    for (const [member, { version }] of this.members) {
      if (version > newestVersion) {
        newest = member;
        newestVersion = version;
      }
    }
    return newest;
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
      this.hasUnreadableRecord = true;
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
      bytes: entry.value?.length ?? 0,
      queues: queues.length,
      teams: teams.length,
    });
    this.configuration = configuration;
    this.document = entry;
    this.watch.skipTo(brandAs<Offset>(entry.offset + 1));
    this.hasUnreadableRecord = false;
    this.subscribers.forEach((subscriber) => {
      subscriber.post({ kind: 'configuration', configuration });
    });
    this.confirmByMembers();
    this.announceToAll();
  }

  private announceLater(): void {
    const at = deadlineAfter(this.clock.now(), ANNOUNCEMENT_INTERVAL_MILLIS);
    this.postAt(at, { kind: 'announce' });
  }

  private announceToAll(): void {
    this.announcedConfirmation = this.confirmedAt;
    this.members.forEach((_, member) => {
      this.announceTo(member);
    });
  }

  private announceTo(member: ConfigurationSource): void {
    const { confirmedAt } = this;
    const ageMillis = confirmedAt === undefined ? undefined : this.clock.now() - confirmedAt;
    member.announceVersion(this.version, ageMillis);
  }

  /** Adopts the confirmations of members that have no later version. */
  private confirmByMembers(): void {
    this.members.forEach(({ version, confirmedAt }) => {
      if (version <= this.version && confirmedAt !== undefined) {
        this.confirm(confirmedAt);
      }
    });
  }

  private confirm(at: Instant): void {
    if (this.confirmedAt !== undefined && at <= this.confirmedAt) {
      return;
    }
    this.confirmedAt = at;
    this.subscribers.forEach((subscriber) => {
      subscriber.post({ kind: 'configuration_confirmed', at });
    });
  }

  private get version(): number {
    return this.configuration?.version ?? NO_VERSION;
  }
}
