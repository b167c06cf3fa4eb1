/** The services of a member; most run one task and publish its mailbox address. */

import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { Clock } from '@bamboowell/kernel/clock';
import { Service, type Directory, type ServiceKey } from '@bamboowell/kernel/service';
import type { Task } from '@bamboowell/kernel/task';
import { ask } from '@bamboowell/kernel/ask';
import type { Deadline } from '@bamboowell/types/time';
import { SmallestFirst } from '@bamboowell/jobs/ordering';
import { ConfigurationTask, type ConfigurationMessage } from './configuration-task.js';
import type { GatewayMessage } from './gateway-messages.js';
import { GatewayTask } from './gateway-task.js';
import {
  ADVICE,
  CONFIGURATION,
  DOCUMENTS,
  EVENTS,
  GATEWAY,
  MACHINE,
  READER_LINK,
  OWNER,
  OWNERSHIP,
  PEERS,
  STORE,
  TRAFFIC,
  WORKERS,
} from './keys.js';
import { MeasuredStore } from './measured-store.js';
import { LocalMember } from './member-port.js';
import { OwnerChannel, type OwnerReply, type OwnerRequest } from './owner-channel.js';
import type { OwnerMessage } from './owner-messages.js';
import { OwnerTask } from './owner-task.js';
import { MachineTask, type MachineMessage, type ProcessGauges } from './machine-task.js';
import type { OwnershipMessage } from './ownership-messages.js';
import { ReaderLinkTask, type ReaderLinkMessage } from './reader-link-task.js';
import { OwnershipTask } from './ownership-task.js';
import type { Peers, PeersOptions } from './peers.js';
import type { MemberSettings } from './settings.js';
import { Election } from './election.js';
import { takeoverMillisOf } from './takeover-cost.js';
import { Traffic } from './traffic.js';

/** Dependencies shared by the services of one process. */
export interface MemberEnvironment {
  readonly settings: MemberSettings;
  readonly clock: Clock;
  readonly random: () => number;
  /** Wall-clock time, milliseconds since 1970. */
  readonly wallMillis: () => number;
  readonly gauges: ProcessGauges;
  /** Called with a failure that a task can't handle. */
  readonly onFailure: (task: string, error: unknown) => void;
}

abstract class TaskService<Message> extends Service<MailboxAddress<Message>> {
  private task: Task<Message> | undefined;

  constructor(protected readonly environment: MemberEnvironment) {
    super();
  }

  protected abstract make(directory: Directory): Task<Message>;

  /** Runs once the task accepts messages. */
  protected started?(directory: Directory, task: Task<Message>): void;

  async start(directory: Directory): Promise<MailboxAddress<Message>> {
    const task = this.make(directory);
    this.task = task;
    await task.start((error) => {
      this.environment.onFailure(task.name, error);
    });
    this.started?.(directory, task);
    return task;
  }

  async stop(): Promise<void> {
    await this.task?.stop();
  }
}

/** Provides the byte counters for services that open connections. */
export class TrafficService extends Service<Traffic> {
  readonly key = TRAFFIC;
  readonly dependencies = [];

  start(): Promise<Traffic> {
    return Promise.resolve(new Traffic());
  }

  stop(): Promise<void> {
    return Promise.resolve();
  }
}

export class MachineService extends TaskService<MachineMessage> {
  readonly key = MACHINE;
  readonly dependencies = [EVENTS, TRAFFIC];

  protected make(directory: Directory): Task<MachineMessage> {
    const { settings, gauges, clock } = this.environment;
    const traffic = directory.find(TRAFFIC);
    const events = directory.find(EVENTS);
    return new MachineTask({ machine: settings.machine, gauges, traffic, events }, clock);
  }
}

export class ConfigurationService extends TaskService<ConfigurationMessage> {
  readonly key = CONFIGURATION;
  readonly dependencies = [EVENTS, STORE, DOCUMENTS];

  protected make(directory: Directory): Task<ConfigurationMessage> {
    const options = {
      store: directory.find(STORE),
      documents: directory.find(DOCUMENTS),
      events: directory.find(EVENTS),
    };
    return new ConfigurationTask(options, this.environment.clock);
  }
}

export class GatewayService extends TaskService<GatewayMessage> {
  readonly key = GATEWAY;
  readonly dependencies = [EVENTS, CONFIGURATION];

  protected make(directory: Directory): Task<GatewayMessage> {
    const { settings, clock } = this.environment;
    return new GatewayTask(directory.find(EVENTS), clock, settings.configurationLifetimeMillis);
  }

  protected override started(directory: Directory, task: Task<GatewayMessage>): void {
    directory.find(CONFIGURATION).post({ kind: 'subscribe', subscriber: task });
  }
}

export class OwnerService extends TaskService<OwnerMessage> {
  readonly key = OWNER;
  readonly dependencies: readonly ServiceKey<unknown>[] = [
    EVENTS,
    STORE,
    DOCUMENTS,
    WORKERS,
    ADVICE,
    CONFIGURATION,
  ];

  protected make(directory: Directory): Task<OwnerMessage> {
    const { settings, clock, wallMillis } = this.environment;
    return new OwnerTask(
      {
        settings,
        store: directory.find(STORE),
        workers: directory.find(WORKERS),
        documents: directory.find(DOCUMENTS),
        events: directory.find(EVENTS),
        ordering: new SmallestFirst(),
        self: new LocalMember(settings, directory.find(ADVICE), clock),
        wallMillis,
      },
      clock,
    );
  }

  protected override started(directory: Directory, task: Task<OwnerMessage>): void {
    directory.find(CONFIGURATION).post({ kind: 'subscribe', subscriber: task });
  }
}

export class PeersService extends Service<Peers> {
  readonly key = PEERS;
  readonly dependencies = [ADVICE, OWNER, CONFIGURATION, TRAFFIC];
  private peers: Peers | undefined;

  /** @param make creates the transport for the connections. */
  constructor(
    private readonly environment: MemberEnvironment,
    private readonly make: (options: PeersOptions, traffic: Traffic) => Peers,
  ) {
    super();
  }

  async start(directory: Directory): Promise<Peers> {
    const { settings, clock } = this.environment;
    const configuration = directory.find(CONFIGURATION);
    const self = new LocalMember(settings, directory.find(ADVICE), clock);
    const owner = directory.find(OWNER);
    const options = { settings, clock, self, owner, configuration };
    const peers = this.make(options, directory.find(TRAFFIC));
    this.peers = peers;
    await peers.listen();
    return peers;
  }

  async stop(deadline: Deadline): Promise<void> {
    await this.peers?.close(deadline);
  }
}

export class ReaderLinkService extends TaskService<ReaderLinkMessage> {
  readonly key = READER_LINK;
  readonly dependencies = [EVENTS, PEERS, CONFIGURATION];

  protected make(directory: Directory): Task<ReaderLinkMessage> {
    const { settings, clock } = this.environment;
    const peers = directory.find(PEERS);
    const configuration = directory.find(CONFIGURATION);
    const events = directory.find(EVENTS);
    return new ReaderLinkTask({ settings, peers, configuration, events }, clock);
  }
}

export class OwnershipService extends TaskService<OwnershipMessage> {
  readonly key = OWNERSHIP;
  readonly dependencies = [EVENTS, STORE, PEERS, OWNER, GATEWAY];

  protected make(directory: Directory): Task<OwnershipMessage> {
    const { settings, clock, random } = this.environment;
    const owner = directory.find(OWNER);
    const store = new MeasuredStore(directory.find(STORE), clock);
    const storeMillis = (): number | undefined => store.lowestLatencyMillis;
    return new OwnershipTask(
      {
        settings,
        store,
        events: directory.find(EVENTS),
        peers: directory.find(PEERS),
        election: new Election({
          storeMillis,
          takeoverMillis: takeoverMillisOf(settings.machine),
          random,
        }),
        owner,
        localOwner: new LocalOwner(owner, clock),
        gateway: directory.find(GATEWAY),
      },
      clock,
    );
  }

  protected override started(directory: Directory, task: Task<OwnershipMessage>): void {
    directory.find(OWNER).post({ kind: 'attach', ownership: task });
  }
}

/** Channel to the owner in this process. */
class LocalOwner extends OwnerChannel {
  constructor(
    private readonly owner: MailboxAddress<OwnerMessage>,
    private readonly clock: Clock,
  ) {
    super();
  }

  async ask(request: OwnerRequest, deadline: Deadline): Promise<OwnerReply> {
    const answer = await ask<OwnerMessage, OwnerReply>(
      this.owner,
      (reply) => ({ kind: 'request', request, reply }),
      deadline,
      this.clock,
    );
    return answer.kind === 'answered' ? answer.value : { kind: 'unknown' };
  }
}
