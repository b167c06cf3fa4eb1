/** The services of a daemon, each of which starts the tasks that it owns. */

import { ask } from '@bamboowell/kernel/ask';
import { Service, type Directory, type ServiceKey } from '@bamboowell/kernel/service';
import { SupervisedTask, type Watcher } from '@bamboowell/kernel/supervisor';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { Backend } from '@bamboowell/front/backend';
import { DebugLog, type EventLog } from '@bamboowell/logger/logger';
import type { MembersEvent } from '@bamboowell/membership/members-messages';
import { MemoryCounters, StatsdCounters, type Counters } from '@bamboowell/metrics/counters';
import type { Deadline } from '@bamboowell/types/time';
import { wrapMessages } from './adapter.js';
import type { CellEvent, CellMessage } from './cell-messages.js';
import { serveCellSnapshot } from './cell-handover.js';
import { CellTask } from './cell-task.js';
import type { Environment } from './environment.js';
import { Forwarder } from './forwarder.js';
import {
  CELL,
  COUNTERS,
  EVENTS,
  LINKS,
  LOG,
  MEMBERS,
  REPORTER,
  ROUTER,
  ROUTING,
  SHARDS,
  VM_LIST,
} from './keys.js';
import { LocalShards } from './local-shards.js';
import { ReporterTask, type ReporterMessage } from './reporter-task.js';
import { RouterBackend } from './router-backend.js';
import { RoutingTask, type RoutingMessage } from './routing-task.js';
import type { ShardsMessage } from './shard-messages.js';
import { ShardsTask } from './shards-task.js';
import { WorkersListTask, type WorkersListMessage } from './workers-list-task.js';

/** Logs and counts restarts of supervised tasks. Logs tasks that are no longer restarted. */
export function supervisionWatcher(directory: Directory): Watcher {
  const events = directory.find(EVENTS);
  const counters = directory.find(COUNTERS);
  return {
    restarted: (task, error) => {
      events.event('task.restarted', { task, error: describe(error) });
      counters.increment('task.restarted');
    },
    gaveUp: (task, error) => {
      events.event('task.gave_up', { task, error: describe(error) });
    },
  };
}

function describe(error: unknown): string {
  return error instanceof Error ? (error.stack ?? error.message) : String(error);
}

export class EventsService extends Service<EventLog> {
  readonly key = EVENTS;
  readonly dependencies: readonly ServiceKey<unknown>[] = [];

  constructor(private readonly member: string) {
    super();
  }

  start(): Promise<EventLog> {
    return Promise.resolve(new DebugLog(this.member));
  }

  stop(): Promise<void> {
    return Promise.resolve();
  }
}

export class CountersService extends Service<Counters> {
  readonly key = COUNTERS;
  readonly dependencies = [EVENTS];
  private counters: Counters | undefined;

  constructor(private readonly environment: Environment) {
    super();
  }

  start(directory: Directory): Promise<Counters> {
    const { metrics } = this.environment.settings;
    const events = directory.find(EVENTS);
    this.counters =
      metrics === null
        ? new MemoryCounters()
        : new StatsdCounters(metrics, (error) => {
            events.event('metrics.unsent', { error: error.message });
          });
    return Promise.resolve(this.counters);
  }

  async stop(): Promise<void> {
    await this.counters?.close();
  }
}

export class ReporterService extends Service<MailboxAddress<ReporterMessage>> {
  readonly key = REPORTER;
  readonly dependencies = [EVENTS, COUNTERS];
  private task: SupervisedTask<ReporterMessage> | undefined;

  constructor(private readonly environment: Environment) {
    super();
  }

  async start(directory: Directory): Promise<MailboxAddress<ReporterMessage>> {
    const { clock } = this.environment;
    this.task = new SupervisedTask<ReporterMessage>(
      () => new ReporterTask(clock),
      clock,
      supervisionWatcher(directory),
      ({ kind }) => kind === 'attach' || kind === 'route',
    );
    await this.task.start();
    return this.task;
  }

  async stop(): Promise<void> {
    await this.task?.stop();
  }
}

export class CellService extends Service<MailboxAddress<CellMessage>> {
  readonly key = CELL;
  readonly dependencies = [EVENTS, COUNTERS, LOG, REPORTER, MEMBERS];
  private task: SupervisedTask<CellMessage> | undefined;

  constructor(private readonly environment: Environment) {
    super();
  }

  async start(directory: Directory): Promise<MailboxAddress<CellMessage>> {
    const watcher = supervisionWatcher(directory);
    const parts = {
      environment: this.environment,
      log: directory.find(LOG),
      events: directory.find(EVENTS),
      reporter: directory.find(REPORTER),
      members: directory.find(MEMBERS),
      watcher,
    };
    const task = new SupervisedTask<CellMessage>(
      () => new CellTask(parts),
      this.environment.clock,
      watcher,
      ({ kind }) => kind === 'subscribe',
    );
    this.task = task;
    await task.start();
    directory.find(MEMBERS).post({
      kind: 'subscribe',
      subscriber: wrapMessages<MembersEvent, CellMessage>(task, (event) => ({
        kind: 'members',
        event,
      })),
    });
    serveCellSnapshot(directory.find(MEMBERS), task, this.environment.clock);
    return task;
  }

  async stop(): Promise<void> {
    await this.task?.stop();
  }
}

export class ShardsService extends Service<MailboxAddress<ShardsMessage>> {
  readonly key = SHARDS;
  readonly dependencies = [EVENTS, COUNTERS, LOG, VM_LIST, LINKS, REPORTER, MEMBERS, CELL];
  private task: SupervisedTask<ShardsMessage> | undefined;
  private list: SupervisedTask<WorkersListMessage> | undefined;

  constructor(private readonly environment: Environment) {
    super();
  }

  async start(directory: Directory): Promise<MailboxAddress<ShardsMessage>> {
    const { clock, settings } = this.environment;
    const watcher = supervisionWatcher(directory);
    const parts = {
      environment: this.environment,
      log: directory.find(LOG),
      events: directory.find(EVENTS),
      counters: directory.find(COUNTERS),
      reporter: directory.find(REPORTER),
      cell: directory.find(CELL),
      links: directory.find(LINKS),
      watcher,
    };
    const task = new SupervisedTask<ShardsMessage>(() => new ShardsTask(parts), clock, watcher);
    this.task = task;
    await task.start();
    subscribe(directory, task);
    const vms = directory.find(VM_LIST);
    const { refreshMillis } = settings.vmList;
    const list = new SupervisedTask<WorkersListMessage>(
      () => new WorkersListTask(vms, refreshMillis, task, clock),
      clock,
      watcher,
    );
    this.list = list;
    await list.start();
    return task;
  }

  async stop(deadline: Deadline): Promise<void> {
    const { task } = this;
    if (task !== undefined) {
      await ask<ShardsMessage, null>(
        task,
        (reply) => ({ kind: 'drain', reply }),
        deadline,
        this.environment.clock,
      );
      await this.list?.stop();
      await task.stop();
    }
  }
}

function subscribe(directory: Directory, task: MailboxAddress<ShardsMessage>): void {
  directory.find(CELL).post({
    kind: 'subscribe',
    subscriber: wrapMessages<CellEvent, ShardsMessage>(task, (event) => ({ kind: 'cell', event })),
  });
  directory.find(MEMBERS).post({
    kind: 'subscribe',
    subscriber: wrapMessages<MembersEvent, ShardsMessage>(task, (event) => ({
      kind: 'members',
      event,
    })),
  });
}

export class RoutingService extends Service<MailboxAddress<RoutingMessage>> {
  readonly key = ROUTING;
  readonly dependencies = [EVENTS, COUNTERS, REPORTER, MEMBERS, CELL];
  private task: SupervisedTask<RoutingMessage> | undefined;

  constructor(private readonly environment: Environment) {
    super();
  }

  async start(directory: Directory): Promise<MailboxAddress<RoutingMessage>> {
    const { clock, settings } = this.environment;
    const task = new SupervisedTask<RoutingMessage>(
      () => new RoutingTask(clock),
      clock,
      supervisionWatcher(directory),
    );
    this.task = task;
    await task.start();
    directory.find(CELL).post({
      kind: 'subscribe',
      subscriber: wrapMessages<CellEvent, RoutingMessage>(task, (event) => ({
        kind: 'cell',
        event,
      })),
    });
    directory.find(MEMBERS).post({
      kind: 'subscribe',
      subscriber: wrapMessages<MembersEvent, RoutingMessage>(task, (event) => ({
        kind: 'members',
        event,
      })),
    });
    directory.find(REPORTER).post({ kind: 'route', routing: task, self: settings.memberId });
    return task;
  }

  async stop(): Promise<void> {
    await this.task?.stop();
  }
}

/** Exclusive upper bound of the seeds for the router's random choices. */
const SEED_LIMIT = 2 ** 31;

export class RouterService extends Service<Backend> {
  readonly key = ROUTER;
  readonly dependencies = [COUNTERS, MEMBERS, CELL, SHARDS, ROUTING];

  constructor(private readonly environment: Environment) {
    super();
  }

  start(directory: Directory): Promise<Backend> {
    const { settings, clock, random, unique } = this.environment;
    const { memberId: self, region, operators } = settings;
    const shards = directory.find(SHARDS);
    const counters = directory.find(COUNTERS);
    const forwarder = new Forwarder({
      self,
      clock,
      random,
      counters,
      members: directory.find(MEMBERS),
      routing: directory.find(ROUTING),
      local: new LocalShards(shards, clock),
    });
    const backend = new RouterBackend({
      self,
      region,
      operators,
      clock,
      counters,
      cell: directory.find(CELL),
      forwarder,
      watch: { shards, forwarder, clock },
      unique,
      seed: Math.floor(random() * SEED_LIMIT),
    });
    return Promise.resolve(backend);
  }

  stop(): Promise<void> {
    return Promise.resolve();
  }
}
