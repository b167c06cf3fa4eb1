/** The worker stand-in as a task: owns the listener, its connections and what runs. */

import { randomUUID } from 'node:crypto';
import { P, match } from 'ts-pattern';
import type { z } from 'zod';
import type { Clock } from '@bamboowell/kernel/clock';
import { Task } from '@bamboowell/kernel/task';
import { brandAs, type AttemptId, type Epoch, type Incarnation } from '@bamboowell/types/ids';
import { deadlineAfter, type Deadline } from '@bamboowell/types/time';
import type { Address } from '@bamboowell/types/vm';
import type { WorkerProfile } from '@bamboowell/types/work';
import { Listener } from '@bamboowell/wire/listener';
import { WorkerClock } from './worker-clock.js';
import { WorkerConnection } from './worker-connection.js';
import { WorkerMachine } from './worker-machine.js';
import {
  ATTACH,
  FORGET,
  NO_FAULTS,
  RENEW,
  REPORT_AGAIN,
  START,
  STOP,
  SWITCHES,
  THROTTLE,
  type Start,
} from './worker-protocol.js';
import { UsageReports, signed } from './worker-reports.js';
import type { EndedAttempt } from './worker-runs.js';

const HEARTBEAT_MILLIS = 1000;
const CLOSE_MILLIS = 1000;

/** Something to do in a turn of the task. A control turn is taken even while it is frozen. */
interface Turn {
  readonly isControl: boolean;
  readonly run: () => void;
}

export interface WorkerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly profile: WorkerProfile;
  readonly clock: Clock;
}

export class WorkerServer extends Task<Turn> {
  private readonly incarnation = brandAs<Incarnation>(randomUUID());
  private readonly switches = { ...NO_FAULTS };
  private readonly workerClock: WorkerClock;
  private readonly machine: WorkerMachine;
  private readonly usage = new UsageReports();
  private readonly listener: Listener<WorkerConnection>;
  private readonly connections = new Set<WorkerConnection>();
  private readonly controls = new Set<WorkerConnection>();
  private held: Turn[] = [];
  /** Gets outcomes and heartbeats: the connection that attached last. */
  private owner: WorkerConnection | undefined;

  constructor(private readonly options: WorkerServerOptions) {
    super(`worker ${options.profile.id}`, options.clock);
    const { clock, host, port, profile } = options;
    this.workerClock = new WorkerClock(clock);
    this.machine = new WorkerMachine(profile.capacity, this.workerClock, this.switches);
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

  /** Starts the task and answers where it listens. */
  async listen(): Promise<Address> {
    await this.start();
    this.turnAt(deadlineAfter(this.clock.now(), HEARTBEAT_MILLIS), () => {
      this.heartbeat();
    });
    return this.listener.listen();
  }

  protected receive(turn: Turn): void {
    if (this.switches.frozen && !turn.isControl) {
      this.held.push(turn);
    } else {
      turn.run();
    }
  }

  protected override closed(): Promise<void> {
    return this.listener.close(deadlineAfter(this.clock.now(), CLOSE_MILLIS));
  }

  private accept(connection: WorkerConnection): void {
    this.connections.add(connection);
    void connection.ended.then(() => {
      this.connections.delete(connection);
      this.controls.delete(connection);
    });
    this.on(connection, 'attach', ATTACH, ({ epoch }) => {
      this.attach(connection, epoch);
    });
    this.on(connection, 'start', START, (start) => {
      this.startAfterDelay(connection, start);
    });
    this.onFenced(connection, 'renew', RENEW, ({ leaseUntil }) => {
      this.machine.renew(leaseUntil);
    });
    this.onFenced(connection, 'stop', STOP, ({ attempt, checkpoint }) => {
      this.reportEnded(this.machine.stop(attempt, checkpoint));
    });
    this.onFenced(connection, 'throttle', THROTTLE, ({ attempt }) => {
      this.machine.throttle(attempt);
    });
    this.onFenced(connection, 'forget', FORGET, ({ attempts }) => {
      this.machine.runs.forget(attempts);
    });
    this.onRequest(connection, 'report_again', REPORT_AGAIN, false, ({ attempt }) =>
      this.reportAgain(attempt),
    );
    this.onRequest(connection, 'switches', SWITCHES, true, (switches) => {
      this.controls.add(connection);
      this.switch(switches);
      return this.switches;
    });
    connection.handle('runs', () => {
      this.controls.add(connection);
      return this.inspect();
    });
  }

  /** Handles a notification. One that is malformed is dropped. */
  private on<Schema extends z.ZodType>(
    connection: WorkerConnection,
    method: string,
    schema: Schema,
    run: (params: z.output<Schema>) => void,
  ): void {
    connection.handle(method, (params) => {
      const parsed = schema.safeParse(params);
      if (parsed.success) {
        this.turn(() => {
          run(parsed.data);
        });
      }
    });
  }

  /** Handles a notification that carries an epoch, unless the epoch is too low. */
  private onFenced<Schema extends z.ZodType<{ epoch: Epoch }>>(
    connection: WorkerConnection,
    method: string,
    schema: Schema,
    run: (params: z.output<Schema>) => void,
  ): void {
    this.on(connection, method, schema, (params) => {
      if (this.machine.admit(params.epoch)) {
        run(params);
      } else {
        connection.notify('fenced', { epoch: this.machine.epoch });
      }
    });
  }

  private onRequest<Schema extends z.ZodType>(
    connection: WorkerConnection,
    method: string,
    schema: Schema,
    isControl: boolean,
    answer: (params: z.output<Schema>) => unknown,
  ): void {
    connection.handle(method, (params) => {
      const parsed = schema.parse(params);
      return new Promise((resolve, reject) => {
        const run = (): void => {
          try {
            resolve(answer(parsed));
          } catch (error) {
            reject(error instanceof Error ? error : new Error(String(error)));
          }
        };
        this.post({ isControl, run });
      });
    });
  }

  private turn(run: () => void): void {
    this.post({ isControl: false, run });
  }

  private turnAt(deadline: Deadline, run: () => void): void {
    this.postAt(deadline, { isControl: false, run });
  }

  private attach(connection: WorkerConnection, epoch: Epoch): void {
    if (!this.machine.admit(epoch)) {
      connection.notify('fenced', { epoch: this.machine.epoch });
      return;
    }
    this.owner = connection;
    this.usage.reset();
    connection.notify('attached', {
      incarnation: this.incarnation,
      epoch,
      profile: this.options.profile,
      workerNow: this.workerClock.now(),
      attempts: this.attemptReports(),
      leaving: this.switches.leaving,
    });
  }

  private attemptReports(): object[] {
    const { running, ended } = this.machine.runs;
    return [
      ...[...running.values()].map(({ attempt, demand }) => ({
        attempt,
        demand,
        state: { kind: 'running' },
      })),
      ...[...ended.values()].map(({ attempt, demand, outcome }) => ({
        attempt,
        demand,
        state: { kind: 'ended', outcome: signed(outcome, this.takeCut()) },
      })),
    ];
  }

  private startAfterDelay(connection: WorkerConnection, start: Start): void {
    const { slowStartMillis } = this.switches;
    if (slowStartMillis === 0) {
      this.startAttempt(connection, start);
      return;
    }
    this.turnAt(deadlineAfter(this.clock.now(), slowStartMillis), () => {
      this.startAttempt(connection, start);
    });
  }

  private startAttempt(connection: WorkerConnection, start: Start): void {
    const { attempt } = start;
    const result = this.machine.start(start);
    const isSilent = this.switches.dropStartReports;
    match(result)
      .with({ kind: 'refused' }, ({ why }) => {
        if (!isSilent) {
          connection.notify('start_refused', { attempt, why });
        }
      })
      .with({ kind: 'repeated' }, () => undefined)
      .with({ kind: 'started' }, ({ running }) => {
        if (!isSilent) {
          connection.notify('started', { attempt });
        }
        this.watch(attempt, running.leaseUntil, running.program.millis ?? 0);
      })
      .exhaustive();
  }

  private watch(attempt: AttemptId, leaseUntil: Deadline, millis: number): void {
    const runFor = this.switches.failEverything ? 0 : millis;
    this.turnAt(deadlineAfter(this.clock.now(), runFor), () => {
      this.reportEnded(this.machine.finish(attempt));
    });
    this.checkLeaseAt(attempt, leaseUntil);
  }

  private checkLeaseAt(attempt: AttemptId, deadline: Deadline): void {
    this.turnAt(deadline, () => {
      match(this.machine.checkLease(attempt))
        .with(undefined, () => undefined)
        .with(P.number, (later) => {
          this.checkLeaseAt(attempt, later);
        })
        .otherwise((ended) => {
          this.reportEnded(ended);
        });
    });
  }

  private reportEnded(ended: EndedAttempt | undefined): void {
    if (ended !== undefined) {
      const { attempt, outcome } = ended;
      this.owner?.notify('ended', { attempt, outcome: signed(outcome, this.takeCut()) });
    }
  }

  private reportAgain(attempt: AttemptId): object {
    const ended = this.machine.runs.ended.get(attempt);
    if (ended === undefined) {
      throw new Error('no outcome of this attempt is kept');
    }
    return signed(ended.outcome, this.takeCut());
  }

  private takeCut(): boolean {
    const isCut = this.switches.cutAnswers > 0;
    this.switches.cutAnswers -= isCut ? 1 : 0;
    return isCut;
  }

  private heartbeat(): void {
    const attempts = this.usage.next(this.machine.runs.running.values());
    this.owner?.notify('usage', {
      workerNow: this.workerClock.now(),
      ...(attempts.length > 0 ? { attempts } : {}),
      ...(this.switches.leaving ? { leaving: true } : {}),
    });
    this.turnAt(deadlineAfter(this.clock.now(), HEARTBEAT_MILLIS), () => {
      this.heartbeat();
    });
  }

  private switch(switches: z.output<typeof SWITCHES>): void {
    Object.assign(this.switches, switches);
    for (const connection of this.connections) {
      this.applySilence(connection);
    }
    if (!this.switches.frozen) {
      const held = this.held;
      this.held = [];
      held.forEach((turn) => this.post(turn));
    }
  }

  private applySilence(connection: WorkerConnection): void {
    const isQuiet = this.switches.silent || this.switches.frozen;
    if (isQuiet && !this.controls.has(connection)) {
      connection.silence();
    } else {
      connection.wake();
    }
  }

  private inspect(): object {
    return {
      incarnation: this.incarnation,
      workerNow: this.workerClock.now(),
      epoch: this.machine.epoch,
      capacity: this.options.profile.capacity,
      runs: this.machine.runs.runs,
    };
  }
}
