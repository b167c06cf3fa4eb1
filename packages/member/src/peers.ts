/** Connections between members: every member keeps one to the owner, and most one to a neighbor. */

import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import { ask } from '@bamboowell/kernel/ask';
import type { Clock } from '@bamboowell/kernel/clock';
import { brandAs, type Incarnation, type MemberId } from '@bamboowell/types/ids';
import type { Term } from '@bamboowell/types/job';
import { deadlineAfter, type Deadline, type Instant } from '@bamboowell/types/time';
import type { Address } from '@bamboowell/types/vm';
import type { Connection } from '@bamboowell/wire/connection';
import type { KeepAliveTimes } from '@bamboowell/wire/keep-alive';
import { ConfigurationSource, type ConfigurationMessage } from './configuration-task.js';
import { KnownMembers, type KnownMember } from './known-members.js';
import {
  RemoteMember,
  type AdviceRequest,
  type Attestation,
  type MemberName,
  type MemberPort,
} from './member-port.js';
import { METHODS, type OwnerReply, type OwnerRequest } from './owner-channel.js';
import type { OwnerMessage, TermRole } from './owner-messages.js';
import type { Claim } from './ownership-messages.js';
import type { MemberSettings } from './settings.js';
import type { StoreEntry } from './store.js';

/**
 * Timeout of a hello. It is long because an owner that has just taken the work over is busy; one that
 * stands still is detected sooner, by the work log.
 */
export const HELLO_TIMEOUT_MILLIS = 3000;
/** Timeout of a request forwarded by another member: longer than any caller waits. */
const REQUEST_TIMEOUT_MILLIS = 10_000;
/** Most members that are told of a claim at a time, while the owner is busy with its takeover. */
const MAX_INTRODUCTIONS = 8;
/** Timeout for opening a connection to a member that must be told of a claim. */
const INTRODUCTION_TIMEOUT_MILLIS = 500;
/**
 * Timeout of a fetch of the configuration: a large document takes a thin link seconds, and the loss of
 * the connection ends the fetch sooner.
 */
const DOCUMENT_TIMEOUT_MILLIS = 8000;

/**
 * Keep-alive of the connection to a reader of the configuration. Its silence is noticed by the records
 * that it doesn't bring, so that pings may be few.
 */
const READER_KEEP_ALIVE: KeepAliveTimes = { pingMillis: 1000, silenceMillis: 3500 };

/** Where a member accepts connections; at one port if `ports` is absent. */
export type DialTarget = Pick<Claim, 'address' | 'ports'>;

export type DialResult =
  | { readonly kind: 'connected'; readonly connection: Connection }
  /** `isRefused`: nothing listens at the address, so the process of that member has ended. */
  | { readonly kind: 'unreachable'; readonly detail: string; readonly isRefused: boolean };

/** First request of a member on its connection to the owner. */
interface Hello extends MemberName {
  /** Where the member accepts connections; absent from earlier builds. */
  readonly address?: Address;
  readonly ports?: number;
  readonly linkMbps?: number;
  /** The term that the other end is expected to hold. */
  readonly term: Term;
}

/** Answer to `Hello`. */
export interface HelloReply {
  /** Whether the other end holds the term. */
  readonly standing: TermRole;
  readonly incarnation: Incarnation;
  /** Whether the owner renews no lease without an attestation of this member; absent from earlier builds. */
  readonly needsAttestation?: boolean;
}

/** Receives the owner's notifications. */
export interface OwnerListener {
  /** The owner has lost write access to the store, or regained it. */
  trouble(isTroubled: boolean): void;
  /** The owner has taken the work over. */
  serving(): void;
  /** The owner asks whether this member has not claimed the work. */
  attest(attestation: Attestation): Promise<boolean>;
}

export interface PeersOptions {
  readonly settings: MemberSettings;
  readonly clock: Clock;
  readonly self: MemberPort;
  readonly owner: MailboxAddress<OwnerMessage>;
  readonly configuration: MailboxAddress<ConfigurationMessage>;
}

/** Connects members to each other. Subclasses provide the transport. */
export abstract class Peers {
  private readonly connections = new Set<Connection>();
  private readonly known: KnownMembers;
  /** The members that have introduced themselves, and how many additions to `known` they were told. */
  private readonly introduced = new Map<Connection, { member: MemberId; additions: number }>();
  private claimListener: (claim: Claim) => void = () => undefined;

  constructor(protected readonly options: PeersOptions) {
    this.known = new KnownMembers(options.settings.member);
  }

  /** Starts to accept connections; each is passed to `accept`. */
  abstract listen(): Promise<void>;

  /** Number of consecutive ports, from the member's address on, at which it accepts connections. */
  abstract get ports(): number;

  /** Opens a connection to another member. */
  abstract dial(target: DialTarget, deadline: Deadline): Promise<DialResult>;

  /** Stops accepting connections and closes the open ones by the deadline. */
  abstract close(deadline: Deadline): Promise<void>;

  /**
   * Introduces this member to the owner and serves its calls; returns undefined if the owner
   * doesn't answer.
   */
  async sendHello(
    connection: Connection,
    term: Term,
    listener: OwnerListener,
  ): Promise<HelloReply | undefined> {
    const { settings, self, clock, configuration } = this.options;
    connection.handle(METHODS.advise, (params) => self.advise(params as AdviceRequest));
    connection.handle(METHODS.trouble, (params) => {
      listener.trouble((params as { readonly isTroubled: boolean }).isTroubled);
    });
    connection.handle(METHODS.serving, () => {
      listener.serving();
    });
    connection.handle(METHODS.attest, (params) => listener.attest(params as Attestation));
    const member = this.register(connection);
    configuration.post({ kind: 'member_connected', member });
    const hello: Hello = {
      member: settings.member,
      region: settings.region,
      incarnation: settings.incarnation,
      address: settings.peerAddress,
      ports: this.ports,
      linkMbps: settings.machine.linkMbps,
      term,
    };
    const deadline = deadlineAfter(clock.now(), HELLO_TIMEOUT_MILLIS);
    const answer = await connection.request(METHODS.hello, hello, deadline);
    return answer.kind === 'answered' ? (answer.value as HelloReply) : undefined;
  }

  /** Tells the owner that this member has not claimed the work, and won't any more. */
  announceDeparture(connection: Connection): void {
    connection.notify(METHODS.departure, {});
  }

  /** The known members of this one's region. */
  get neighbors(): readonly KnownMember[] {
    return this.known.inRegion(this.options.settings.region);
  }

  /** Follows the member at the other end for the configuration. */
  follow(connection: Connection): ConfigurationSource {
    const member = this.register(connection);
    connection.notify(METHODS.follow, {});
    connection.setKeepAlive(READER_KEEP_ALIVE);
    return member;
  }

  /** Notifies all connected members of a new owner. */
  announce(claim: Claim): void {
    this.connections.forEach((connection) => {
      connection.notify(METHODS.claim, claim);
    });
  }

  /**
   * Tells the members that are known but not connected of this member's claim, and those that are
   * connected of members that they may not know. Called again and again while this member is the owner.
   */
  introduce(claim: Claim): void {
    this.introduced.forEach((told, connection) => {
      const members = this.known.since(told.additions);
      if (members.length > 0) {
        told.additions = this.known.additions;
        connection.notify(METHODS.members, members);
      }
    });
    const connected = new Set([...this.introduced.values()].map(({ member }) => member));
    this.known.nextUnconnected(connected, MAX_INTRODUCTIONS).forEach((known) => {
      void this.tell(known, claim);
    });
  }

  /** Tells the member at this address of a claim; resolves to whether it was reached. */
  async inform(target: DialTarget, claim: Claim): Promise<boolean> {
    const { clock } = this.options;
    const result = await this.dial(target, deadlineAfter(clock.now(), INTRODUCTION_TIMEOUT_MILLIS));
    if (result.kind === 'connected') {
      result.connection.notify(METHODS.claim, claim);
      result.connection.close();
    }
    return result.kind === 'connected';
  }

  private async tell(known: KnownMember, claim: Claim): Promise<void> {
    this.known.dialled(known, await this.inform(known, claim));
  }

  /** Sets the listener for claims that other members announce. */
  onClaim(listener: (claim: Claim) => void): void {
    this.claimListener = listener;
  }

  protected closeAll(): void {
    this.connections.forEach((connection) => {
      connection.close();
    });
  }

  /** Serves a connection opened by another member. */
  protected accept(connection: Connection): void {
    const { owner, clock, configuration } = this.options;
    const member = this.register(connection);
    connection.handle(METHODS.hello, (params) => {
      // The other end handles announcements once it has sent its hello.
      configuration.post({ kind: 'member_connected', member });
      return this.answerHello(connection, params as Hello);
    });
    connection.handle(METHODS.follow, () => {
      connection.setKeepAlive(READER_KEEP_ALIVE);
      configuration.post({ kind: 'member_connected', member });
    });
    const askOwner = async (params: unknown): Promise<OwnerReply> => {
      const request = params as OwnerRequest;
      const deadline = deadlineAfter(clock.now(), REQUEST_TIMEOUT_MILLIS);
      const answer = await ask<OwnerMessage, OwnerReply>(
        owner,
        (reply) => ({ kind: 'request', request, reply }),
        deadline,
        clock,
      );
      return answer.kind === 'answered' ? answer.value : { kind: 'unknown' };
    };
    connection.handle(METHODS.request, askOwner);
    connection.handle(METHODS.preview, askOwner);
  }

  private async answerHello(
    connection: Connection,
    { address, ports = 1, linkMbps = 0, term, ...name }: Hello,
  ): Promise<HelloReply> {
    const { owner, clock, settings } = this.options;
    const { member, region } = name;
    this.introduced.set(connection, { member, additions: 0 });
    if (address !== undefined) {
      this.known.add({ member, address, ports, region, linkMbps });
    }
    const port = new RemoteMember(name, connection, clock);
    const deadline = deadlineAfter(clock.now(), HELLO_TIMEOUT_MILLIS);
    const answer = await ask<OwnerMessage, TermRole>(
      owner,
      (reply) => ({ kind: 'member', port, term, reply }),
      deadline,
      clock,
    );
    void connection.ended.then(() => {
      owner.post({ kind: 'member_gone', port });
    });
    connection.handle(METHODS.departure, () => {
      owner.post({ kind: 'member_leaving', port });
    });
    const standing = answer.kind === 'answered' ? answer.value : 'none';
    return { standing, incarnation: settings.incarnation, needsAttestation: standing !== 'none' };
  }

  /**
   * Handles notifications in both directions: members that can't reach the store learn of claims
   * and configurations this way.
   */
  private register(connection: Connection): ConfigurationSource {
    const { configuration, clock } = this.options;
    const member = new RemoteConfiguration(connection, clock);
    this.connections.add(connection);
    void connection.ended.then(() => {
      this.connections.delete(connection);
      this.introduced.delete(connection);
      configuration.post({ kind: 'member_gone', member });
    });
    connection.handle(METHODS.claim, (params) => {
      this.claimListener(params as Claim);
    });
    connection.handle(METHODS.members, (params) => {
      (params as readonly KnownMember[]).forEach((known) => {
        this.known.add(known);
      });
    });
    connection.handle(METHODS.configuration, (params) => {
      const { version, ageMillis } = params as VersionAnnouncement;
      const confirmedAt =
        ageMillis === undefined ? undefined : brandAs<Instant>(clock.now() - ageMillis);
      configuration.post({ kind: 'version_announced', version, confirmedAt, member });
    });
    connection.handle(METHODS.document, async (): Promise<StoreEntry | null> => {
      const answer = await ask<ConfigurationMessage, StoreEntry | undefined>(
        configuration,
        (reply) => ({ kind: 'document', reply }),
        deadlineAfter(clock.now(), DOCUMENT_TIMEOUT_MILLIS),
        clock,
      );
      return answer.kind === 'answered' ? (answer.value ?? null) : null;
    });
    return member;
  }
}

interface VersionAnnouncement {
  readonly version: number;
  /** How long ago the version was known to be the latest; absent if it never was, and from earlier builds. */
  readonly ageMillis?: number;
}

/** The configuration of the member at the other end of a connection. */
class RemoteConfiguration extends ConfigurationSource {
  constructor(
    private readonly connection: Connection,
    private readonly clock: Clock,
  ) {
    super();
  }

  announceVersion(version: number, ageMillis: number | undefined): void {
    const announcement: VersionAnnouncement =
      ageMillis === undefined ? { version } : { version, ageMillis: Math.ceil(ageMillis) };
    this.connection.notify(METHODS.configuration, announcement);
  }

  async fetchDocument(): Promise<StoreEntry | undefined> {
    const deadline = deadlineAfter(this.clock.now(), DOCUMENT_TIMEOUT_MILLIS);
    const answer = await this.connection.request(METHODS.document, {}, deadline);
    const document = answer.kind === 'answered' ? (answer.value as StoreEntry | null) : null;
    return document ?? undefined;
  }
}
