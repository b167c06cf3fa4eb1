/** The task of the worker stand-in. It owns the listener, the connections and the attempts. */

import type { Clock } from '@bamboowell/kernel/clock';
import { Task } from '@bamboowell/kernel/task';
import { deadlineAfter } from '@bamboowell/types/time';
import type { Address } from '@bamboowell/types/vm';
import type { WorkerProfile } from '@bamboowell/types/work';
import { Listener } from '@bamboowell/wire/listener';
import { WorkerClock } from './worker-clock.js';
import { WorkerConnection } from './worker-connection.js';
import { WorkerCommands } from './worker-commands.js';
import { registerHandlers, type QueuedAction } from './worker-handlers.js';
import { NO_FAULTS, type SwitchChange } from './worker-protocol.js';

const CLOSE_TIMEOUT_MILLIS = 1000;

export interface WorkerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly profile: WorkerProfile;
  readonly clock: Clock;
}

export class WorkerServer extends Task<QueuedAction> {
  private readonly switches = { ...NO_FAULTS };
  private readonly commands: WorkerCommands;
  private readonly listener: Listener<WorkerConnection>;
  private readonly connections = new Set<WorkerConnection>();
  /** Connections of tests, which the faults do not affect. */
  private readonly testConnections = new Set<WorkerConnection>();
  /** Actions that wait until the worker is no longer frozen. */
  private heldActions: QueuedAction[] = [];

  constructor({ clock, host, port, profile }: WorkerServerOptions) {
    super(`worker ${profile.id}`, clock);
    this.commands = new WorkerCommands(
      profile,
      new WorkerClock(clock),
      this.switches,
      (at, run) => {
        this.postAt(at, { isControl: false, run });
      },
    );
    this.listener = new Listener<WorkerConnection>({
      host,
      port,
      clock,
      make: (socket) => new WorkerConnection(socket, { clock }),
      accept: (connection) => {
        this.accept(connection);
      },
    });
  }

  /** Starts the task and returns the address that it listens on. */
  async listen(): Promise<Address> {
    await this.start();
    this.commands.scheduleHeartbeat();
    return this.listener.listen();
  }

  protected receive(action: QueuedAction): void {
    if (this.switches.frozen && !action.isControl) {
      this.heldActions.push(action);
    } else {
      action.run();
    }
  }

  protected override onStop(): Promise<void> {
    return this.listener.close(deadlineAfter(this.clock.now(), CLOSE_TIMEOUT_MILLIS));
  }

  private accept(connection: WorkerConnection): void {
    this.connections.add(connection);
    void connection.ended.then(() => {
      this.connections.delete(connection);
      this.testConnections.delete(connection);
    });
    if (this.switches.frozen) {
      connection.holdWrites();
    }
    registerHandlers(connection, this, this.commands, {
      switch: (change) => {
        this.markTestConnection(connection);
        return this.switch(change);
      },
      inspect: () => {
        this.markTestConnection(connection);
        return this.commands.inspect();
      },
    });
  }

  private markTestConnection(connection: WorkerConnection): void {
    this.testConnections.add(connection);
    connection.resumeTraffic();
  }

  private switch(change: SwitchChange): object {
    Object.assign(this.switches, change);
    for (const connection of this.connections) {
      this.applySilence(connection);
    }
    if (!this.switches.frozen) {
      const held = this.heldActions;
      this.heldActions = [];
      held.forEach((action) => this.post(action));
    }
    return this.switches;
  }

  private applySilence(connection: WorkerConnection): void {
    const isQuiet = this.switches.silent || this.switches.frozen;
    if (isQuiet && !this.testConnections.has(connection)) {
      connection.suspendTraffic();
    } else {
      connection.resumeTraffic();
    }
  }
}
