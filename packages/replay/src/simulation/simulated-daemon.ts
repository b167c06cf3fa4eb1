/** A daemon on a manual clock: its real services with simulated log, VM list and connections. */

import type { Backend } from '@bamboowell/front/backend';
import { Kernel } from '@bamboowell/kernel/kernel';
import { Service, type ServiceKey } from '@bamboowell/kernel/service';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import { EventLog } from '@bamboowell/logger/logger';
import { MemoryCounters } from '@bamboowell/metrics/counters';
import { Dialler } from '@bamboowell/membership/dialler';
import { parseSettings, type DaemonSettings } from '@bamboowell/config/daemon-settings';
import type { CellEvent, CellMessage } from '@bamboowell/daemon/cell-messages';
import { registerCore } from '@bamboowell/daemon/daemon';
import type { Environment } from '@bamboowell/daemon/environment';
import {
  CELL,
  COUNTERS,
  EVENTS,
  LINKS,
  LOG,
  MEMBERS,
  ROUTER,
  SHARDS,
  TRANSPORT,
  VM_LIST,
} from '@bamboowell/daemon/keys';
import { LocalShards } from '@bamboowell/daemon/local-shards';
import { parseForwardedRequest, SHARD_METHOD } from '@bamboowell/daemon/peer-messages';
import { LinkMaker, Transport, type LinkOptions } from '@bamboowell/daemon/platform';
import type { Log } from '@bamboowell/log/log';
import type { VmListing } from '@bamboowell/membership/vm-list';
import { brandAs, type Incarnation } from '@bamboowell/types/ids';
import { deadlineAfter, MILLIS_PER_MINUTE } from '@bamboowell/types/time';
import { refused } from '@bamboowell/types/verdict';
import type { Address } from '@bamboowell/types/vm';
import type { Connection } from '@bamboowell/wire/connection';
import type { MemoryConnection } from '@bamboowell/wire/memory-connection';
import type { WorkerLink } from '@bamboowell/worker/worker-link';
import type { Clock } from '@bamboowell/kernel/clock';
import { createHash } from 'node:crypto';
import { Gate } from './gate.js';
import { GatedClock, GatedLog, GatedVmList } from './gated.js';

/** Id and location of a daemon. */
export interface DaemonOptions {
  readonly daemon: string;
  readonly region: string;
  readonly dataCentre: string;
}

/** What the simulated cell provides to a daemon. */
export interface DaemonDependencies {
  readonly clock: Clock;
  readonly log: Log;
  /** Reads the VM list on behalf of a daemon. */
  readonly listVms: (daemon: string) => VmListing;
  /** Whether a daemon is partitioned from the log. */
  readonly isPartitionedFromLog: (daemon: string) => boolean;
  readonly random: () => number;
  readonly unique: () => string;
  /** Opens a connection to another daemon; returns the end of the dialling daemon. */
  readonly dial: (from: SimulatedDaemon, port: number) => Connection | undefined;
  readonly link: (from: SimulatedDaemon, options: LinkOptions) => WorkerLink;
  readonly eventLogged: (
    daemon: string,
    name: string,
    fields: Readonly<Record<string, unknown>>,
  ) => void;
  readonly cellChanged: (daemon: string, event: CellEvent) => void;
}

/** Id of the operator's key in every simulated daemon; its secret is the id. */
export const OPERATOR = 'operator';

export function secretHashOf(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}

/** Dials other daemons of the simulated cell by their port. */
class SimulatedDialler extends Dialler {
  constructor(private readonly open: (port: number) => Connection | undefined) {
    super();
  }

  dial(address: Address): Promise<Connection | undefined> {
    return Promise.resolve(this.open(address.port));
  }
}

/** Registers a handle that exists already as a service. */
class FixedService<Handle> extends Service<Handle> {
  readonly dependencies: readonly ServiceKey<unknown>[] = [];

  constructor(
    readonly key: ServiceKey<Handle>,
    private readonly handle: Handle,
  ) {
    super();
  }

  start(): Promise<Handle> {
    return Promise.resolve(this.handle);
  }

  stop(): Promise<void> {
    return Promise.resolve();
  }
}

export class SimulatedDaemon {
  readonly gate = new Gate();
  readonly counters = new MemoryCounters();
  readonly connections: MemoryConnection[] = [];
  private readonly inFlight = new Set<Promise<unknown>>();
  private readonly kernel = new Kernel();
  private readonly clock: GatedClock;
  private accept: (connection: Connection) => void = () => undefined;

  constructor(
    readonly options: DaemonOptions,
    readonly port: number,
    private readonly dependencies: DaemonDependencies,
  ) {
    this.clock = new GatedClock(dependencies.clock, this.gate);
    this.register();
  }

  async start(): Promise<void> {
    await this.kernel.start(this.startOrStopDeadline());
    this.servePeers();
    const subscriber: MailboxAddress<CellEvent> = {
      post: (event) => {
        this.dependencies.cellChanged(this.options.daemon, event);
        return 'accepted';
      },
    };
    const cell: MailboxAddress<CellMessage> = this.kernel.find(CELL);
    cell.post({ kind: 'subscribe', subscriber });
  }

  /** Counts a caller's request as in flight until it is answered. */
  trackRequest<Value>(answer: Promise<Value>): Promise<Value> {
    this.inFlight.add(answer);
    return answer.finally(() => this.inFlight.delete(answer));
  }

  /** Stops gracefully: like the front, it first answers every request in flight. */
  async stop(): Promise<void> {
    this.kernel.find(MEMBERS).post({ kind: 'leave' });
    await Promise.allSettled(this.inFlight);
    await this.kernel.stop(this.startOrStopDeadline());
  }

  get backend(): Backend {
    return this.kernel.find(ROUTER);
  }

  /** Takes a connection that another daemon opened. */
  acceptConnection(connection: Connection): void {
    this.accept(connection);
  }

  private startOrStopDeadline() {
    return deadlineAfter(this.dependencies.clock.now(), MILLIS_PER_MINUTE);
  }

  private register(): void {
    const { dependencies, gate, kernel, counters } = this;
    kernel.register(new FixedService(EVENTS, this.eventLog()));
    kernel.register(new FixedService(COUNTERS, counters));
    kernel.register(new FixedService(LOG, this.gatedLog()));
    kernel.register(
      new FixedService(
        VM_LIST,
        new GatedVmList(() => dependencies.listVms(this.options.daemon), gate),
      ),
    );
    kernel.register(new FixedService(TRANSPORT, this.transport()));
    kernel.register(new FixedService(LINKS, this.linkMaker()));
    registerCore(kernel, this.environment());
  }

  private gatedLog(): Log {
    const { log, clock, isPartitionedFromLog } = this.dependencies;
    return new GatedLog(log, this.gate, clock, () => isPartitionedFromLog(this.options.daemon));
  }

  private environment(): Environment {
    const { random, unique } = this.dependencies;
    const incarnation = brandAs<Incarnation>(unique());
    return { settings: settingsOf(this.options), clock: this.clock, incarnation, random, unique };
  }

  private eventLog(): EventLog {
    const { eventLogged } = this.dependencies;
    const { daemon } = this.options;
    return new (class extends EventLog {
      event(name: string, fields: Readonly<Record<string, unknown>> = {}): void {
        eventLogged(daemon, name, fields);
      }
    })();
  }

  private transport(): Transport {
    const dial = (port: number): Connection | undefined => this.dependencies.dial(this, port);
    const listen = (accept: (connection: Connection) => void): void => {
      this.accept = accept;
    };
    return new (class extends Transport {
      readonly dialler = new SimulatedDialler(dial);

      listen(accept: (connection: Connection) => void): Promise<void> {
        listen(accept);
        return Promise.resolve();
      }

      close(): Promise<void> {
        return Promise.resolve();
      }
    })();
  }

  private linkMaker(): LinkMaker {
    const link = (options: LinkOptions): WorkerLink => this.dependencies.link(this, options);
    return new (class extends LinkMaker {
      open(options: LinkOptions): WorkerLink {
        return link(options);
      }
    })();
  }

  private servePeers(): void {
    const local = new LocalShards(this.kernel.find(SHARDS), this.clock);
    const handler = async (params: unknown): Promise<unknown> => {
      const request = parseForwardedRequest(params);
      if (request === undefined) {
        return refused('malformed', 'the request of the other daemon is malformed');
      }
      return local.ask(
        request.shard,
        request.ask,
        deadlineAfter(this.clock.now(), request.timeoutMillis),
      );
    };
    this.kernel.find(MEMBERS).post({ kind: 'serve', method: SHARD_METHOD, handler });
  }
}

function settingsOf({ daemon, region, dataCentre }: DaemonOptions): DaemonSettings {
  const text = JSON.stringify({
    memberId: daemon,
    region,
    dataCentre,
    log: { url: 'http://127.0.0.1:1', appendsPerSecond: 100 },
    vmList: { url: 'http://127.0.0.1:1' },
    operators: [{ id: OPERATOR, secretHash: secretHashOf(OPERATOR) }],
  });
  const parsed = parseSettings(text, {});
  if (parsed.kind === 'invalid') {
    throw new Error(
      `the settings of the simulated daemon are invalid: ${JSON.stringify(parsed.problems)}`,
    );
  }
  return parsed.settings;
}
