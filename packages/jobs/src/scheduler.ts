/**
 * The state machine that schedules a cluster's jobs. It takes typed inputs with the time and returns
 * outputs to be carried out; it does no I/O, so that recorded inputs replay to the same outputs.
 */

import { match } from 'ts-pattern';
import type {
  JobConfiguration,
  JobId,
  JobPlan,
  WorkerIncarnation,
  WallInstant,
  WorkerRegistration,
} from '@bamboowell/types/job';
import { NO_RESOURCES } from '@bamboowell/types/resources';
import type { SchedulingOptions } from '@bamboowell/types/scheduling';
import { earlier, type Deadline, type Instant } from '@bamboowell/types/time';
import { StepAdvice } from './step-advice.js';
import { AdviceBalancer } from './advice-balancer.js';
import { isSameOffer } from './available-workers.js';
import { Contenders } from './contenders.js';
import { JobContext } from './context.js';
import { AdvicePrefetch } from './advice-prefetch.js';
import { EvacuationControl } from './evacuation-control.js';
import { NO_EVACUATIONS, type KnownEvacuations } from './evacuations.js';
import { ExcessByAcceptance, ExcessByShare } from './excess-ordering.js';
import { runTimesOf } from './learned-run-times.js';
import { Lifecycle } from './lifecycle.js';
import { LentRoom } from './lent-room.js';
import type { JobBatch, JobInput, JobOutput } from './messages.js';
import { newWorker, openStartsOn, type Run, type Worker } from './model.js';
import { OldestFirst, type JobOrdering } from './ordering.js';
import { Orders } from './orders.js';
import { StepPlacement } from './step-placement.js';
import type { PlacementPreview } from './placement-preview.js';
import type { RestoredRun, Restored } from './records.js';
import { Reports } from './reports.js';
import { RunTimesLog } from './run-times-log.js';
import { Stalls } from './stalls.js';
import { Successors, UNKNOWN_ADDRESS } from './successors.js';
import { Quarantines } from './quarantines.js';
import type { WaitingReason } from './waiting-reasons.js';
import { WorkerCrashes } from './worker-crashes.js';

export interface JobSchedulerOptions {
  readonly ordering: JobOrdering;
  readonly configuration: JobConfiguration;
  readonly scheduling: SchedulingOptions;
  /** When every lease given by an earlier owner has lapsed. */
  readonly earlierLeasesEnd: Deadline;
  /** Returns when every lease that was given until now has lapsed. */
  readonly leasesEnd: (now: Instant) => Deadline;
  readonly restored: Restored;
  readonly workers: readonly WorkerRegistration[];
  /** Undefined where no evacuations are followed. */
  readonly evacuations?: KnownEvacuations | undefined;
}

/** Counts of jobs, runs and workers, and how much processor time of the workers is used. */
export interface JobFigures {
  readonly jobs: number;
  /** What the jobs that have not ended take in memory, bytes. */
  readonly jobBytes: number;
  /** Occurrences that are due and wait until others are over. */
  readonly heldBackOccurrences: number;
  /** Steps that are ready and not done, including those whose tasks all run. */
  readonly waitingSteps: number;
  readonly runs: number;
  /** Starts under way: recorded or sent, and not confirmed. */
  readonly openStarts: number;
  readonly workers: number;
  /** Workers on which nothing runs. */
  readonly idleWorkers: number;
  /** Registered workers of evacuated data centres. */
  readonly evacuatedWorkers: number;
  readonly millicores: number;
  readonly usedMillicores: number;
}

/** The time by both clocks of the process. */
export interface Times {
  readonly now: Instant;
  readonly wall: WallInstant;
}

export class JobScheduler {
  private readonly context: JobContext;
  private readonly quarantines: Quarantines;
  private readonly adviceBalancer = new AdviceBalancer();
  private readonly lifecycle: Lifecycle;
  private readonly orders: Orders;
  private readonly crashes: WorkerCrashes;
  private readonly successors: Successors;
  private readonly contenders: Contenders;
  private readonly reports: Reports;
  private readonly stepAdvice: StepAdvice;
  private readonly stepPlacement: StepPlacement;
  private readonly stalls: Stalls;
  private readonly evacuationControl: EvacuationControl;
  private readonly advicePrefetch: AdvicePrefetch;
  private readonly runTimesLog: RunTimesLog;
  private earlierLeasesEnd: Deadline;

  constructor(options: JobSchedulerOptions, times: Times) {
    const context = new JobContext(runTimesOf(options.scheduling), ({ worker }) => {
      this.quarantines.recordEnd(worker.id);
    });
    const quarantines = new Quarantines(context);
    this.context = context;
    this.quarantines = quarantines;
    this.setTimes(times);
    this.earlierLeasesEnd = options.earlierLeasesEnd;
    this.orders = new Orders(
      context,
      (task, worker, number) => {
        this.lifecycle.runFailed(task, worker, number);
      },
      (worker) => {
        this.reports.endIncarnation(worker, 'other_life', undefined);
      },
    );
    const { scheduling } = options;
    const lentRoom = scheduling.sharing === 'weighted' ? new LentRoom(context) : undefined;
    const stopRun = (run: Run): void => {
      this.orders.stop(run);
    };
    this.lifecycle = new Lifecycle(context, stopRun, scheduling, lentRoom);
    this.crashes = new WorkerCrashes(context, this.lifecycle);
    this.successors = new Successors(context, options.leasesEnd);
    this.contenders = new Contenders(context);
    this.reports = new Reports(
      context,
      this.lifecycle,
      this.orders,
      quarantines,
      this.crashes,
      this.successors,
    );
    this.stalls = new Stalls(context, this.orders);
    this.stepAdvice = new StepAdvice(context, this.adviceBalancer, (worker) =>
      this.stepPlacement.isPlaceable(worker),
    );
    this.runTimesLog = new RunTimesLog(context);
    this.stepPlacement = new StepPlacement(
      context,
      this.lifecycle,
      this.orders,
      quarantines,
      this.stepAdvice,
      { usual: orderingOf(options, lentRoom), saturated: new OldestFirst() },
      this.crashes,
      options.scheduling,
    );
    this.advicePrefetch = new AdvicePrefetch(context, this.lifecycle, this.stepPlacement);
    context.setConfiguration(options.configuration);
    options.workers.forEach((registration) => {
      this.registerWorker(registration);
    });
    this.restore(options.restored);
    this.evacuationControl = new EvacuationControl(context, this.orders);
    this.evacuationControl.begin(options.evacuations ?? NO_EVACUATIONS);
  }

  /** Handles one input and returns the outputs to be carried out, in order. */
  step(input: JobInput, times: Times): JobOutput[] {
    this.setTimes(times);
    this.receive(input);
    return this.context.takeOutputs();
  }

  /** Outputs that are still to be carried out, such as those of the constructor. */
  takeOutputs(): JobOutput[] {
    return this.context.takeOutputs();
  }

  /**
   * Takes the pending writes; the caller sends `committed` with the number once they are stored.
   */
  takeBatch(): JobBatch | undefined {
    return this.context.takeBatch();
  }

  /** Whether a placement pass may start something. */
  get needsPlacement(): boolean {
    const { needsPlacement, evacuations, now } = this.context;
    return needsPlacement && evacuations.isCurrent(now);
  }

  /** Whether a start may be sent to a worker of this data centre now. */
  mayStart(place: Pick<WorkerRegistration, 'zone'>, now: Instant): boolean {
    return this.context.evacuations.mayStart(place, now);
  }

  /** Whether the job has been taken and no record of it has been sent to the store. */
  isUnsent(id: JobId): boolean {
    const job = this.context.jobs.get(id);
    return job !== undefined && this.context.isUnsent(job);
  }

  /** Figures for metrics and the log. */
  figures(): JobFigures {
    const workers = [...this.context.workers.values()];
    const sum = (amount: (worker: Worker) => number): number =>
      workers.reduce((total, worker) => total + amount(worker), 0);
    return {
      jobs: this.context.jobs.size,
      jobBytes: this.context.memory.bytes,
      heldBackOccurrences: this.lifecycle.heldBackOccurrences,
      waitingSteps: this.lifecycle.readySteps.size,
      runs: sum(({ runs }) => runs.size),
      openStarts: openStartsOn(workers),
      workers: workers.length,
      idleWorkers: sum(({ runs }) => Number(runs.size === 0)),
      evacuatedWorkers: this.stepPlacement.evacuatedWorkers().length,
      millicores: sum(({ registration }) => registration.capacity.millicores),
      usedMillicores: sum(({ used }) => used.millicores),
    };
  }

  /** Counts the waiting steps by what keeps them from starting, for the log. */
  waitingReasons(): Partial<Record<WaitingReason, number>> {
    return this.stepPlacement.waitingReasons();
  }

  /** Where the job would go now and why; nothing is changed. */
  private preview(plan: JobPlan): PlacementPreview {
    const { admission, step } = this.lifecycle.preview(plan);
    return {
      admission,
      placement: step === undefined ? undefined : this.stepPlacement.preview(step),
    };
  }

  private setTimes({ now, wall }: Times): void {
    this.context.now = now;
    this.context.wall = wall;
  }

  private receive(input: JobInput): void {
    match(input)
      .with({ kind: 'submit' }, ({ plan, configuration, token, isStoreAway }) => {
        this.lifecycle.submit(plan, configuration, token, isStoreAway);
      })
      .with({ kind: 'drop_unsent' }, ({ job, tokens }) => {
        this.lifecycle.dropUnsent(job, tokens);
      })
      .with({ kind: 'cancel' }, ({ job, token }) => {
        this.lifecycle.cancel(job, token);
      })
      .with({ kind: 'query' }, ({ job, token }) => {
        this.lifecycle.query(job, token);
      })
      .with({ kind: 'preview' }, ({ plan, token }) => {
        const answer = { kind: 'preview', preview: this.preview(plan) } as const;
        this.context.emit({ kind: 'answer', token, answer });
      })
      .with({ kind: 'count' }, ({ queue, token }) => {
        this.lifecycle.countWaiting(queue, token);
      })
      .with({ kind: 'configuration' }, ({ configuration }) => {
        this.context.setConfiguration(configuration);
      })
      .with({ kind: 'worker' }, ({ registration }) => {
        this.registerWorker(registration);
      })
      .with({ kind: 'worker_gone' }, ({ worker }) => {
        this.unregisterWorker(worker);
      })
      .with({ kind: 'evacuations' }, (known) => {
        this.evacuationControl.replace(known);
      })
      .with({ kind: 'earlier_leases_end' }, ({ at }) => {
        const before = this.earlierLeasesEnd;
        this.earlierLeasesEnd = earlier(before, at);
        this.reports.bringForwardEarlierLeases(before, this.earlierLeasesEnd);
      })
      .with({ kind: 'report' }, ({ report }) => {
        if (!this.acceptContender(report.incarnation, 'born_again')) {
          this.reports.receive(report);
        }
      })
      .with({ kind: 'unreachable' }, ({ incarnation, lapsesAt }) => {
        this.withWorker(incarnation, (worker) => {
          this.reports.markUnreachable(worker, lapsesAt);
        });
      })
      .with({ kind: 'other_life' }, ({ incarnation, successor }) => {
        if (successor !== undefined) {
          this.successors.recordAnswer(successor);
          this.acceptContender(successor, 'other_life');
        }
        this.refuteContender(incarnation);
        this.withWorker(incarnation, (worker) => {
          this.reports.endIncarnation(worker, 'other_life', successor);
        });
      })
      .with({ kind: 'order_answered' }, (answered) => {
        this.withWorker(answered.incarnation, (worker) => {
          this.orders.handleAnswer(worker, answered);
        });
      })
      .with({ kind: 'adviser' }, ({ member, roundTripMillis }) => {
        this.adviceBalancer.add(member, roundTripMillis);
        this.context.needsPlacement = true;
      })
      .with({ kind: 'adviser_gone' }, ({ member }) => {
        this.stepAdvice.removeMember(member);
      })
      .with({ kind: 'advice' }, (advice) => {
        this.stepAdvice.receive(advice);
      })
      .with({ kind: 'no_advice' }, ({ step }) => {
        this.stepAdvice.callFailed(step);
      })
      .with({ kind: 'committed' }, ({ batch }) => {
        this.context.committed(batch);
      })
      .with({ kind: 'rejected' }, ({ key }) => {
        this.lifecycle.recordRejected(key);
      })
      .with({ kind: 'place' }, ({ mayStart }) => {
        this.runPlacementPass(mayStart);
      })
      .with({ kind: 'lag' }, ({ millis }) => {
        this.observeLag(millis);
      })
      .exhaustive();
    this.contenders.unopposed().forEach((incarnation) => {
      this.acceptContender(incarnation, 'born_again');
    });
  }

  private runPlacementPass(mayStart: boolean): void {
    this.context.mayStart = mayStart;
    this.lifecycle.tick();
    this.reports.expireLeases();
    this.stalls.check();
    this.runTimesLog.logIfDue();
    this.quarantines.endQuarantines();
    this.evacuationControl.check();
    if (mayStart && this.context.evacuations.isCurrent(this.context.now)) {
      this.context.needsPlacement = false;
      this.stepPlacement.place();
      this.advicePrefetch.prefetch();
    }
  }

  private observeLag(millis: number): void {
    const { context } = this;
    const { load, now } = context;
    const wasSaturated = load.isSaturated(now);
    load.observe(millis, openStartsOn(context.workers.values()), now);
    if (load.isSaturated(now) !== wasSaturated) {
      const { startLimit } = load;
      context.event('owner.load', {
        isSaturated: !wasSaturated,
        lagMillis: Math.round(millis),
        startLimit,
      });
    }
  }

  private registerWorker(registration: WorkerRegistration): void {
    const existing = this.context.workers.get(registration.incarnation);
    if (existing !== undefined) {
      if (!existing.isRegistered || !isSameOffer(existing.registration, registration)) {
        this.context.needsPlacement = true;
      }
      existing.registration = registration;
      existing.isRegistered = true;
      existing.registeredAt = this.context.now;
      const current = this.context.currentIncarnations.get(existing.id);
      if (current === undefined) {
        this.makeCurrent(existing);
      }
      if (current === undefined || current === existing) {
        this.contenders.drop(existing.id);
      }
      this.successors.meet(existing);
      return;
    }
    if (this.successors.hasEnded(registration.incarnation)) {
      return;
    }
    if (this.context.currentIncarnations.has(registration.id)) {
      this.contenders.add(registration, this.earlierLeasesEnd);
      return;
    }
    this.successors.meet(this.admit(registration, 'born_again'));
  }

  /** The process that the registration names takes the place of earlier ones, which have ended. */
  private admit(registration: WorkerRegistration, reason: string): Worker {
    const worker = newWorker(registration, this.earlierLeasesEnd);
    worker.registeredAt = this.context.now;
    this.context.workers.set(worker.incarnation, worker);
    for (const earlier of this.earlierIncarnations(worker)) {
      this.reports.endIncarnation(earlier, reason, worker.incarnation);
    }
    this.makeCurrent(worker);
    return worker;
  }

  /** A contender that has answered, or that no other process opposes, is in use from now on. */
  private acceptContender(incarnation: WorkerIncarnation, reason: string): boolean {
    const registration = this.contenders.take(incarnation);
    if (registration === undefined) {
      return false;
    }
    const worker = this.admit(registration, reason);
    worker.linkedAt = this.context.now;
    this.successors.meet(worker);
    return true;
  }

  /** Another process has answered at the contender's address. */
  private refuteContender(incarnation: WorkerIncarnation): void {
    const registration = this.contenders.take(incarnation);
    if (registration !== undefined) {
      this.successors.recordEnd(incarnation);
      this.context.event('registration.refuted', { worker: registration.id, life: incarnation });
    }
  }

  /** The current incarnation and, after a change of owner, those that only stored runs name. */
  private earlierIncarnations({ id, incarnation }: Worker): Worker[] {
    const current = this.context.currentIncarnations.get(id);
    return [...this.context.workers.values()].filter(
      (worker) =>
        worker.id === id &&
        worker.incarnation !== incarnation &&
        (worker === current || !worker.isMet),
    );
  }

  private makeCurrent(worker: Worker): void {
    this.context.currentIncarnations.set(worker.id, worker);
    this.quarantines.setWorkerCount(this.context.currentIncarnations.size);
  }

  private unregisterWorker(id: WorkerRegistration['id']): void {
    const worker = this.context.currentIncarnations.get(id);
    this.contenders.drop(id);
    if (worker !== undefined) {
      worker.isRegistered = false;
      worker.unregisteredAt = this.context.now;
      this.context.event('worker.unlisted', { worker: id, runs: worker.runs.size });
    }
  }

  private withWorker(incarnation: WorkerIncarnation, act: (worker: Worker) => void): void {
    const worker = this.context.workers.get(incarnation);
    if (worker !== undefined) {
      act(worker);
    }
  }

  private restore({ jobs, runs, archives, orphans, misplaced }: Restored): void {
    this.context.deleteRecords(orphans);
    misplaced.forEach((task) => {
      this.context.markTaskChanged(task);
    });
    archives.forEach((archive) => {
      this.context.archive.restore(archive);
    });
    runs.forEach((run) => {
      this.restoreRun(run);
    });
    jobs.forEach((job) => {
      this.lifecycle.resume(job);
    });
  }

  /** Restores a run of an earlier owner; its worker's first report tells what became of it. */
  private restoreRun({ task, incarnation, worker: id, number }: RestoredRun): void {
    const current = this.context.currentIncarnations.get(id);
    if (current !== undefined && current.incarnation !== incarnation) {
      // The worker has crashed or left since. The start may never have been sent, or may have reached the
      // current incarnation: its first report tells.
      this.crashes.suspect(task);
    }
    const worker = current ?? this.unregisteredWorker(incarnation, id);
    const run: Run = {
      task,
      number,
      worker,
      grant: undefined,
      phase: 'ordered',
      hasUnansweredStart: true,
      confirmedAt: undefined,
      progress: undefined,
      isIsolated: false,
    };
    this.context.attach(run);
  }

  /** A worker that is no longer registered; its leases may not have lapsed yet. */
  private unregisteredWorker(incarnation: WorkerIncarnation, id: WorkerRegistration['id']): Worker {
    const existing = this.context.workers.get(incarnation);
    if (existing !== undefined) {
      return existing;
    }
    const registration: WorkerRegistration = {
      id,
      incarnation,
      address: UNKNOWN_ADDRESS,
      service: '',
      zone: '',
      isDraining: true,
      capacity: NO_RESOURCES,
      labels: [],
      rack: undefined,
    };
    const worker = newWorker(registration, this.earlierLeasesEnd);
    worker.isRegistered = false;
    worker.isReachable = false;
    this.context.workers.set(incarnation, worker);
    return worker;
  }
}

function orderingOf(
  { ordering, scheduling }: JobSchedulerOptions,
  lentRoom: LentRoom | undefined,
): JobOrdering {
  if (lentRoom !== undefined) {
    return new ExcessByShare(ordering, lentRoom);
  }
  return scheduling.admission === 'forecast' ? new ExcessByAcceptance(ordering) : ordering;
}
