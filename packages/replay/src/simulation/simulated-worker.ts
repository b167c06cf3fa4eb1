/** A worker on a manual clock: the stand-in's machine with links within the process. */

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

const HEARTBEAT_MILLIS = 1000;
/** When a repeated report arrives the second time, milliseconds. */
const REPEAT_AFTER_MILLIS = 1_500;

/** Faults that the machine itself does not have. */
interface ReportFaults {
  repeats: boolean;
  ignoresThrottle: boolean;
}

/** Told of every run. */
export interface RunObserver {
  began(start: Start): void;
  ended(attempt: AttemptId, answer: string | null): void;
}

/** One open link: `report` reaches the owner that opened it. */
export interface SimulatedLink {
  readonly report: (report: WorkerReport) => void;
  /** What is sent in either direction is lost. */
  silent: boolean;
}

export type Start = Extract<WorkerCommand, { kind: 'start' }>;

export class SimulatedWorker {
  readonly switches: Switches = { ...NO_FAULTS };
  private machine: WorkerState;
  private readonly workerClock: WorkerClock;
  private incarnations = 1;
  private owner: SimulatedLink | undefined;
  private isGone = false;
  private held: (() => void)[] | undefined;
  private usage = new UsageReports();
  private readonly faults: ReportFaults = { repeats: false, ignoresThrottle: false };

  constructor(
    readonly profile: WorkerProfile,
    private readonly clock: Clock,
    private readonly watcher: RunObserver,
  ) {
    this.workerClock = new WorkerClock(clock);
    this.machine = this.newMachine();
    this.heartbeat();
  }

  /** Takes a command from a link, if it arrives. */
  handle(link: SimulatedLink, command: WorkerCommand): void {
    if (!link.silent) {
      this.turn(() => {
        this.obey(link, command);
      });
    }
  }

  /** Ends all that runs, without a word; the worker comes back with nothing. */
  restart(): void {
    this.dropRuns();
    this.incarnations += 1;
    this.machine = this.newMachine();
    this.owner = undefined;
  }

  /** The VM is gone for good. */
  remove(): void {
    this.dropRuns();
    this.isGone = true;
    this.owner = undefined;
  }

  /** From now on each report arrives at once and again later, after newer ones. */
  repeatReports(): void {
    this.faults.repeats = true;
  }

  /** From now on throttling has no effect. */
  ignoreThrottle(): void {
    this.faults.ignoresThrottle = true;
  }

  /** Does nothing until it is resumed, like all that runs on it. */
  freeze(): void {
    this.held ??= [];
  }

  resume(): void {
    const held = this.held ?? [];
    this.held = undefined;
    this.stopLapsed();
    for (const run of held) {
      this.turn(run);
    }
  }

  /** The first thing that a worker does when it wakes. */
  private stopLapsed(): void {
    for (const attempt of [...this.machine.runs.running.keys()]) {
      const checked = this.machine.checkLease(attempt);
      if (typeof checked === 'object') {
        this.ended(checked);
      }
    }
  }

  private turn(run: () => void): void {
    if (this.isGone) {
      return;
    }
    if (this.held === undefined) {
      run();
    } else {
      this.held.push(run);
    }
  }

  private newMachine(): WorkerState {
    return new WorkerState(this.profile.capacity, this.workerClock, this.switches);
  }

  private get incarnation(): Incarnation {
    return brandAs<Incarnation>(`${this.profile.id}-${this.incarnations}`);
  }

  private dropRuns(): void {
    for (const attempt of this.machine.runs.running.keys()) {
      this.watcher.ended(attempt, null);
    }
  }

  private obey(link: SimulatedLink, command: WorkerCommand): void {
    if (command.kind !== 'start' && !this.machine.admit(command.epoch)) {
      this.say(link, { kind: 'fenced', worker: this.profile.id, epoch: this.machine.epoch });
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
        this.machine.renew(leaseUntil);
      })
      .with({ kind: 'stop' }, ({ attempt, checkpoint }) => {
        this.ended(this.machine.stop(attempt, checkpoint));
      })
      .with({ kind: 'throttle' }, ({ attempt }) => {
        if (!this.faults.ignoresThrottle) {
          this.machine.throttle(attempt);
        }
      })
      .with({ kind: 'forget' }, ({ attempts }) => {
        this.machine.runs.forget(attempts);
      })
      .exhaustive();
  }

  private attach(link: SimulatedLink, epoch: Epoch): void {
    this.owner = link;
    this.usage.reset();
    const { running, ended } = this.machine.runs;
    this.say(link, {
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
      this.at(deadlineAfter(this.clock.now(), this.switches.slowStartMillis), () => {
        this.startNow(link, start);
      });
      return;
    }
    this.startNow(link, start);
  }

  private startNow(link: SimulatedLink, start: Start): void {
    const { attempt } = start;
    const worker = this.profile.id;
    const result = this.machine.start(start);
    match(result)
      .with({ kind: 'refused' }, ({ why }) => {
        this.say(link, { kind: 'start_refused', worker, attempt, why });
      })
      .with({ kind: 'repeated' }, () => undefined)
      .with({ kind: 'started' }, ({ running }) => {
        this.watcher.began(start);
        this.say(link, { kind: 'started', worker, attempt });
        const millis = this.switches.failEverything ? 0 : (running.program.millis ?? 0);
        this.at(deadlineAfter(this.clock.now(), millis), () => {
          this.ended(this.machine.finish(attempt));
        });
        this.checkLeaseAt(attempt, running.leaseUntil);
      })
      .exhaustive();
  }

  private checkLeaseAt(attempt: AttemptId, deadline: Deadline): void {
    this.at(deadline, () => {
      match(this.machine.checkLease(attempt))
        .with(undefined, () => undefined)
        .with(P.number, (later) => {
          this.checkLeaseAt(attempt, later);
        })
        .otherwise((ended) => {
          this.ended(ended);
        });
    });
  }

  private ended(ended: EndedAttempt | undefined): void {
    if (ended === undefined) {
      return;
    }
    const { attempt, outcome } = ended;
    this.watcher.ended(attempt, outcome.kind === 'succeeded' ? outcome.answer : null);
    if (this.owner !== undefined) {
      this.say(this.owner, { kind: 'ended', worker: this.profile.id, attempt, outcome });
    }
  }

  private heartbeat(): void {
    if (this.owner !== undefined) {
      const { leaving } = this.switches;
      this.say(this.owner, {
        kind: 'usage',
        worker: this.profile.id,
        workerNow: this.workerClock.now(),
        attempts: this.usage.next(this.machine.runs.running.values()),
        leaving,
      });
    }
    this.at(deadlineAfter(this.clock.now(), HEARTBEAT_MILLIS), () => {
      this.heartbeat();
    });
  }

  private at(deadline: Deadline, run: () => void): void {
    this.clock.wakeAt(deadline, () => {
      this.turn(run);
    });
  }

  private say(link: SimulatedLink, report: WorkerReport): void {
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
