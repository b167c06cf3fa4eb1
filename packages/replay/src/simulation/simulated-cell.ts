/**
 * A whole cell in one process on a manual clock: daemons with their real services, workers, the log
 * and the VM list, with faults that a trace controls. The same seed gives the same run.
 */

import { setImmediate as turn } from 'node:timers/promises';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { ManualClock } from '@bamboowell/kernel/manual-clock';
import { MemoryLog } from '@bamboowell/log/memory-log';
import type { VmListing } from '@bamboowell/membership/vm-list';
import type { CellEvent } from '@bamboowell/daemon/cell-messages';
import type { LinkOptions } from '@bamboowell/daemon/platform';
import {
  brandAs,
  type DataCentreId,
  type MemberId,
  type RackId,
  type RegionId,
  type WorkerId,
} from '@bamboowell/types/ids';
import type { Resources } from '@bamboowell/types/resources';
import { done, refused } from '@bamboowell/types/verdict';
import type { Vm } from '@bamboowell/types/vm';
import type { WorkerReport } from '@bamboowell/types/worker-messages';
import type { Connection } from '@bamboowell/wire/connection';
import { connectEnds, MemoryConnection } from '@bamboowell/wire/memory-connection';
import { WorkerLink } from '@bamboowell/worker/worker-link';
import { SimulatedDaemon, type DaemonOptions } from './simulated-daemon.js';
import { SimulatedWorker, type RunObserver, type SimulatedLink } from './simulated-worker.js';

/** Time step of the simulation, unless the trace sets another. */
const DEFAULT_TIME_STEP_MILLIS = 20;
/** Names of the log and the VM list in a partition. */
const LOG_NAME = 'log';
const VM_LIST_NAME = 'list';
/** Turns of the event loop that deliver all messages of one time step. */
const TURNS_PER_STEP = 6;
/** A connection on which nothing arrives for this long is closed. */
const SILENCE_TIMEOUT_MILLIS = 5_000;
const WORKER_PORT = 10_000;
const UINT32 = 2 ** 32;

/** Receives the events of daemons and workers. */
export interface CellObserver {
  eventLogged(daemon: string, name: string, fields: Readonly<Record<string, unknown>>): void;
  cellChanged(daemon: string, event: CellEvent): void;
  runObserverOf(worker: string): RunObserver;
}

export interface WorkerOptions {
  readonly worker: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly capacity: Resources;
}

interface OpenLink extends SimulatedLink {
  readonly worker: string;
  readonly from: SimulatedDaemon;
  readonly options: LinkOptions;
}

type VmListState = 'up' | 'down' | 'lagging';

export class SimulatedCell {
  readonly clock = new ManualClock();
  readonly log = new MemoryLog(this.clock);
  readonly daemons = new Map<string, SimulatedDaemon>();
  readonly workers = new Map<string, SimulatedWorker>();
  private readonly regions = new Map<string, string>();
  private readonly vms = new Map<string, Vm>();
  private visibleVms: readonly Vm[] = [];
  private vmListState: VmListState = 'up';
  private links: OpenLink[] = [];
  /** Workers to which new links lose everything too. */
  private readonly partitionedWorkers = new Set<string>();
  private partitions: { readonly from: readonly string[]; readonly to: readonly string[] }[] = [];
  private readonly generator;
  private uniqueCount = 0;
  private stepMillis = DEFAULT_TIME_STEP_MILLIS;

  constructor(
    private readonly observer: CellObserver,
    seed: number,
  ) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Advances the clock to `millis` since the start and delivers the messages of each time step. */
  async advanceTo(millis: number): Promise<void> {
    while (this.clock.now() < millis) {
      this.clock.advance(Math.min(this.stepMillis, millis - this.clock.now()));
      await this.deliverMessages();
    }
  }

  /** Sets how far the clock advances between two deliveries of messages. */
  setTimeStep(millis: number): void {
    this.stepMillis = millis;
  }

  async deliverMessages(): Promise<void> {
    for (let count = 0; count < TURNS_PER_STEP; count += 1) {
      await turn();
    }
  }

  async addDaemon(options: DaemonOptions): Promise<void> {
    const port = this.daemons.get(options.daemon)?.port ?? this.daemons.size + 1;
    const daemon = new SimulatedDaemon(options, port, {
      clock: this.clock,
      log: this.log,
      listVms: (name) => this.listVms(name),
      isPartitionedFromLog: (name) => this.isPartitionedFromLog(name),
      random: () => this.random(),
      unique: () => this.unique(),
      dial: (from, target) => this.dial(from, target),
      link: (from, linkOptions) => this.openLink(from, linkOptions),
      eventLogged: (name, event, fields) => {
        this.observer.eventLogged(name, event, fields);
      },
      cellChanged: (name, event) => {
        this.observer.cellChanged(name, event);
      },
    });
    this.daemons.set(options.daemon, daemon);
    this.regions.set(options.dataCentre, options.region);
    this.vms.set(options.daemon, {
      role: 'entry',
      member: brandAs<MemberId>(options.daemon),
      region: brandAs<RegionId>(options.region),
      dataCentre: brandAs<DataCentreId>(options.dataCentre),
      address: { host: '127.0.0.1', port },
      state: 'live',
    });
    this.refreshVmList();
    await daemon.start();
  }

  addWorker({ worker, dataCentre, rack, capacity }: WorkerOptions): void {
    const profile = {
      id: brandAs<WorkerId>(worker),
      dataCentre: brandAs<DataCentreId>(dataCentre),
      rack: brandAs<RackId>(rack),
      capacity,
    };
    const port = WORKER_PORT + this.workers.size;
    this.workers.set(
      worker,
      new SimulatedWorker(profile, this.clock, this.observer.runObserverOf(worker)),
    );
    this.vms.set(worker, {
      role: 'worker',
      worker: profile.id,
      region: brandAs<RegionId>(this.regions.get(dataCentre) ?? 'unknown'),
      dataCentre: profile.dataCentre,
      rack: profile.rack,
      address: { host: '127.0.0.1', port },
      state: 'live',
    });
    this.refreshVmList();
  }

  setVmListState(state: VmListState): void {
    this.vmListState = state;
    this.refreshVmList();
  }

  markVmLeaving(id: string): void {
    const vm = this.vms.get(id);
    if (vm !== undefined) {
      this.vms.set(id, { ...vm, state: 'leaving' });
      this.refreshVmList();
    }
  }

  /** The VM list no longer shows the VM. */
  removeVmFromList(id: string): void {
    this.vms.delete(id);
    this.refreshVmList();
  }

  /** Ends a daemon's process at once and closes its connections. */
  kill(id: string): void {
    const daemon = this.daemon(id);
    daemon.gate.kill();
    this.removeLinksOf(daemon);
    for (const connection of daemon.connections) {
      connection.close();
    }
  }

  /** Suspends a daemon. The other daemons close their connections to it once they time out. */
  pause(id: string): void {
    const daemon = this.daemon(id);
    daemon.gate.pause();
    this.clock.wakeAt(brandAs(this.clock.now() + SILENCE_TIMEOUT_MILLIS), () => {
      if (!daemon.gate.isOpen) {
        for (const connection of daemon.connections) {
          connection.other?.close();
        }
      }
    });
  }

  daemon(id: string): SimulatedDaemon {
    const daemon = this.daemons.get(id);
    if (daemon === undefined) {
      throw new Error(`the trace has no daemon ${id}`);
    }
    return daemon;
  }

  worker(id: string): SimulatedWorker {
    const worker = this.workers.get(id);
    if (worker === undefined) {
      throw new Error(`the trace has no worker ${id}`);
    }
    return worker;
  }

  /** From now on, open and new connections between the two groups lose everything. */
  partition(from: readonly string[], to: readonly string[]): void {
    this.partitions.push({ from, to });
    for (const daemon of this.daemons.values()) {
      for (const connection of daemon.connections) {
        connection.silent ||= this.isPartitionedConnection(connection);
      }
    }
    for (const link of this.links) {
      link.silent ||= this.isPartitioned(link.from.options.daemon, link.worker);
    }
    this.scheduleSilentLinkEnd();
  }

  /** Ends all partitions and closes the connections that lost messages, as their pings would. */
  heal(): void {
    this.partitions = [];
    for (const daemon of this.daemons.values()) {
      for (const connection of daemon.connections.filter(({ silent }) => silent)) {
        connection.close();
      }
    }
    this.disconnectLinks((link) => link.silent);
  }

  /** `silent`: open links lose everything, new ones work. `cut`: new links lose everything too. */
  setLinkState(worker: string, state: 'silent' | 'cut' | 'up'): void {
    if (state === 'up') {
      this.partitionedWorkers.delete(worker);
      this.disconnectLinks((link) => link.worker === worker && link.silent);
      return;
    }
    if (state === 'cut') {
      this.partitionedWorkers.add(worker);
    }
    for (const link of this.links.filter((each) => each.worker === worker)) {
      link.silent = true;
    }
    this.scheduleSilentLinkEnd();
  }

  /** Closes the links to a worker, as when its process ends. */
  disconnectWorker(worker: string): void {
    this.disconnectLinks((link) => link.worker === worker);
  }

  /** Closes silent links after the time in which pings would detect them. */
  private scheduleSilentLinkEnd(): void {
    this.clock.wakeAt(brandAs(this.clock.now() + SILENCE_TIMEOUT_MILLIS), () => {
      this.disconnectLinks((link) => link.silent);
    });
  }

  private disconnectLinks(matches: (link: OpenLink) => boolean): void {
    for (const link of this.links.filter(matches)) {
      link.silent = true;
      this.links = this.links.filter((each) => each !== link);
      this.report(link, { kind: 'detached', worker: brandAs<WorkerId>(link.worker) });
      this.scheduleReconnect(link);
    }
  }

  /** Reports the link as failed after a while, upon which the daemon opens another one. */
  private scheduleReconnect(link: OpenLink): void {
    const retryMillis = 500;
    link.from.gate.run(() => {
      this.clock.wakeAt(brandAs(this.clock.now() + retryMillis), () => {
        link.options.failed(new Error('the link ended'));
      });
    });
  }

  private removeLinksOf(daemon: SimulatedDaemon): void {
    this.links = this.links.filter((link) => link.from !== daemon);
  }

  private report(link: OpenLink, report: WorkerReport): void {
    link.from.gate.run(() => {
      link.options.reports.post(report);
    });
  }

  private openLink(from: SimulatedDaemon, options: LinkOptions): WorkerLink {
    const worker = options.worker;
    const link: OpenLink = {
      worker,
      from,
      options,
      silent:
        this.partitionedWorkers.has(worker) || this.isPartitioned(from.options.daemon, worker),
      report: (report) => {
        this.report(link, report);
      },
    };
    this.links.push(link);
    if (link.silent) {
      this.scheduleSilentLinkEnd();
    }
    const target = this.workers.get(worker);
    const close = (): void => {
      this.links = this.links.filter((each) => each !== link);
    };
    return new (class extends WorkerLink {
      send(command: Parameters<WorkerLink['send']>[0]): ReturnType<WorkerLink['send']> {
        if (target === undefined) {
          return refused('worker_lost', 'there is no such worker');
        }
        target.handle(link, JSON.parse(JSON.stringify(command)) as typeof command);
        return done(null);
      }

      close(): Promise<void> {
        close();
        return Promise.resolve();
      }
    })();
  }

  private dial(from: SimulatedDaemon, port: number): Connection | undefined {
    const target = [...this.daemons.values()].find((daemon) => daemon.port === port);
    if (
      target === undefined ||
      !target.gate.isOpen ||
      this.isPartitioned(from.options.daemon, target.options.daemon)
    ) {
      return undefined;
    }
    const near = new MemoryConnection(
      () => undefined,
      (run) => {
        from.gate.run(run);
      },
    );
    const far = new MemoryConnection(
      () => undefined,
      (run) => {
        target.gate.run(run);
      },
    );
    connectEnds(near, far);
    from.connections.push(near);
    target.connections.push(far);
    target.acceptConnection(far);
    return near;
  }

  /** Whether the daemon is partitioned from the log. */
  isPartitionedFromLog(daemon: string): boolean {
    return this.isPartitioned(daemon, LOG_NAME);
  }

  private isPartitionedConnection(connection: MemoryConnection): boolean {
    const ends = [...this.daemons.values()].filter(
      (daemon) =>
        daemon.connections.includes(connection) ||
        (connection.other !== undefined && daemon.connections.includes(connection.other)),
    );
    const [left, right] = ends;
    return (
      left !== undefined &&
      right !== undefined &&
      this.isPartitioned(left.options.daemon, right.options.daemon)
    );
  }

  private isPartitioned(left: string, right: string): boolean {
    return this.partitions.some(
      ({ from, to }) =>
        (from.includes(left) && to.includes(right)) || (from.includes(right) && to.includes(left)),
    );
  }

  private listVms(daemon: string): VmListing {
    return this.vmListState === 'down' || this.isPartitioned(daemon, VM_LIST_NAME)
      ? { kind: 'unavailable', detail: 'the VM list is unavailable' }
      : { kind: 'listed', vms: this.visibleVms };
  }

  /** A lagging VM list keeps showing what it showed before. */
  private refreshVmList(): void {
    if (this.vmListState !== 'lagging') {
      this.visibleVms = [...this.vms.values()];
    }
  }

  private random(): number {
    return (this.generator.next() >>> 0) / UINT32;
  }

  private unique(): string {
    this.uniqueCount += 1;
    return `u${this.uniqueCount}`;
  }
}
