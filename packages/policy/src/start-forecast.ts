/**
 * Forecasts when work that arrives now could start, from what is free, when running work ends, and what waits
 * before it. Guards against work that is taken in while a queue is already longer than its caller waits: on an
 * overloaded fleet it would start seconds after it is of use, or never.
 */

import { brandAs } from '@bamboowell/types/ids';
import { NEVER, deadlineAfter, type Deadline, type Instant } from '@bamboowell/types/time';

/** Nothing is forecast further ahead than this, milliseconds: no objective is as long. */
const HORIZON_MILLIS = 60_000;
/** A forecast is exact to this, milliseconds: finer than the interval of placement under load. */
const PRECISION_MILLIS = 5;
/** Shorter run times count as this, milliseconds: a start and an end take about as long. */
const MIN_RUN_MILLIS = 50;

/** Processor time, thousandths of a core, that is expected to be free from then on. */
export interface CapacityEnd {
  readonly at: Deadline;
  readonly millicores: number;
}

/** The capacity that running work frees, by time; built once for many forecasts. */
export class FreedCapacity {
  private readonly instants: number[] = [];
  /** Sum of the amounts up to and including each instant. */
  private readonly sums: number[] = [];

  constructor(ends: readonly CapacityEnd[]) {
    let sum = 0;
    const sorted = ends.filter(({ at }) => at !== NEVER).sort((left, right) => left.at - right.at);
    for (const { at, millicores } of sorted) {
      sum += millicores;
      this.instants.push(at);
      this.sums.push(sum);
    }
  }

  get total(): number {
    return this.sums.at(-1) ?? 0;
  }

  /** When the last of it is free; the earliest instant if there is none. */
  get lastAt(): number {
    return this.instants.at(-1) ?? 0;
  }

  /** What is freed at `at` or before. */
  until(at: number): number {
    let low = 0;
    let high = this.instants.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.instants[middle] ?? 0) <= at) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low === 0 ? 0 : (this.sums[low - 1] ?? 0);
  }
}

/** The room of the workers that may run the work. Amounts are processor time, thousandths of a core. */
export interface Room {
  /** What tasks of the arriving work's size can use now. */
  readonly free: number;
  readonly freed: FreedCapacity;
  /** Fraction of what is freed that tasks of this size can use; the rest is too small for one. */
  readonly usableFraction: number;
}

/** What goes before the arriving work. */
export interface Competition {
  /** Demand that waits, thousandths of a core. */
  readonly waitingMillicores: number;
  /** Fraction of what is freed that work takes which has yet to arrive. */
  readonly arrivingFraction: number;
  /** Mean run time, by demand, of the work that starts until then, milliseconds. */
  readonly meanRunMillis: number;
}

/** Demand of the arriving work, thousandths of a core. */
export interface ArrivingDemand {
  readonly firstTask: number;
  readonly whole: number;
  /** Whether its tasks start only all together. */
  readonly isGang: boolean;
}

/** `NEVER` if it is further ahead than can be forecast. */
export interface StartForecast {
  readonly first: Deadline;
  readonly last: Deadline;
}

/**
 * When the first and the last task could start. What waits before takes what is free and what running work
 * frees, in order of time; whatever starts frees its room again after the mean run time. So demand beyond all
 * of today's capacity waits for its turnover.
 */
export function forecastStart(
  demand: ArrivingDemand,
  room: Room,
  competition: Competition,
  now: Instant,
): StartForecast {
  const { waitingMillicores } = competition;
  const wanted = waitingMillicores + demand.whole;
  // A gang's own tasks don't end before the last one starts.
  const turnover = demand.isGang ? waitingMillicores : Number.POSITIVE_INFINITY;
  const last = availableAt(wanted, turnover, room, competition, now);
  const first = demand.isGang
    ? last
    : availableAt(waitingMillicores + demand.firstTask, turnover, room, competition, now);
  return { first, last };
}

/**
 * When so much has been available in all.
 *
 * @param turnover the most that may be used more than once.
 */
function availableAt(
  wanted: number,
  turnover: number,
  room: Room,
  competition: Competition,
  now: Instant,
): Deadline {
  if (wanted <= room.free) {
    return deadlineAfter(now, 0);
  }
  const isEnough = (millis: number): boolean =>
    availableWithin(millis, turnover, room, competition, now) >= wanted;
  if (!isEnough(HORIZON_MILLIS)) {
    return NEVER;
  }
  let tooSoon = 0;
  let enough = HORIZON_MILLIS;
  while (enough - tooSoon > PRECISION_MILLIS) {
    const middle = (tooSoon + enough) / 2;
    if (isEnough(middle)) {
      enough = middle;
    } else {
      tooSoon = middle;
    }
  }
  return brandAs<Deadline>(Math.ceil(now + enough));
}

/** All that becomes available within the time, capacity that is used in turn counted each time. */
function availableWithin(
  millis: number,
  turnover: number,
  { free, freed, usableFraction }: Room,
  { arrivingFraction, meanRunMillis }: Competition,
  now: Instant,
): number {
  const freedWithin = (span: number): number => usableFraction * freed.until(now + span);
  const runMillis = Math.max(MIN_RUN_MILLIS, meanRunMillis);
  const lastMillis = Math.max(0, freed.lastAt - now);
  const whole = free + usableFraction * freed.total;
  // Turns in which all of today's capacity has been freed need no look at the ends.
  const wholeTurns = Math.max(0, Math.floor((millis - lastMillis) / runMillis));
  let again = wholeTurns * whole;
  for (let before = (wholeTurns + 1) * runMillis; before <= millis; before += runMillis) {
    again += free + freedWithin(millis - before);
  }
  const remainingFraction = Math.max(0, 1 - arrivingFraction);
  return free + remainingFraction * (freedWithin(millis) + Math.min(turnover, again));
}
