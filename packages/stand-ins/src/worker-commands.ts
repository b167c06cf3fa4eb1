/**
 * Carries out an owner's commands on the worker stand-in, and reports to the owner. Runs inside the
 * worker's task.
 */

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

const HEARTBEAT_INTERVAL_MILLIS = 1000;

/** Runs a callback inside the worker's task once the deadline has passed. */
export type Schedule = (deadline: Deadline, run: () => void) => void;

export class WorkerCommands {
  private readonly incarnation = brandAs<Incarnation>(randomUUID());
  private readonly state: WorkerState;
  private readonly usage = new UsageReports();
  /** The connection that attached last. Outcomes and heartbeats are sent to it. */
  private owner: WorkerConnection | undefined;

  constructor(
    private readonly profile: WorkerProfile,
    private readonly clock: WorkerClock,
    private readonly switches: Switches,
    private readonly schedule: Schedule,
  ) {
    this.state = new WorkerState(profile.capacity, clock, switches);
  }

  /** Schedules the next heartbeat, which schedules the one after it. */
  scheduleHeartbeat(): void {
    this.schedule(this.after(HEARTBEAT_INTERVAL_MILLIS), () => {
      this.heartbeat();
      this.scheduleHeartbeat();
    });
  }

  /**
   * Returns whether commands of the epoch are accepted. If not, the connection is notified that it
   * is fenced.
   */
  admit(connection: WorkerConnection, epoch: Epoch): boolean {
    const isAdmitted = this.state.admit(epoch);
    if (!isAdmitted) {
      connection.notify('fenced', { epoch: this.state.epoch });
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
    const { running, ended } = this.state.runs;
    return [
      ...[...running.values()].map(({ attempt, demand }) => ({
        attempt,
        demand,
        state: { kind: 'running' },
      })),
      ...[...ended.values()].map(({ attempt, demand, outcome }) => ({
        attempt,
        demand,
        state: { kind: 'ended', outcome: withDigest(outcome, this.consumeCut()) },
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
    this.state.renew(leaseUntil);
  }

  stop(attempt: AttemptId, wantsCheckpoint: boolean): void {
    this.reportEnded(this.state.stop(attempt, wantsCheckpoint));
  }

  throttle(attempt: AttemptId): void {
    this.state.throttle(attempt);
  }

  forget(attempts: readonly AttemptId[]): void {
    this.state.runs.forget(attempts);
  }

  private startAttempt(connection: WorkerConnection, start: Start): void {
    const { attempt } = start;
    const result = this.state.start(start);
    const omitsReports = this.switches.dropStartReports;
    match(result)
      .with({ kind: 'refused' }, ({ why }) => {
        if (!omitsReports) {
          connection.notify('start_refused', { attempt, why });
        }
      })
      .with({ kind: 'repeated' }, () => undefined)
      .with({ kind: 'started' }, ({ running }) => {
        if (!omitsReports) {
          connection.notify('started', { attempt });
        }
        this.scheduleEnd(attempt, running.leaseUntil, running.program.millis ?? 0);
      })
      .exhaustive();
  }

  private scheduleEnd(attempt: AttemptId, leaseUntil: Deadline, millis: number): void {
    const runFor = this.switches.failEverything ? 0 : millis;
    this.schedule(this.after(runFor), () => {
      this.reportEnded(this.state.finish(attempt));
    });
    this.checkLeaseAt(attempt, leaseUntil);
  }

  private checkLeaseAt(attempt: AttemptId, deadline: Deadline): void {
    this.schedule(deadline, () => {
      match(this.state.checkLease(attempt))
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
      this.owner?.notify('ended', { attempt, outcome: withDigest(outcome, this.consumeCut()) });
    }
  }

  /** @throws if no outcome of the attempt is kept. */
  reportAgain(attempt: AttemptId): object {
    const ended = this.state.runs.ended.get(attempt);
    if (ended === undefined) {
      throw new Error('no outcome of this attempt is kept');
    }
    return withDigest(ended.outcome, this.consumeCut());
  }

  private consumeCut(): boolean {
    const isCut = this.switches.cutAnswers > 0;
    this.switches.cutAnswers -= isCut ? 1 : 0;
    return isCut;
  }

  private heartbeat(): void {
    const attempts = this.usage.next(this.state.runs.running.values());
    this.owner?.notify('usage', {
      workerNow: this.clock.now(),
      ...(attempts.length > 0 ? { attempts } : {}),
      ...(this.switches.leaving ? { leaving: true } : {}),
    });
  }

  /** State and runs of this incarnation, for tests. */
  inspect(): object {
    return {
      incarnation: this.incarnation,
      workerNow: this.clock.now(),
      epoch: this.state.epoch,
      capacity: this.profile.capacity,
      runs: this.state.runs.runs,
    };
  }

  private after(millis: number): Deadline {
    return deadlineAfter(this.clock.local.now(), millis);
  }
}
