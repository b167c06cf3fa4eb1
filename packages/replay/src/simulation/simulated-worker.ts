/** A worker on a manual clock: the stand-in worker's logic with in-process links. */

import { match, P } from 'ts-pattern';
import type { Clock } from '@bamboowell/kernel/clock';
import { WorkerClock } from '@bamboowell/stand-ins/worker-clock';
import { WorkerState } from '@bamboowell/stand-ins/worker-state';
import { NO_FAULTS, type Switches } from '@bamboowell/stand-ins/worker-protocol';
import { UsageReports } from '@bamboowell/stand-ins/worker-reports';
import type { EndedAttempt } from '@bamboowell/stand-ins/worker-runs';
import { brandAs, type AttemptId, type Epoch, type Incarnation } from '@bamboowell/types/ids';
import { deadlineAfter, type Deadline } from '@bamboowell/types/time';
import type { WorkerProfile } from '@bamboowell/types/work';
import type { WorkerCommand, WorkerReport } from '@bamboowell/types/worker-messages';

const HEARTBEAT_INTERVAL_MILLIS = 1000;
/** Delay after which a repeated report arrives for the second time. */
const REPEAT_AFTER_MILLIS = 1_500;

/** Faults that the stand-in worker does not offer. */
interface ReportFaults {
  repeats: boolean;
  ignoresThrottle: boolean;
}

/** Is notified when attempts start and stop. */
export interface RunObserver {
  began(start: Start): void;
  ended(attempt: AttemptId, answer: string | null): void;
}

/** An open link. `report` sends a report to the owner that opened it. */
export interface SimulatedLink {
  readonly report: (report: WorkerReport) => void;
  /** Whether everything sent in either direction is lost. */
  silent: boolean;
}

export type Start = Extract<WorkerCommand, { kind: 'start' }>;

export class SimulatedWorker {
  readonly switches: Switches = { ...NO_FAULTS };
  private state: WorkerState;
  private readonly workerClock: WorkerClock;
  private incarnations = 1;
  private owner: SimulatedLink | undefined;
  private isGone = false;
  private deferred: (() => void)[] | undefined;
  private usage = new UsageReports();
  private readonly faults: ReportFaults = { repeats: false, ignoresThrottle: false };

  constructor(
    readonly profile: WorkerProfile,
    private readonly clock: Clock,
    private readonly observer: RunObserver,
  ) {
    this.workerClock = new WorkerClock(clock);
    this.state = this.newState();
    this.heartbeat();
  }

  /** Handles a command that was sent on the link, unless the link loses it. */
  handle(link: SimulatedLink, command: WorkerCommand): void {
    if (!link.silent) {
      this.runUnlessFrozen(() => {
        this.execute(link, command);
      });
    }
  }

  /** Restarts the worker as a new incarnation; all attempts end without a report. */
  restart(): void {
    this.endAllRuns();
    this.incarnations += 1;
    this.state = this.newState();
    this.owner = undefined;
  }

  /** Removes the VM for good; all attempts end without a report. */
  remove(): void {
    this.endAllRuns();
    this.isGone = true;
    this.owner = undefined;
  }

  /** From now on each report arrives twice: at once, and again later, after newer ones. */
  repeatReports(): void {
    this.faults.repeats = true;
  }

  /** From now on throttling has no effect. */
  ignoreThrottle(): void {
    this.faults.ignoresThrottle = true;
  }

  /** Suspends the worker and its attempts until `resume`. */
  freeze(): void {
    this.deferred ??= [];
  }

  resume(): void {
    const deferred = this.deferred ?? [];
    this.deferred = undefined;
    this.stopLapsedRuns();
    for (const run of deferred) {
      this.runUnlessFrozen(run);
    }
  }

  /** Stops the attempts whose leases have lapsed. A worker does this first when it resumes. */
  private stopLapsedRuns(): void {
    for (const attempt of [...this.state.runs.running.keys()]) {
      const checked = this.state.checkLease(attempt);
      if (typeof checked === 'object') {
        this.reportEnded(checked);
      }
    }
  }

  private runUnlessFrozen(run: () => void): void {
    if (this.isGone) {
      return;
    }
    if (this.deferred === undefined) {
      run();
    } else {
      this.deferred.push(run);
    }
  }

  private newState(): WorkerState {
    return new WorkerState(this.profile.capacity, this.workerClock, this.switches);
  }

  private get incarnation(): Incarnation {
    return brandAs<Incarnation>(`${this.profile.id}-${this.incarnations}`);
  }

  private endAllRuns(): void {
    for (const attempt of this.state.runs.running.keys()) {
      this.observer.ended(attempt, null);
    }
  }

  private execute(link: SimulatedLink, command: WorkerCommand): void {
    if (command.kind !== 'start' && !this.state.admit(command.epoch)) {
      this.send(link, { kind: 'fenced', worker: this.profile.id, epoch: this.state.epoch });
      return;
    }
    match(command)
      .with({ kind: 'attach' }, ({ epoch }) => {
        this.attach(link, epoch);
      })
      .with({ kind: 'start' }, (start) => {
        this.start(link, start);
      })
      .with({ kind: 'renew' }, ({ leaseUntil }) => {
        this.state.renew(leaseUntil);
      })
      .with({ kind: 'stop' }, ({ attempt, checkpoint }) => {
        this.reportEnded(this.state.stop(attempt, checkpoint));
      })
      .with({ kind: 'throttle' }, ({ attempt }) => {
        if (!this.faults.ignoresThrottle) {
          this.state.throttle(attempt);
        }
      })
      .with({ kind: 'forget' }, ({ attempts }) => {
        this.state.runs.forget(attempts);
      })
      .exhaustive();
  }

  private attach(link: SimulatedLink, epoch: Epoch): void {
    this.owner = link;
    this.usage.reset();
    const { running, ended } = this.state.runs;
    this.send(link, {
      kind: 'attached',
      worker: this.profile.id,
      incarnation: this.incarnation,
      epoch,
      profile: this.profile,
      workerNow: this.workerClock.now(),
      leaving: this.switches.leaving,
      attempts: [
        ...[...running.values()].map(({ attempt, demand }) => ({
          attempt,
          demand,
          state: { kind: 'running' as const },
        })),
        ...[...ended.values()].map(({ attempt, demand, outcome }) => ({
          attempt,
          demand,
          state: { kind: 'ended' as const, outcome },
        })),
      ],
    });
  }

  private start(link: SimulatedLink, start: Start): void {
    if (this.switches.slowStartMillis > 0) {
      this.schedule(deadlineAfter(this.clock.now(), this.switches.slowStartMillis), () => {
        this.startNow(link, start);
      });
      return;
    }
    this.startNow(link, start);
  }

  private startNow(link: SimulatedLink, start: Start): void {
    const { attempt } = start;
    const worker = this.profile.id;
    const result = this.state.start(start);
    match(result)
      .with({ kind: 'refused' }, ({ why }) => {
        this.send(link, { kind: 'start_refused', worker, attempt, why });
      })
      .with({ kind: 'repeated' }, () => undefined)
      .with({ kind: 'started' }, ({ running }) => {
        this.observer.began(start);
        this.send(link, { kind: 'started', worker, attempt });
        const millis = this.switches.failEverything ? 0 : (running.program.millis ?? 0);
        this.schedule(deadlineAfter(this.clock.now(), millis), () => {
          this.reportEnded(this.state.finish(attempt));
        });
        this.checkLeaseAt(attempt, running.leaseUntil);
      })
      .exhaustive();
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
    if (ended === undefined) {
      return;
    }
    const { attempt, outcome } = ended;
    this.observer.ended(attempt, outcome.kind === 'succeeded' ? outcome.answer : null);
    if (this.owner !== undefined) {
      this.send(this.owner, { kind: 'ended', worker: this.profile.id, attempt, outcome });
    }
  }

  private heartbeat(): void {
    if (this.owner !== undefined) {
      const { leaving } = this.switches;
      this.send(this.owner, {
        kind: 'usage',
        worker: this.profile.id,
        workerNow: this.workerClock.now(),
        attempts: this.usage.next(this.state.runs.running.values()),
        leaving,
      });
    }
    this.schedule(deadlineAfter(this.clock.now(), HEARTBEAT_INTERVAL_MILLIS), () => {
      this.heartbeat();
    });
  }

  private schedule(deadline: Deadline, run: () => void): void {
    this.clock.wakeAt(deadline, () => {
      this.runUnlessFrozen(run);
    });
  }

  private send(link: SimulatedLink, report: WorkerReport): void {
    if (link.silent) {
      return;
    }
    link.report(report);
    if (this.faults.repeats) {
      this.clock.wakeAt(deadlineAfter(this.clock.now(), REPEAT_AFTER_MILLIS), () => {
        if (!link.silent) {
          link.report(report);
        }
      });
    }
  }
}
