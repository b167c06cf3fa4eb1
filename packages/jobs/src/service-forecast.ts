/**
 * Forecasts the starts of arriving jobs of one service. What waits, what is free and when runs end is looked
 * at once for all jobs that arrive within a short time: hundreds arrive a second beside thousands of runs.
 */

import { forecastStart, type StartForecast } from '@bamboowell/policy/start-forecast';
import type { TeamId } from '@bamboowell/types/ids';
import { ArrivalRates } from './arrival-rates.js';
import type { JobContext } from './context.js';
import { allocationOf, type Step, type Worker } from './model.js';
import { bandOf } from './ordering.js';
import { RoomOutlook } from './room-outlook.js';
import {
  WaitingDemand,
  multiplyDemand,
  sumOf,
  waitingDemandOf,
  type Demand,
  type RankedDemand,
} from './waiting-demand.js';

/** An arriving job that is not accepted yet. */
export interface ArrivingJob {
  readonly isExcess: boolean;
  readonly team: TeamId | undefined;
  readonly priority: number;
  /** The step whose tasks start first. */
  readonly firstStep: Step;
  /** Demand of the steps that run at the same time, of those that need most. */
  readonly widest: Demand;
  /** Demand of all its steps. */
  readonly whole: Demand;
}

export interface JobForecast extends StartForecast {
  /** Whether all its tasks fit beside what goes before it, on what is free now. */
  readonly hasRoomNow: boolean;
}

/** Arrivals of all priorities go before excess. */
const EVERY_PRIORITY = Number.POSITIVE_INFINITY;

export class ServiceForecast {
  /** By label; the empty string stands for all workers of the service. */
  private outlooks = new Map<string, RoomOutlook>();
  private waiting = new WaitingDemand();
  private workers: readonly Worker[] = [];

  constructor(
    private readonly context: JobContext,
    /** Whether excess is shared between teams by weight. */
    private readonly isShared: boolean,
    private readonly promisedRates = new ArrivalRates(),
    private readonly excessRates = new ArrivalRates(),
  ) {}

  /** A new look at the service, which leaves this one as it is. */
  renewed(workers: readonly Worker[], readySteps: Iterable<Step>): ServiceForecast {
    const { context, isShared, promisedRates, excessRates } = this;
    const renewed = new ServiceForecast(context, isShared, promisedRates, excessRates);
    renewed.refresh(workers, readySteps);
    return renewed;
  }

  /** Looks at the service anew. */
  refresh(workers: readonly Worker[], readySteps: Iterable<Step>): void {
    this.workers = workers;
    this.outlooks = new Map();
    this.waiting = new WaitingDemand();
    for (const step of readySteps) {
      this.addWaiting(step);
    }
  }

  /** Undefined if the workers that are there can't hold the job. */
  forecast(job: ArrivingJob): JobForecast | undefined {
    const { context } = this;
    const { firstStep, isExcess, widest } = job;
    const { plan } = firstStep;
    const outlook = this.outlookOf(plan.neededLabel);
    const demand = allocationOf(plan);
    const fitting = outlook.tasksThatFit(demand, plan.maxPerWorker);
    if (fitting === 0 || (plan.isGang && fitting < plan.count)) {
      return undefined;
    }
    const ahead = this.demandAhead(job, outlook);
    const room = outlook.roomFor(demand, plan.maxPerWorker, isExcess);
    const starting = sumOf([ahead, widest]);
    const competition = {
      waitingMillicores: ahead.millicores,
      arrivingFraction: this.usageByArrivals(job) / outlook.millicores,
      meanRunMillis: starting.work / Math.max(1, starting.millicores),
    };
    const arriving = {
      firstTask: demand.millicores,
      whole: widest.millicores,
      isGang: plan.isGang,
    };
    const hasRoomNow = starting.millicores <= room.free;
    return { ...forecastStart(arriving, room, competition, context.now), hasRoomNow };
  }

  /** Counts a job that was accepted, until and beyond the next look at the service. */
  recordAccepted({ isExcess, team, priority, firstStep, widest, whole }: ArrivingJob): void {
    const band = isExcess ? 2 : 0;
    const label = firstStep.plan.neededLabel;
    this.waiting.add({ band, priority, team, label }, widest);
    const rates = isExcess ? this.excessRates : this.promisedRates;
    rates.record(firstStep.job.queue, whole, this.context.now);
  }

  private addWaiting(step: Step): void {
    const { context } = this;
    const demand = waitingDemandOf(step, context.runTimes.expectedMillis(step));
    if (
      demand.millicores === 0 ||
      context.obstacleOf(step) !== undefined ||
      context.isWaitingForTeamLimit(step)
    ) {
      // It needs no room, or leaves it to others.
      return;
    }
    const { team } = step.job.plan ?? {};
    const band = bandOf(step, context);
    const { priority } = step.job.queue;
    this.waiting.add({ band, priority, team, label: step.plan.neededLabel }, demand);
  }

  private outlookOf(label: string | undefined): RoomOutlook {
    const key = label ?? '';
    const known = this.outlooks.get(key);
    if (known !== undefined) {
      return known;
    }
    const workers = this.workers.filter(
      ({ registration }) => label === undefined || registration.labels.includes(label),
    );
    const outlook = new RoomOutlook(workers, this.context.now);
    this.outlooks.set(key, outlook);
    return outlook;
  }

  private demandAhead(job: ArrivingJob, outlook: RoomOutlook): Demand {
    if (!job.isExcess || !this.isShared) {
      return this.matching(outlook, job, (demand) => isAhead(demand, job));
    }
    // The team gets its part of what all teams with waiting excess get together, however much the others wait for.
    const promised = this.matching(outlook, job, ({ band }) => band < 2);
    const all = this.matching(outlook, job, ({ band }) => band >= 2);
    const own = this.matching(outlook, job, ({ band, team }) => band >= 2 && team === job.team);
    const share = this.shareOf(job);
    const isSmaller = own.millicores < share * all.millicores;
    const excess = isSmaller ? multiplyDemand(own, 1 / share) : all;
    return sumOf([promised, excess]);
  }

  /** The team's weight as a fraction of that of all teams with excess that waits, itself included. */
  private shareOf({ team: own }: ArrivingJob): number {
    const weightOf = (team: TeamId | undefined): number =>
      team === undefined ? 0 : (this.context.team(team)?.weight ?? 0);
    const teams = new Set([...this.waiting.teamsOf(2), own]);
    const weights = [...teams].reduce((sum, team) => sum + weightOf(team), 0);
    return weights === 0 ? 1 : weightOf(own) / weights;
  }

  private matching(
    outlook: RoomOutlook,
    job: ArrivingJob,
    isCounted: (demand: RankedDemand) => boolean,
  ): Demand {
    const { neededLabel } = job.firstStep.plan;
    if (neededLabel === undefined) {
      return this.waiting.matching(isCounted);
    }
    // Work that any worker can run is taken to be spread over all of them.
    const share = outlook.millicores / Math.max(1, this.outlookOf(undefined).millicores);
    const same = this.waiting.matching(
      (demand) => demand.label === neededLabel && isCounted(demand),
    );
    const anywhere = this.waiting.matching(
      (demand) => demand.label === undefined && isCounted(demand),
    );
    return sumOf([same, multiplyDemand(anywhere, share)]);
  }

  /** What work that arrives later and goes before the job takes all the time, thousandths of a core. */
  private usageByArrivals({ isExcess, priority }: ArrivingJob): number {
    const { now } = this.context;
    return isExcess
      ? this.promisedRates.usageBefore(EVERY_PRIORITY, now) +
          this.excessRates.usageBefore(priority, now)
      : this.promisedRates.usageBefore(priority, now);
  }
}

/**
 * Whether what waits goes before the arriving job: promised work by priority, all of it before excess, and
 * excess by priority and acceptance. What is too late goes before newer excess of its team.
 */
function isAhead({ band, priority, team }: RankedDemand, job: ArrivingJob): boolean {
  if (!job.isExcess) {
    return band === 0 && priority <= job.priority;
  }
  return band < 2 || (band === 2 ? priority <= job.priority : team === job.team);
}
