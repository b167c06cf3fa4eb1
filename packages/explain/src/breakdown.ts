/**
 * Summarises how long jobs spent in each phase, by queue and by the time at which an owner took
 * them.
 */

import { build as buildHistogram } from 'hdr-histogram-js';
import type { LoggedEvent } from '@bamboowell/logger/parse-line';
import { MILLIS_PER_SECOND } from '@bamboowell/types/time';
import { sortedByTime, taskTimesOf, fieldOf, totalMillisOf, type TaskTimes } from './phases.js';

/** The times and the final state of one job. */
interface JobTimes {
  readonly queue: string;
  readonly takenAt: number;
  readonly isExcess: boolean;
  /** The state that the owner logged at the end of the job, or `open` if no end was logged. */
  readonly state: string;
  /** From when an owner took the job to its end; undefined while the job is open. */
  readonly totalMillis: number | undefined;
  readonly slowest: TaskTimes | undefined;
  readonly lostCauses: readonly string[];
}

/**
 * Counts and times of a group of jobs. The times of the phases, which `TaskTimes` describes, are
 * means over the slowest task of each completed job.
 */
export interface GroupBreakdown {
  readonly jobs: number;
  readonly completed: number;
  readonly failed: number;
  readonly cancelled: number;
  readonly open: number;
  /** Jobs that were taken while their team exceeded its promised rate. */
  readonly excess: number;
  /** Median time of the completed jobs. */
  readonly halfMillis: number;
  /** 95th percentile of the times of the completed jobs. */
  readonly lateMillis: number;
  readonly adviceMillis: number;
  readonly roomMillis: number;
  readonly runMillis: number;
  readonly lostMillis: number;
  /** Number of runs that ended without success, by cause. */
  readonly lostRuns: ReadonlyMap<string, number>;
}

export interface Breakdown {
  readonly byQueue: ReadonlyMap<string, GroupBreakdown>;
  /** By the start of the window, in seconds since the first job was taken. */
  readonly byWindow: ReadonlyMap<number, GroupBreakdown>;
  /** Number of answered requests, by outcome. */
  readonly answers: ReadonlyMap<string, number>;
}

export function breakdownOf(
  jobs: ReadonlyMap<string, readonly LoggedEvent[]>,
  windowSeconds: number,
): Breakdown {
  const times = [...jobs.values()].flatMap((events) => timesOf(events) ?? []);
  const firstTakenAt = times.reduce((least, { takenAt }) => Math.min(least, takenAt), Infinity);
  const windowOf = ({ takenAt }: JobTimes): number =>
    Math.floor((takenAt - firstTakenAt) / (windowSeconds * MILLIS_PER_SECOND)) * windowSeconds;
  return {
    byQueue: summariesBy(times, ({ queue }) => queue),
    byWindow: summariesBy(times, windowOf),
    answers: countByName(
      [...jobs.values()]
        .flat()
        .filter(({ name }) => name === 'request.answered')
        .map((event) => fieldOf(event, 'outcome')),
    ),
  };
}

/** Returns undefined if no event says that an owner took the job. */
function timesOf(lines: readonly LoggedEvent[]): JobTimes | undefined {
  const events = sortedByTime(lines);
  const taken = events.find(({ name }) => name === 'job.taken');
  if (taken === undefined) {
    return undefined;
  }
  const ended = events.find(({ name }) => name === 'job.ended');
  const tasks = taskTimesOf(events);
  return {
    queue: fieldOf(taken, 'queue'),
    takenAt: taken.at,
    isExcess: fieldOf(taken, 'excess') === 'true',
    state: ended === undefined ? 'open' : fieldOf(ended, 'state'),
    totalMillis: ended === undefined ? undefined : ended.at - taken.at,
    slowest: tasks.reduce<TaskTimes | undefined>(
      (most, next) =>
        most === undefined || totalMillisOf(next) > totalMillisOf(most) ? next : most,
      undefined,
    ),
    lostCauses: tasks.flatMap(({ lostRuns }) => lostRuns.map(({ cause }) => cause)),
  };
}

function summariesBy<Key extends string | number>(
  jobs: readonly JobTimes[],
  keyOf: (job: JobTimes) => Key,
): Map<Key, GroupBreakdown> {
  const groups = new Map<Key, JobTimes[]>();
  for (const job of jobs) {
    const key = keyOf(job);
    const group = groups.get(key);
    if (group === undefined) {
      groups.set(key, [job]);
    } else {
      group.push(job);
    }
  }
  const sorted = [...groups].sort(([left], [right]) => (left < right ? -1 : 1));
  return new Map(sorted.map(([key, jobsOfKey]) => [key, summaryOf(jobsOfKey)]));
}

function summaryOf(jobs: readonly JobTimes[]): GroupBreakdown {
  const inState = (state: string): JobTimes[] => jobs.filter((job) => job.state === state);
  const completed = inState('completed');
  const histogram = buildHistogram();
  completed.forEach(({ totalMillis = 0 }) => {
    histogram.recordValue(totalMillis);
  });
  const slowest = completed.flatMap((job) => job.slowest ?? []);
  const mean = (phase: (times: TaskTimes) => number): number =>
    slowest.length === 0
      ? 0
      : Math.round(slowest.reduce((sum, times) => sum + phase(times), 0) / slowest.length);
  return {
    jobs: jobs.length,
    completed: completed.length,
    failed: inState('failed').length,
    cancelled: inState('cancelled').length,
    open: inState('open').length,
    excess: jobs.filter(({ isExcess }) => isExcess).length,
    halfMillis: histogram.getValueAtPercentile(50),
    lateMillis: histogram.getValueAtPercentile(95),
    adviceMillis: mean(({ adviceMillis }) => adviceMillis),
    roomMillis: mean(({ roomMillis }) => roomMillis),
    runMillis: mean(({ runMillis }) => runMillis),
    lostMillis: mean(({ lostMillis }) => lostMillis),
    lostRuns: countByName(jobs.flatMap(({ lostCauses }) => lostCauses)),
  };
}

function countByName(names: readonly string[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const name of names) {
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return counts;
}
