/** Connections between members: every member keeps one to the owner. */

import type { Socket } from 'node:net';
import type { Address as MailAddress } from '@bamboowell/kernel/mailbox';
import { ask } from '@bamboowell/kernel/ask';
import type { Clock } from '@bamboowell/kernel/clock';
import type { MemberId } from '@bamboowell/types/ids';
import { deadlineAfter, type Deadline } from '@bamboowell/types/time';
import type { Address } from '@bamboowell/types/vm';
import { connect } from '@bamboowell/wire/connect';
import type { Connection } from '@bamboowell/wire/connection';
import { Listener } from '@bamboowell/wire/listener';
import { TcpConnection } from '@bamboowell/wire/tcp-connection';
import type { ConfigurationMessage } from './configuration-task.js';
import { RemoteMember, type AdviceQuestion, type MemberPort } from './member-port.js';
import { METHODS, type OwnerReply, type OwnerRequest } from './owner-channel.js';
import type { OwnerMessage } from './owner-messages.js';
import type { MemberSettings } from './settings.js';
import type { StoreEntry } from './store.js';

/** A member sends something at least this often, milliseconds. */
const PING_MILLIS = 300;
/** A member that sends nothing for so long, milliseconds, is silent: several pings, and the pauses of a slow machine. */
const SILENCE_MILLIS = 1100;
/** A request of another member is given up after this, milliseconds: longer than any caller waits. */
const REQUEST_MILLIS = 10_000;

const PULSE = { pingMillis: PING_MILLIS, silenceMillis: SILENCE_MILLIS };

export type Dialled =
  | { readonly kind: 'connected'; readonly connection: Connection }
  | { readonly kind: 'unreachable'; readonly detail: string };

/** What a member says first on its connection to the owner. */
interface Hello {
  readonly member: MemberId;
  readonly region: string;
}

export interface PeersOptions {
  readonly settings: MemberSettings;
  readonly clock: Clock;
  readonly self: MemberPort;
  readonly owner: MailAddress<OwnerMessage>;
  readonly configuration: MailAddress<ConfigurationMessage>;
}

export class Peers {
  private readonly listener: Listener;
  private readonly connections = new Set<Connection>();

  constructor(private readonly options: PeersOptions) {
    const { settings, clock } = options;
    this.listener = new Listener({
      ...settings.peerAddress,
      clock,
      make: (socket: Socket) => new TcpConnection(socket, { clock, pulse: PULSE }),
      accept: (connection) => {
        this.accept(connection);
      },
    });
  }

  async listen(): Promise<void> {
    await this.listener.listen();
  }

  async close(deadline: Deadline): Promise<void> {
    this.connections.forEach((connection) => {
      connection.close();
    });
    await this.listener.close(deadline);
  }

  /** Opens a connection to the owner. */
  async dial(address: Address, deadline: Deadline): Promise<Dialled> {
    const { clock } = this.options;
    const result = await connect({ address, clock, deadline, pulse: PULSE });
    return result instanceof TcpConnection ? { kind: 'connected', connection: result } : result;
  }

  /** Introduces this member to the owner and serves its questions. */
  greet(connection: Connection, trouble: (isTroubled: boolean) => void): void {
    const { settings, self } = this.options;
    connection.handle(METHODS.advise, (params) => self.advise(params as AdviceQuestion));
    connection.handle(METHODS.trouble, (params) => {
      trouble((params as { readonly isTroubled: boolean }).isTroubled);
    });
    this.add(connection);
    const hello: Hello = { member: settings.member, region: settings.region };
    connection.notify(METHODS.hello, hello);
  }

  /** Hands an operator's document to all members that are connected. */
  spread(document: StoreEntry): void {
    this.connections.forEach((connection) => {
      connection.notify(METHODS.configuration, document);
    });
  }

  private accept(connection: Connection): void {
    const { owner, clock } = this.options;
    connection.handle(METHODS.hello, (params) => {
      this.welcome(connection, params as Hello);
    });
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

  private welcome(connection: Connection, { member, region }: Hello): void {
    const { owner, clock } = this.options;
    const port = new RemoteMember(member, region, connection, clock);
    owner.post({ kind: 'member', port });
    void connection.ended.then(() => {
      owner.post({ kind: 'member_gone', port });
    });
  }

  /** Members that lost the store learn of the configuration from the others. */
  private add(connection: Connection): void {
    const { configuration } = this.options;
    this.connections.add(connection);
    void connection.ended.then(() => this.connections.delete(connection));
    connection.handle(METHODS.configuration, (params) => {
      configuration.post({ kind: 'offered', document: params as StoreEntry });
    });
  }
}
