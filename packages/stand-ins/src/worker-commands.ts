/** What the worker stand-in does for its owner. Runs in the turns of the worker's task. */

import { randomUUID } from 'node:crypto';
import { P, match } from 'ts-pattern';
import { brandAs, type AttemptId, type Epoch, type Incarnation } from '@bamboowell/types/ids';
import { deadlineAfter, type Deadline, type WorkerInstant } from '@bamboowell/types/time';
import type { WorkerProfile } from '@bamboowell/types/work';
import type { WorkerClock } from './worker-clock.js';
import type { WorkerConnection } from './worker-connection.js';
import { WorkerState } from './worker-state.js';
import type { Start, Switches } from './worker-protocol.js';
import { UsageReports, withDigest } from './worker-reports.js';
import type { EndedAttempt } from './worker-runs.js';

const HEARTBEAT_MILLIS = 1000;

/** Runs something in a turn of the task once the deadline has passed. */
export type Schedule = (deadline: Deadline, run: () => void) => void;

export class WorkerCommands {
  private readonly incarnation = brandAs<Incarnation>(randomUUID());
  private readonly machine: WorkerState;
  private readonly usage = new UsageReports();
  /** Gets outcomes and heartbeats: the connection that attached last. */
  private owner: WorkerConnection | undefined;

  constructor(
    private readonly profile: WorkerProfile,
    private readonly clock: WorkerClock,
    private readonly switches: Switches,
    private readonly schedule: Schedule,
  ) {
    this.machine = new WorkerState(profile.capacity, clock, switches);
  }

  /** Sends the first heartbeat when it is due, and the next ones after it. */
  scheduleHeartbeat(): void {
    this.schedule(this.after(HEARTBEAT_MILLIS), () => {
      this.heartbeat();
      this.scheduleHeartbeat();
    });
  }

  /** Whether the epoch may command; if not, the connection is told so. */
  admit(connection: WorkerConnection, epoch: Epoch): boolean {
    const isAdmitted = this.machine.admit(epoch);
    if (!isAdmitted) {
      connection.notify('fenced', { epoch: this.machine.epoch });
    }
    return isAdmitted;
  }

  attach(connection: WorkerConnection, epoch: Epoch): void {
    this.owner = connection;
    this.usage.reset();
    connection.notify('attached', {
      incarnation: this.incarnation,
      epoch,
      profile: this.profile,
      workerNow: this.clock.now(),
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
        state: { kind: 'ended', outcome: withDigest(outcome, this.takeCut()) },
      })),
    ];
  }

  start(connection: WorkerConnection, start: Start): void {
    const { slowStartMillis } = this.switches;
    if (slowStartMillis === 0) {
      this.startAttempt(connection, start);
      return;
    }
    this.schedule(this.after(slowStartMillis), () => {
      this.startAttempt(connection, start);
    });
  }

  renew(leaseUntil: WorkerInstant): void {
    this.machine.renew(leaseUntil);
  }

  stop(attempt: AttemptId, wantsCheckpoint: boolean): void {
    this.reportEnded(this.machine.stop(attempt, wantsCheckpoint));
  }

  throttle(attempt: AttemptId): void {
    this.machine.throttle(attempt);
  }

  forget(attempts: readonly AttemptId[]): void {
    this.machine.runs.forget(attempts);
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
    this.schedule(this.after(runFor), () => {
      this.reportEnded(this.machine.finish(attempt));
    });
    this.checkLeaseAt(attempt, leaseUntil);
  }

  private checkLeaseAt(attempt: AttemptId, deadline: Deadline): void {
    this.schedule(deadline, () => {
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
      this.owner?.notify('ended', { attempt, outcome: withDigest(outcome, this.takeCut()) });
    }
  }

  /** @throws if no outcome of the attempt is kept. */
  reportAgain(attempt: AttemptId): object {
    const ended = this.machine.runs.ended.get(attempt);
    if (ended === undefined) {
      throw new Error('no outcome of this attempt is kept');
    }
    return withDigest(ended.outcome, this.takeCut());
  }

  private takeCut(): boolean {
    const isCut = this.switches.cutAnswers > 0;
    this.switches.cutAnswers -= isCut ? 1 : 0;
    return isCut;
  }

  private heartbeat(): void {
    const attempts = this.usage.next(this.machine.runs.running.values());
    this.owner?.notify('usage', {
      workerNow: this.clock.now(),
      ...(attempts.length > 0 ? { attempts } : {}),
      ...(this.switches.leaving ? { leaving: true } : {}),
    });
  }

  /** What ran here, for tests. */
  inspect(): object {
    return {
      incarnation: this.incarnation,
      workerNow: this.clock.now(),
      epoch: this.machine.epoch,
      capacity: this.profile.capacity,
      runs: this.machine.runs.runs,
    };
  }

  private after(millis: number): Deadline {
    return deadlineAfter(this.clock.local.now(), millis);
  }
}
