/** A cell within one process on a manual clock: daemons, workers, the log, the VM list. */

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

/** Step of time unless the trace sets another, milliseconds. */
const STEP_MILLIS = 20;
/** Names that stand for the log and the VM list in a cut. */
const LOG_NAME = 'log';
const LIST_NAME = 'list';
/** Turns of the event loop in which all messages of a step are delivered. */
const TURNS_A_STEP = 6;
/** A connection on which nothing comes for this long is ended, milliseconds. */
const SILENCE_MILLIS = 5_000;
const WORKER_PORT = 10_000;
const UINT32 = 2 ** 32;

/** Where the daemons' reports go. */
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
  readonly plan: LinkOptions;
}

type ListState = 'up' | 'down' | 'lagging';

export class SimulatedCell {
  readonly clock = new ManualClock();
  readonly log = new MemoryLog(this.clock);
  readonly daemons = new Map<string, SimulatedDaemon>();
  readonly workers = new Map<string, SimulatedWorker>();
  private readonly regions = new Map<string, string>();
  private readonly listed = new Map<string, Vm>();
  private shown: readonly Vm[] = [];
  private list: ListState = 'up';
  private links: OpenLink[] = [];
  /** Workers to which new links fall silent as well. */
  private readonly mutedWorkers = new Set<string>();
  private cuts: { readonly from: readonly string[]; readonly to: readonly string[] }[] = [];
  private readonly generator;
  private uniques = 0;
  private stepMillis = STEP_MILLIS;

  constructor(
    private readonly watcher: CellObserver,
    seed: number,
  ) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Lets time pass until `millis` since the start, with all messages delivered in between. */
  async advanceTo(millis: number): Promise<void> {
    while (this.clock.now() < millis) {
      this.clock.advance(Math.min(this.stepMillis, millis - this.clock.now()));
      await this.deliverMessages();
    }
  }

  /** Sets the step of time in which messages are delivered. */
  setTimeStep(millis: number): void {
    this.stepMillis = millis;
  }

  async deliverMessages(): Promise<void> {
    for (let count = 0; count < TURNS_A_STEP; count += 1) {
      await turn();
    }
  }

  async addDaemon(plan: DaemonOptions): Promise<void> {
    const port = this.daemons.get(plan.daemon)?.port ?? this.daemons.size + 1;
    const daemon = new SimulatedDaemon(plan, port, {
      clock: this.clock,
      log: this.log,
      listVms: (name) => this.showVms(name),
      isCutFromLog: (name) => this.isCutFromLog(name),
      random: () => this.random(),
      unique: () => this.unique(),
      dial: (from, target) => this.dial(from, target),
      link: (from, linkPlan) => this.link(from, linkPlan),
      eventLogged: (name, event, fields) => {
        this.watcher.eventLogged(name, event, fields);
      },
      cellChanged: (name, event) => {
        this.watcher.cellChanged(name, event);
      },
    });
    this.daemons.set(plan.daemon, daemon);
    this.regions.set(plan.dataCentre, plan.region);
    this.listed.set(plan.daemon, {
      role: 'entry',
      member: brandAs<MemberId>(plan.daemon),
      region: brandAs<RegionId>(plan.region),
      dataCentre: brandAs<DataCentreId>(plan.dataCentre),
      address: { host: '127.0.0.1', port },
      state: 'live',
    });
    this.refreshList();
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
      new SimulatedWorker(profile, this.clock, this.watcher.runObserverOf(worker)),
    );
    this.listed.set(worker, {
      role: 'worker',
      worker: profile.id,
      region: brandAs<RegionId>(this.regions.get(dataCentre) ?? 'unknown'),
      dataCentre: profile.dataCentre,
      rack: profile.rack,
      address: { host: '127.0.0.1', port },
      state: 'live',
    });
    this.refreshList();
  }

  setVmListState(state: ListState): void {
    this.list = state;
    this.refreshList();
  }

  markVmLeaving(id: string): void {
    const vm = this.listed.get(id);
    if (vm !== undefined) {
      this.listed.set(id, { ...vm, state: 'leaving' });
      this.refreshList();
    }
  }

  /** The list shows the VM no more. */
  removeVmFromList(id: string): void {
    this.listed.delete(id);
    this.refreshList();
  }

  /** Ends a daemon at once; its connections end. */
  kill(id: string): void {
    const daemon = this.daemon(id);
    daemon.gate.kill();
    this.closeLinksOf(daemon);
    for (const connection of daemon.connections) {
      connection.close();
    }
  }

  /** Stops a daemon from doing anything; others end their connections to it as silent. */
  pause(id: string): void {
    const daemon = this.daemon(id);
    daemon.gate.pause();
    this.clock.wakeAt(brandAs(this.clock.now() + SILENCE_MILLIS), () => {
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
      throw new Error(`there is no daemon ${id}`);
    }
    return daemon;
  }

  worker(id: string): SimulatedWorker {
    const worker = this.workers.get(id);
    if (worker === undefined) {
      throw new Error(`there is no worker ${id}`);
    }
    return worker;
  }

  /** From now on nothing passes between the two groups, on open connections and new ones. */
  partition(from: readonly string[], to: readonly string[]): void {
    this.cuts.push({ from, to });
    for (const daemon of this.daemons.values()) {
      for (const connection of daemon.connections) {
        connection.silent ||= this.isCutConnection(connection);
      }
    }
    for (const link of this.links) {
      link.silent ||= this.isCut(link.from.options.daemon, link.worker);
    }
    this.endSilentLinksLater();
  }

  /** Ends all cuts; connections that lost messages end, as their pings make them. */
  heal(): void {
    this.cuts = [];
    for (const daemon of this.daemons.values()) {
      for (const connection of daemon.connections.filter(({ silent }) => silent)) {
        connection.close();
      }
    }
    this.dropLinks((link) => link.silent);
  }

  /** `silent`: open links lose everything, new ones work. `cut`: new ones fail as well. */
  setLinkState(worker: string, state: 'silent' | 'cut' | 'up'): void {
    if (state === 'up') {
      this.mutedWorkers.delete(worker);
      this.dropLinks((link) => link.worker === worker && link.silent);
      return;
    }
    if (state === 'cut') {
      this.mutedWorkers.add(worker);
    }
    for (const link of this.links.filter((each) => each.worker === worker)) {
      link.silent = true;
    }
    this.endSilentLinksLater();
  }

  /** Ends the links to a worker, as when its process ends. */
  disconnectWorker(worker: string): void {
    this.dropLinks((link) => link.worker === worker);
  }

  /** Pings make a silent link end. */
  private endSilentLinksLater(): void {
    this.clock.wakeAt(brandAs(this.clock.now() + SILENCE_MILLIS), () => {
      this.dropLinks((link) => link.silent);
    });
  }

  private dropLinks(matches: (link: OpenLink) => boolean): void {
    for (const link of this.links.filter(matches)) {
      link.silent = true;
      this.links = this.links.filter((each) => each !== link);
      this.report(link, { kind: 'detached', worker: brandAs<WorkerId>(link.worker) });
      this.reopen(link);
    }
  }

  /** A link connects again by itself and repeats its attach. */
  private reopen(link: OpenLink): void {
    const retryMillis = 500;
    link.from.gate.run(() => {
      this.clock.wakeAt(brandAs(this.clock.now() + retryMillis), () => {
        link.plan.failed(new Error('the link ended'));
      });
    });
  }

  private closeLinksOf(daemon: SimulatedDaemon): void {
    this.links = this.links.filter((link) => link.from !== daemon);
  }

  private report(link: OpenLink, report: WorkerReport): void {
    link.from.gate.run(() => {
      link.plan.reports.post(report);
    });
  }

  private link(from: SimulatedDaemon, plan: LinkOptions): WorkerLink {
    const worker = plan.worker;
    const link: OpenLink = {
      worker,
      from,
      plan,
      silent: this.mutedWorkers.has(worker) || this.isCut(from.options.daemon, worker),
      report: (report) => {
        this.report(link, report);
      },
    };
    this.links.push(link);
    if (link.silent) {
      this.endSilentLinksLater();
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
      this.isCut(from.options.daemon, target.options.daemon)
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

  /** Whether nothing passes between the daemon and the log. */
  isCutFromLog(daemon: string): boolean {
    return this.isCut(daemon, LOG_NAME);
  }

  private isCutConnection(connection: MemoryConnection): boolean {
    const ends = [...this.daemons.values()].filter(
      (daemon) =>
        daemon.connections.includes(connection) ||
        (connection.other !== undefined && daemon.connections.includes(connection.other)),
    );
    const [left, right] = ends;
    return (
      left !== undefined &&
      right !== undefined &&
      this.isCut(left.options.daemon, right.options.daemon)
    );
  }

  private isCut(left: string, right: string): boolean {
    return this.cuts.some(
      ({ from, to }) =>
        (from.includes(left) && to.includes(right)) || (from.includes(right) && to.includes(left)),
    );
  }

  private showVms(daemon: string): VmListing {
    return this.list === 'down' || this.isCut(daemon, LIST_NAME)
      ? { kind: 'unavailable', detail: 'the list is down' }
      : { kind: 'listed', vms: this.shown };
  }

  /** A lagging list shows what it showed before. */
  private refreshList(): void {
    if (this.list !== 'lagging') {
      this.shown = [...this.listed.values()];
    }
  }

  private random(): number {
    return (this.generator.next() >>> 0) / UINT32;
  }

  private unique(): string {
    this.uniques += 1;
    return `u${this.uniques}`;
  }
}
