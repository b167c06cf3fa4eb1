/** Measures the worth that jobs earn under two orderings, and the cost of a placement pass. */

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
/** Workers for the cost of a pass; arrivals and members grow in proportion. */
const FLEETS = [33, 66, 132];
/** A late job earns this fraction of its worth, until LATE_FACTOR times its objective. */
const LATE_WORTH_FRACTION = 0.2;
const LATE_FACTOR = 3;

/** Orders the steps by when their jobs were accepted. */
class FirstComeFirstServedJobs extends JobOrdering {
  sorted(steps: Iterable<Step>): Step[] {
    return [...steps].sort((left, right) => left.job.acceptedAt - right.job.acceptedAt);
  }
}

const ORDERINGS: readonly (readonly [string, () => JobOrdering])[] = [
  ['smallest first', () => new SmallestFirst()],
  ['first come, first served', () => new FirstComeFirstServedJobs()],
];

export function measureJobs(): object {
  return {
    seed: SEED,
    orders: LOADS.flatMap((load) =>
      ORDERINGS.map(([name, make]) => measureOrdering(name, make(), load)),
    ),
    passes: FLEETS.map(measureFleet),
  };
}

function measureOrdering(name: string, ordering: JobOrdering, load: number): object {
  const arrivals = jobArrivals(BOOKING_KINDS, load, ARRIVAL_MILLIS, SEED);
  const result = runModel(arrivals, ordering, 1);
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

function measureFleet(workers: number): object {
  const scale = workers / USUAL_WORKERS;
  const arrivals = jobArrivals(BOOKING_KINDS, scale, ARRIVAL_MILLIS, SEED);
  const { passes, passMicros, starts } = runModel(arrivals, new SmallestFirst(), scale);
  return {
    workers,
    startsEachSecond: rounded(starts / (ARRIVAL_MILLIS / 1000)),
    passes,
    microsEachPass: rounded(passMicros / passes),
    microsEachStart: rounded(passMicros / starts),
  };
}

function runModel(
  arrivals: readonly JobArrival[],
  ordering: JobOrdering,
  scale: number,
): JobModelResult {
  const workers = Math.round(USUAL_WORKERS * scale);
  const members = Math.round(USUAL_MEMBERS * scale);
  return new JobModel({ kinds: BOOKING_KINDS, arrivals, ordering, workers, members }).run();
}

/** Fraction of the worth of all jobs that was earned; 1 if all are on time. */
export function worthOf(arrivals: readonly JobArrival[], { endedAfter }: JobModelResult): number {
  let earned = 0;
  let total = 0;
  for (const arrival of arrivals) {
    const { worth } = arrival.kind;
    const millis = endedAfter.get(arrival.plan.id) ?? Number.POSITIVE_INFINITY;
    const objective = objectiveOf(arrival);
    total += worth;
    if (millis <= objective) {
      earned += worth;
    } else if (millis <= LATE_FACTOR * objective) {
      earned += LATE_WORTH_FRACTION * worth;
    }
  }
  return total === 0 ? 1 : earned / total;
}

/** Time objective of a job, from the actual run times of its tasks, not from the estimate. */
export function objectiveOf({ kind, runMillis }: JobArrival): number {
  const criticalPathMillis = runMillis.reduce((sum, step) => sum + Math.max(...step), 0);
  return kind.objectiveFactor * criticalPathMillis + kind.targetLatencyMillis;
}
