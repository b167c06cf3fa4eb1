/** Connections between members: every member keeps one to the owner. */

import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import { ask } from '@bamboowell/kernel/ask';
import type { Clock } from '@bamboowell/kernel/clock';
import type { Incarnation, MemberId } from '@bamboowell/types/ids';
import type { Term } from '@bamboowell/types/job';
import { deadlineAfter, type Deadline } from '@bamboowell/types/time';
import type { Address } from '@bamboowell/types/vm';
import type { Connection } from '@bamboowell/wire/connection';
import type { ConfigurationMessage } from './configuration-task.js';
import { RemoteMember, type AdviceRequest, type MemberPort } from './member-port.js';
import { METHODS, type OwnerReply, type OwnerRequest } from './owner-channel.js';
import type { OwnerMessage, TermRole } from './owner-messages.js';
import type { Claim } from './ownership-messages.js';
import type { MemberSettings } from './settings.js';
import type { StoreEntry } from './store.js';

/**
 * A greeting is given up after this, milliseconds: an owner that has just taken the work over is
 * busy, and one that is gone is noticed sooner, by the silence of the connection.
 */
const HELLO_MILLIS = 3000;
/** A request of another member is given up after this, milliseconds: longer than any caller waits. */
const REQUEST_MILLIS = 10_000;

export type DialResult =
  | { readonly kind: 'connected'; readonly connection: Connection }
  /** Refused: nobody listens at the address, so the member that did has ended. */
  | { readonly kind: 'unreachable'; readonly detail: string; readonly isRefused: boolean };

/** What a member says first on its connection to the owner. */
interface Hello {
  readonly member: MemberId;
  readonly region: string;
  /** The term that the other end should hold. */
  readonly term: Term;
}

/** What the other end says to that. */
export interface HelloReply {
  /** How it stands to the term. */
  readonly standing: TermRole;
  readonly incarnation: Incarnation;
}

/** What the owner tells its members of itself. */
export interface OwnerListener {
  /** It can't write to the store, or can again. */
  trouble(isTroubled: boolean): void;
  /** It has taken the work over. */
  serving(): void;
}

export interface PeersOptions {
  readonly settings: MemberSettings;
  readonly clock: Clock;
  readonly self: MemberPort;
  readonly owner: MailboxAddress<OwnerMessage>;
  readonly configuration: MailboxAddress<ConfigurationMessage>;
}

/** How members reach each other. Subclasses differ in what carries the connections. */
export abstract class Peers {
  private readonly connections = new Set<Connection>();
  private claimListener: (claim: Claim) => void = () => undefined;

  constructor(protected readonly options: PeersOptions) {}

  /** Takes connections from now on; each is handed to `accept`. */
  abstract listen(): Promise<void>;

  /** Opens a connection to the owner. */
  abstract dial(address: Address, deadline: Deadline): Promise<DialResult>;

  /** Takes no more connections; what is in hand may end until the deadline. */
  abstract close(deadline: Deadline): Promise<void>;

  /** Introduces this member to the owner and serves its questions; nothing if it didn't answer. */
  async sendHello(
    connection: Connection,
    term: Term,
    news: OwnerListener,
  ): Promise<HelloReply | undefined> {
    const { settings, self, clock } = this.options;
    connection.handle(METHODS.advise, (params) => self.advise(params as AdviceRequest));
    connection.handle(METHODS.trouble, (params) => {
      news.trouble((params as { readonly isTroubled: boolean }).isTroubled);
    });
    connection.handle(METHODS.serving, () => {
      news.serving();
    });
    this.add(connection);
    const hello: Hello = { member: settings.member, region: settings.region, term };
    const limit = deadlineAfter(clock.now(), HELLO_MILLIS);
    const answer = await connection.request(METHODS.hello, hello, limit);
    return answer.kind === 'answered' ? (answer.value as HelloReply) : undefined;
  }

  /** Tells all members that are connected who owns the work now. */
  announce(claim: Claim): void {
    this.connections.forEach((connection) => {
      connection.notify(METHODS.claim, claim);
    });
  }

  /** Who hears what other members announce. */
  onClaim(listener: (claim: Claim) => void): void {
    this.claimListener = listener;
  }

  /** Hands an operator's document to all members that are connected. */
  broadcastConfiguration(document: StoreEntry): void {
    this.connections.forEach((connection) => {
      connection.notify(METHODS.configuration, document);
    });
  }

  protected closeAll(): void {
    this.connections.forEach((connection) => {
      connection.close();
    });
  }

  /** Serves a member that connected. */
  protected accept(connection: Connection): void {
    const { owner, clock } = this.options;
    connection.handle(METHODS.hello, (params) => this.welcome(connection, params as Hello));
    connection.handle(METHODS.request, async (params): Promise<OwnerReply> => {
      const request = params as OwnerRequest;
      const limit = deadlineAfter(clock.now(), REQUEST_MILLIS);
      const answer = await ask<OwnerMessage, OwnerReply>(
        owner,
        (reply) => ({ kind: 'request', request, reply }),
        limit,
        clock,
      );
      return answer.kind === 'answered' ? answer.value : { kind: 'unknown' };
    });
    this.add(connection);
  }

  private async welcome(
    connection: Connection,
    { member, region, term }: Hello,
  ): Promise<HelloReply> {
    const { owner, clock, settings } = this.options;
    const port = new RemoteMember(member, region, connection, clock);
    const limit = deadlineAfter(clock.now(), HELLO_MILLIS);
    const answer = await ask<OwnerMessage, TermRole>(
      owner,
      (reply) => ({ kind: 'member', port, term, reply }),
      limit,
      clock,
    );
    void connection.ended.then(() => {
      owner.post({ kind: 'member_gone', port });
    });
    const standing = answer.kind === 'answered' ? answer.value : 'none';
    return { standing, incarnation: settings.incarnation };
  }

  /** Members that lost the store learn of the configuration from the others. */
  private add(connection: Connection): void {
    const { configuration } = this.options;
    this.connections.add(connection);
    void connection.ended.then(() => this.connections.delete(connection));
    connection.handle(METHODS.claim, (params) => {
      this.claimListener(params as Claim);
    });
    connection.handle(METHODS.configuration, (params) => {
      configuration.post({ kind: 'offered', document: params as StoreEntry });
    });
  }
}
