/** Keeps a connection to the member of the region that this one follows for the configuration. */

import { match } from 'ts-pattern';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { Clock } from '@bamboowell/kernel/clock';
import { Task } from '@bamboowell/kernel/task';
import type { EventLog } from '@bamboowell/logger/logger';
import type { MemberId } from '@bamboowell/types/ids';
import { deadlineAfter, hasPassed, type Deadline } from '@bamboowell/types/time';
import type { CloseReason, Connection } from '@bamboowell/wire/connection';
import { readerFor, type ReaderCandidate } from './configuration-readers.js';
import type { ConfigurationMessage } from './configuration-task.js';
import type { KnownMember } from './known-members.js';
import type { DialResult, Peers } from './peers.js';
import type { MemberSettings } from './settings.js';

/** Interval at which the choice of the reader is checked; a lost one is replaced at once. */
const TICK_INTERVAL_MILLIS = 1000;
const DIAL_TIMEOUT_MILLIS = 500;
/** A member whose connection was lost is not dialled for this long. */
const AVOIDANCE_MILLIS = 10_000;

export type ReaderLinkMessage =
  | { readonly kind: 'tick' }
  | { readonly kind: 'dialled'; readonly member: MemberId; readonly result: DialResult }
  | { readonly kind: 'ended'; readonly connection: Connection; readonly reason: CloseReason };

export interface ReaderLinkOptions {
  readonly settings: MemberSettings;
  readonly peers: Peers;
  readonly configuration: MailboxAddress<ConfigurationMessage>;
  readonly events: EventLog;
}

export class ReaderLinkTask extends Task<ReaderLinkMessage> {
  private connection: Connection | undefined;
  /** The member that is connected or being dialled. */
  private reader: MemberId | undefined;
  private readonly avoidedUntil = new Map<MemberId, Deadline>();

  constructor(
    private readonly options: ReaderLinkOptions,
    clock: Clock,
  ) {
    super('reader-link', clock);
  }

  protected override onStart(): void {
    this.tickLater();
  }

  protected override onStop(): void {
    this.connection?.close();
  }

  protected receive(message: ReaderLinkMessage): void {
    match(message)
      .with({ kind: 'tick' }, () => {
        this.tickLater();
        this.follow();
      })
      .with({ kind: 'dialled' }, ({ member, result }) => {
        this.dialled(member, result);
      })
      .with({ kind: 'ended' }, ({ connection, reason }) => {
        if (this.connection === connection) {
          this.lost(reason);
        }
      })
      .exhaustive();
  }

  private tickLater(): void {
    this.postAt(deadlineAfter(this.clock.now(), TICK_INTERVAL_MILLIS), { kind: 'tick' });
  }

  /** Dials the reader to follow if it isn't the present one. */
  private follow(): void {
    const neighbors = this.options.peers.neighbors.filter(({ member }) => !this.isAvoided(member));
    const reader = readerFor(this.options.settings.member, this.candidatesWith(neighbors));
    if (reader === this.reader) {
      return;
    }
    this.connection?.close();
    this.connection = undefined;
    this.reader = reader;
    const target = neighbors.find(({ member }) => member === reader);
    if (target !== undefined) {
      this.dial(target);
    }
  }

  private candidatesWith(neighbors: readonly KnownMember[]): ReaderCandidate[] {
    const { member, machine } = this.options.settings;
    const others = neighbors.map(({ member: other, linkMbps = 0 }) => ({
      member: other,
      linkMbps,
    }));
    return [{ member, linkMbps: machine.linkMbps }, ...others];
  }

  private isAvoided(member: MemberId): boolean {
    const until = this.avoidedUntil.get(member);
    return until !== undefined && !hasPassed(until, this.clock.now());
  }

  private dial(target: KnownMember): void {
    const { member } = target;
    const deadline = deadlineAfter(this.clock.now(), DIAL_TIMEOUT_MILLIS);
    void this.options.peers.dial(target, deadline).then((result) => {
      this.post({ kind: 'dialled', member, result });
    });
  }

  private dialled(member: MemberId, result: DialResult): void {
    const isWanted = this.reader === member && this.connection === undefined;
    if (result.kind === 'unreachable') {
      if (isWanted) {
        this.lost(result.detail);
      }
      return;
    }
    const { connection } = result;
    if (!isWanted) {
      connection.close();
      return;
    }
    this.connection = connection;
    void connection.ended.then((reason) => {
      this.post({ kind: 'ended', connection, reason });
    });
    const source = this.options.peers.follow(connection);
    this.options.configuration.post({ kind: 'member_followed', member: source });
    this.options.events.event('reader.followed', { reader: member });
  }

  private lost(detail: string): void {
    const { reader } = this;
    this.connection = undefined;
    this.reader = undefined;
    if (reader !== undefined) {
      this.avoidedUntil.set(reader, deadlineAfter(this.clock.now(), AVOIDANCE_MILLIS));
      this.options.events.event('reader.lost', { reader, detail });
      this.follow();
    }
  }
}
