/** What jobs of steps are worth under two orders, and what a pass of placement costs. */

import type { Step } from '@bamboowell/jobs/model';
import { JobOrdering, SmallestFirst } from '@bamboowell/jobs/ordering';
import { BOOKING_KINDS, jobArrivals, type JobArrival } from './job-demand.js';
import { JobModel, type JobModelResult } from './job-model.js';
import { rounded } from './line-fit.js';

const SEED = 20_261_204;
const LOADS = [0.8, 1.2];
const ARRIVAL_MILLIS = 20_000;
const USUAL_WORKERS = 33;
const USUAL_MEMBERS = 9;
/** Sizes for the cost of a pass: workers, with arrivals and members in proportion. */
const FLEETS = [33, 66, 132];
/** A late job is worth this part of one on time, until three times its objective. */
const LATE_PART = 0.2;
const LATE_FACTOR = 3;

/** As they came. */
class FirstComeJobs extends JobOrdering {
  sorted(steps: Iterable<Step>): Step[] {
    return [...steps].sort((left, right) => left.job.acceptedAt - right.job.acceptedAt);
  }
}

const ORDERINGS: readonly (readonly [string, () => JobOrdering])[] = [
  ['smallest first', () => new SmallestFirst()],
  ['first come, first served', () => new FirstComeJobs()],
];

export function measureJobs(): object {
  return {
    seed: SEED,
    orders: LOADS.flatMap((load) => ORDERINGS.map(([name, make]) => ofOrder(name, make(), load))),
    passes: FLEETS.map(ofFleet),
  };
}

function ofOrder(name: string, ordering: JobOrdering, load: number): object {
  const arrivals = jobArrivals(BOOKING_KINDS, load, ARRIVAL_MILLIS, SEED);
  const result = play(arrivals, ordering, 1);
  const kinds = BOOKING_KINDS.map(({ name: kind }) => {
    const ofKind = arrivals.filter((arrival) => arrival.kind.name === kind);
    return [kind, rounded(worthOf(ofKind, result))] as const;
  });
  return {
    name,
    load,
    worth: rounded(worthOf(arrivals, result)),
    ...Object.fromEntries(kinds),
    adviceCalls: result.adviceCalls,
    jobs: arrivals.length,
  };
}

function ofFleet(workers: number): object {
  const scale = workers / USUAL_WORKERS;
  const arrivals = jobArrivals(BOOKING_KINDS, scale, ARRIVAL_MILLIS, SEED);
  const { passes, passMicros, starts } = play(arrivals, new SmallestFirst(), scale);
  return {
    workers,
    startsEachSecond: rounded(starts / (ARRIVAL_MILLIS / 1000)),
    passes,
    microsEachPass: rounded(passMicros / passes),
    microsEachStart: rounded(passMicros / starts),
  };
}

function play(
  arrivals: readonly JobArrival[],
  ordering: JobOrdering,
  scale: number,
): JobModelResult {
  const workers = Math.round(USUAL_WORKERS * scale);
  const members = Math.round(USUAL_MEMBERS * scale);
  return new JobModel({ kinds: BOOKING_KINDS, arrivals, ordering, workers, members }).run();
}

/** Part of the worth of all jobs that was earned: all on time is 1. */
export function worthOf(arrivals: readonly JobArrival[], { endedAfter }: JobModelResult): number {
  let earned = 0;
  let owed = 0;
  for (const arrival of arrivals) {
    const { worth } = arrival.kind;
    const millis = endedAfter.get(arrival.plan.id) ?? Number.POSITIVE_INFINITY;
    const objective = objectiveOf(arrival);
    owed += worth;
    if (millis <= objective) {
      earned += worth;
    } else if (millis <= LATE_FACTOR * objective) {
      earned += LATE_PART * worth;
    }
  }
  return owed === 0 ? 1 : earned / owed;
}

/** By what the tasks take, not by the estimate. */
function objectiveOf({ kind, runMillis }: JobArrival): number {
  const chain = runMillis.reduce((sum, step) => sum + Math.max(...step), 0);
  return kind.objectiveFactor * chain + kind.targetLatencyMillis;
}
