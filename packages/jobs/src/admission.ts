/**
 * Decides which new jobs are taken, and tells those that are refused when to come back. Guards against teams
 * that send several times their rate: their jobs would be accepted and wait behind promised work for longer
 * than they are of use, or be refused while workers are idle.
 */

import {
  MAX_ADVICE_WORKERS,
  MIN_ADVICE_WORKERS,
  SPARE_FACTOR,
} from '@bamboowell/policy/advised-workers';
import { retryAfterSeconds } from '@bamboowell/policy/retry-spread';
import type { JobPlan, JobQueue } from '@bamboowell/types/job';
import type { SchedulingOptions } from '@bamboowell/types/scheduling';
import {
  MILLIS_PER_SECOND,
  NEVER,
  deadlineAfter,
  hasPassed,
  later,
  type Deadline,
} from '@bamboowell/types/time';
import { AdmissionFigures } from './admission-figures.js';
import { poolKeysOf } from './advice-budget.js';
import type { JobContext } from './context.js';
import type { LentRoom } from './lent-room.js';
import { allocationOf, newJob, newOccurrence, type Job, type Step, type Worker } from './model.js';
import { MAX_LATENESS_FACTOR, latencyObjectiveMillis } from './ordering.js';
import { OVERRUN_FACTOR } from './run-times.js';
import { ServiceForecast, type ArrivingJob } from './service-forecast.js';
import { NO_DEMAND, sumOf, waitingDemandOf, type Demand } from './waiting-demand.js';

/** When a caller should come back whose team is beyond its promised rate while others wait. */
const EXCESS_RETRY_AFTER_SECONDS = 2;
/** The same while the owner itself is saturated. */
const SATURATED_RETRY_AFTER_SECONDS = 5;
/** How long a look at what runs and waits serves the forecasts of a service, milliseconds. */
const REFRESH_MILLIS = 100;
/** The longest forecast that is reported, milliseconds. */
const MAX_REPORTED_MILLIS = 60_000;

/** What an admitted job was forecast by. */
interface Basis {
  readonly arriving: ArrivingJob;
  /** When its first task is forecast to start. */
  readonly first: Deadline;
}

export type AdmissionDecision =
  | { readonly kind: 'admitted'; readonly basis?: Basis }
  | {
      readonly kind: 'refused';
      readonly retryAfterSeconds: number;
      /**
       * `late`: it is forecast to complete too late to be of use. `reserved`: promised work is expected to need
       * the room before the job ends.
       */
      readonly reason: 'overloaded' | 'team_limit' | 'late' | 'reserved';
      /** Time until its last task is forecast to start. */
      readonly forecastMillis?: number;
    };

export abstract class JobAdmission {
  /** @param isExcess whether the job exceeds the rate that its team was promised. */
  abstract decide(plan: JobPlan, queue: JobQueue, isExcess: boolean): AdmissionDecision;

  /** Returns what `decide` would, without an effect on later decisions. */
  abstract preview(plan: JobPlan, queue: JobQueue, isExcess: boolean): AdmissionDecision;

  /** Records that a job was taken after the decision to admit it. */
  abstract recordAdmitted(job: Job, decision: AdmissionDecision): void;

  /** Records the first start of a job. */
  abstract recordStarted(job: Job): void;

  abstract tick(): void;
}

/** @param readySteps the steps that may start, of all services. */
export function jobAdmissionOf(
  { admission }: SchedulingOptions,
  context: JobContext,
  readySteps: ReadonlySet<Step>,
  lentRoom: LentRoom | undefined,
): JobAdmission {
  const byRate = new AdmissionByRate(context, readySteps, lentRoom);
  return admission === 'forecast'
    ? new AdmissionByForecast(context, readySteps, byRate, lentRoom)
    : byRate;
}

/**
 * A job beyond the promised rate of its team goes behind all others. Where these wait already for the room
 * that it needs, or the team runs as much as it may, it would only wait until it is of no use.
 */
export class AdmissionByRate extends JobAdmission {
  constructor(
    private readonly context: JobContext,
    private readonly readySteps: ReadonlySet<Step>,
    /** Set if what teams run beyond their promised rate is shared between them. */
    private readonly lentRoom: LentRoom | undefined,
  ) {
    super();
  }

  decide(plan: JobPlan, queue: JobQueue, isExcess: boolean): AdmissionDecision {
    const { context } = this;
    const retryAfterSeconds = EXCESS_RETRY_AFTER_SECONDS;
    if (isExcess && (this.isRoomSpent(plan, queue.service) || isTeamAtLimit(context, plan))) {
      return { kind: 'refused', reason: 'overloaded', retryAfterSeconds };
    }
    if (isExcess && !this.mayBorrow(plan, queue)) {
      return { kind: 'refused', reason: 'reserved', retryAfterSeconds };
    }
    return this.decideByLoad(isExcess);
  }

  preview(plan: JobPlan, queue: JobQueue, isExcess: boolean): AdmissionDecision {
    const decide = (): AdmissionDecision => this.decide(plan, queue, isExcess);
    return this.lentRoom?.undone(decide) ?? decide();
  }

  /** What the owner itself can take on. */
  decideByLoad(isExcess: boolean): AdmissionDecision {
    const { load, now } = this.context;
    const admission = load.admit(isExcess, () => this.stepsBeforeNew(), now);
    return admission.kind === 'admitted' ? admission : { ...admission, reason: 'overloaded' };
  }

  recordAdmitted(): void {
    // Nothing is forecast.
  }

  recordStarted(): void {
    // Nothing is forecast.
  }

  tick(): void {
    // Nothing is reported.
  }

  private mayBorrow(plan: JobPlan, queue: JobQueue): boolean {
    const [firstStep] = stepsOf(plan, queue, true, this.context);
    return firstStep === undefined || (this.lentRoom?.take(firstStep) ?? true);
  }

  private isRoomSpent({ team, steps }: JobPlan, service: string): boolean {
    const [first] = steps;
    return (
      first !== undefined &&
      poolKeysOf(service, first, team).some((key) => this.context.spentPools.has(key))
    );
  }

  /** Steps that a new job would wait for because of the owner, and not because they have no room. */
  private stepsBeforeNew(): Step[] {
    const { context } = this;
    return [...this.readySteps].filter(
      (step) =>
        !context.parked.has(step) &&
        context.obstacleOf(step) === undefined &&
        !context.isWaitingForTeamLimit(step),
    );
  }
}

/**
 * Refuses what is forecast to complete too late to be of use: jobs beyond the promised rate of their team past
 * their objective, promised ones past the last time at which they have a value. Promised jobs are forecast
 * against promised work only, which goes before all other work.
 */
export class AdmissionByForecast extends JobAdmission {
  private readonly services = new Map<string, { forecast: ServiceForecast; until: Deadline }>();
  private readonly figures: AdmissionFigures;

  constructor(
    private readonly context: JobContext,
    private readonly readySteps: ReadonlySet<Step>,
    /** Decides on jobs that can't be forecast. */
    private readonly byRate: AdmissionByRate,
    /** Set if what teams run beyond their promised rate is shared between them. */
    private readonly lentRoom: LentRoom | undefined,
  ) {
    super();
    this.figures = new AdmissionFigures(context);
  }

  decide(plan: JobPlan, queue: JobQueue, isExcess: boolean): AdmissionDecision {
    const decision = this.decideWith(plan, queue, isExcess, () => this.forecastOf(queue.service));
    if (decision.kind === 'refused') {
      this.figures.recordRefused(isExcess);
    }
    return decision;
  }

  preview(plan: JobPlan, queue: JobQueue, isExcess: boolean): AdmissionDecision {
    const decide = (): AdmissionDecision =>
      this.decideWith(plan, queue, isExcess, () => this.newForecastOf(queue.service));
    return this.lentRoom?.undone(decide) ?? decide();
  }

  recordAdmitted(job: Job, decision: AdmissionDecision): void {
    const basis = decision.kind === 'admitted' ? decision.basis : undefined;
    this.figures.recordAdmitted(job, basis?.first);
    if (basis !== undefined) {
      this.forecastOf(job.queue.service).recordAccepted(basis.arriving);
    }
  }

  recordStarted(job: Job): void {
    this.figures.recordStarted(job);
  }

  tick(): void {
    this.figures.tick(this.context.now);
  }

  /** While nothing can be stored, nothing starts, and no forecast holds. */
  private isForecastable({ team, steps, repetition }: JobPlan, queue: JobQueue): boolean {
    const weight = team === undefined ? undefined : this.context.team(team)?.weight;
    const hasObjective = queue.objectiveFactor > 0 || queue.targetLatencyMillis > 0;
    return (
      this.context.mayStart &&
      hasObjective &&
      (weight ?? 0) > 0 &&
      repetition === undefined &&
      !steps.some(({ isLasting }) => isLasting)
    );
  }

  private decideWith(
    plan: JobPlan,
    queue: JobQueue,
    isExcess: boolean,
    forecastOfService: () => ServiceForecast,
  ): AdmissionDecision {
    return this.isForecastable(plan, queue)
      ? this.decideByForecast(plan, queue, isExcess, forecastOfService)
      : this.byRate.decide(plan, queue, isExcess);
  }

  private decideByForecast(
    plan: JobPlan,
    queue: JobQueue,
    isExcess: boolean,
    forecastOfService: () => ServiceForecast,
  ): AdmissionDecision {
    const { context } = this;
    const { id } = plan;
    const patienceMillis = queue.timeoutMillis;
    if (isExcess && isTeamAtLimit(context, plan)) {
      const waitMillis = EXCESS_RETRY_AFTER_SECONDS * MILLIS_PER_SECOND;
      const seconds = retryAfterSeconds(id, waitMillis, patienceMillis);
      return { kind: 'refused', reason: 'team_limit', retryAfterSeconds: seconds };
    }
    const byLoad = this.byRate.decideByLoad(isExcess);
    if (byLoad.kind === 'refused') {
      // Excess that comes back soon would take the time for starts that the owner lacks.
      const seconds = isExcess
        ? SATURATED_RETRY_AFTER_SECONDS
        : retryAfterSeconds(id, byLoad.retryAfterSeconds * MILLIS_PER_SECOND, patienceMillis);
      return { ...byLoad, retryAfterSeconds: seconds };
    }
    const steps = stepsOf(plan, queue, isExcess, context);
    const [firstStep] = steps;
    const arriving = firstStep && this.arrivingJob(firstStep, steps);
    const forecast = arriving && forecastOfService().forecast(arriving);
    if (arriving === undefined || forecast === undefined) {
      return this.byRate.decide(plan, queue, isExcess);
    }
    const adviceMillis = adviceMillisOf(arriving.firstStep, this.context.workers.size);
    const first = afterAdvice(forecast.first, adviceMillis, arriving.firstStep, context);
    const last = afterAdvice(forecast.last, adviceMillis, arriving.firstStep, context);
    const latest = deadlineAfter(context.now, this.longestWaitMillis(steps, arriving.firstStep));
    const isInTime = forecast.hasRoomNow || last <= latest;
    if (isInTime && (!isExcess || (this.lentRoom?.take(arriving.firstStep) ?? true))) {
      return { kind: 'admitted', basis: { arriving, first } };
    }
    const forecastMillis = Math.min(MAX_REPORTED_MILLIS, Math.round(last - context.now));
    return {
      kind: 'refused',
      reason: isInTime ? 'reserved' : 'late',
      forecastMillis,
      retryAfterSeconds: retryAfterSeconds(id, forecastMillis, patienceMillis),
    };
  }

  /**
   * How long the last task may wait so that the job completes while it is of value. Excess must also start while
   * its caller could still have it served elsewhere or later, and forecasts are as far off as run times.
   */
  private longestWaitMillis(steps: readonly Step[], firstStep: Step): number {
    const { isExcess, queue } = firstStep.job;
    const objectiveMillis = latencyObjectiveMillis(firstStep, this.context.runTimes);
    const chainMillis = this.chainMillisOf(steps);
    return isExcess
      ? Math.min(objectiveMillis - chainMillis, queue.timeoutMillis / OVERRUN_FACTOR)
      : MAX_LATENESS_FACTOR * objectiveMillis - chainMillis;
  }

  private arrivingJob(firstStep: Step, steps: readonly Step[]): ArrivingJob {
    const { job } = firstStep;
    const demands = steps.map((step) => this.demandOf(step));
    return {
      isExcess: job.isExcess,
      team: job.plan?.team,
      priority: job.queue.priority,
      firstStep,
      widest: widestOf(steps, demands),
      whole: sumOf(demands),
    };
  }

  private demandOf(step: Step): Demand {
    return waitingDemandOf(step, this.context.runTimes.expectedMillis(step));
  }

  /** Expected run time along the longest chain of steps, milliseconds. */
  private chainMillisOf(steps: readonly Step[]): number {
    const ends: number[] = [];
    for (const step of steps) {
      const begin = Math.max(0, ...step.plan.after.map((index) => ends[index] ?? 0));
      ends.push(begin + this.context.runTimes.expectedMillis(step));
    }
    return Math.max(0, ...ends);
  }

  /** The service's forecast; its look at what runs and waits is at most `REFRESH_MILLIS` old. */
  private forecastOf(service: string): ServiceForecast {
    const { now } = this.context;
    const known = this.services.get(service);
    if (known !== undefined && !hasPassed(known.until, now)) {
      return known.forecast;
    }
    const forecast = known?.forecast ?? this.unknownForecast();
    forecast.refresh(this.workersOf(service), this.readyStepsOf(service));
    this.services.set(service, { forecast, until: deadlineAfter(now, REFRESH_MILLIS) });
    return forecast;
  }

  /** The same, without an effect on the look that serves the decisions. */
  private newForecastOf(service: string): ServiceForecast {
    const forecast = this.services.get(service)?.forecast ?? this.unknownForecast();
    return forecast.renewed(this.workersOf(service), this.readyStepsOf(service));
  }

  private unknownForecast(): ServiceForecast {
    return new ServiceForecast(this.context, this.lentRoom !== undefined);
  }

  private readyStepsOf(service: string): Step[] {
    return [...this.readySteps].filter(({ job }) => job.queue.service === service);
  }

  private workersOf(service: string): Worker[] {
    const { fleet, currentIncarnations } = this.context;
    return fleet.placeable
      .filter((registration) => registration.service === service)
      .flatMap(({ id }) => currentIncarnations.get(id) ?? []);
  }
}

function isTeamAtLimit(context: JobContext, { team, steps }: JobPlan): boolean {
  const [first] = steps;
  return first !== undefined && context.startableByTeam(team, allocationOf(first), 1) === 0;
}

/** The steps that the job would have. */
function stepsOf(
  plan: JobPlan,
  queue: JobQueue,
  isExcess: boolean,
  { wall }: JobContext,
): readonly Step[] {
  const job = newJob(plan, queue, wall);
  job.isExcess = isExcess;
  return newOccurrence(job, plan, 0).steps;
}

/** Demand of the steps with the same number of steps before them, of those that need most. */
function widestOf(steps: readonly Step[], demands: readonly Demand[]): Demand {
  const levels: number[] = [];
  const byLevel = new Map<number, Demand>();
  steps.forEach(({ plan }, index) => {
    const level = Math.max(0, ...plan.after.map((earlier) => (levels[earlier] ?? 0) + 1));
    levels.push(level);
    byLevel.set(level, sumOf([byLevel.get(level) ?? NO_DEMAND, demands[index] ?? NO_DEMAND]));
  });
  return [...byLevel.values()].reduce(
    (most, demand) => (demand.millicores > most.millicores ? demand : most),
    NO_DEMAND,
  );
}

/** How long a call for advice takes for the step. */
function adviceMillisOf({ job, plan }: Step, workers: number): number {
  const { advice } = job.queue;
  if (advice === undefined) {
    return 0;
  }
  const wanted = Math.max(MIN_ADVICE_WORKERS, SPARE_FACTOR * plan.count);
  const named = Math.min(workers, MAX_ADVICE_WORKERS, wanted);
  return advice.baseMillis + advice.perWorkerMillis * named;
}

/**
 * When tasks start that have room from then on. Advice comes while they wait for room; that of a gang must
 * name workers that have room at the same time, so that it takes another call.
 */
function afterAdvice(
  at: Deadline,
  adviceMillis: number,
  { plan }: Step,
  { now }: JobContext,
): Deadline {
  if (at === NEVER) {
    return NEVER;
  }
  const advisedAt = deadlineAfter(now, adviceMillis);
  return plan.isGang ? deadlineAfter(now, at - now + adviceMillis) : later(at, advisedAt);
}
