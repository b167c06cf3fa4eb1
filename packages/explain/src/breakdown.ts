/** Where the time of many jobs went, by queue and by the time at which they came. */

import { build as buildHistogram } from 'hdr-histogram-js';
import type { LoggedEvent } from '@bamboowell/logger/parse-line';
import { MILLIS_PER_SECOND } from '@bamboowell/types/time';
import { sortedByTime, taskTimesOf, fieldOf, totalMillisOf, type TaskTimes } from './phases.js';

/** What became of one job. */
interface JobTimes {
  readonly queue: string;
  readonly takenAt: number;
  readonly isExcess: boolean;
  /** As the owner logged it; `open` if it did not end. */
  readonly state: string;
  /** From acceptance to the end; absent while it is open. */
  readonly totalMillis: number | undefined;
  readonly slowest: TaskTimes | undefined;
  readonly lostCauses: readonly string[];
}

/** A group of jobs. Times are milliseconds; those of phases are means over the slowest task of each job. */
export interface GroupBreakdown {
  readonly jobs: number;
  readonly completed: number;
  readonly failed: number;
  readonly cancelled: number;
  readonly open: number;
  /** Jobs beyond the promised rate of their team. */
  readonly excess: number;
  /** Half of the completed jobs took less. */
  readonly halfMillis: number;
  /** 95 of 100 completed jobs took less. */
  readonly lateMillis: number;
  readonly adviceMillis: number;
  readonly roomMillis: number;
  readonly runMillis: number;
  readonly lostMillis: number;
  /** How many runs did not end well, by cause. */
  readonly lostRuns: ReadonlyMap<string, number>;
}

export interface Breakdown {
  readonly byQueue: ReadonlyMap<string, GroupBreakdown>;
  /** By the seconds since the first job at which a window begins. */
  readonly byWindow: ReadonlyMap<number, GroupBreakdown>;
  /** Answers to requests, by outcome. */
  readonly answers: ReadonlyMap<string, number>;
}

export function breakdownOf(
  jobs: ReadonlyMap<string, readonly LoggedEvent[]>,
  windowSeconds: number,
): Breakdown {
  const times = [...jobs.values()].flatMap((events) => timesOf(events) ?? []);
  const from = times.reduce((least, { takenAt }) => Math.min(least, takenAt), Infinity);
  const windowOf = ({ takenAt }: JobTimes): number =>
    Math.floor((takenAt - from) / (windowSeconds * MILLIS_PER_SECOND)) * windowSeconds;
  return {
    byQueue: grouped(times, ({ queue }) => queue),
    byWindow: grouped(times, windowOf),
    answers: countOf(
      [...jobs.values()]
        .flat()
        .filter(({ name }) => name === 'request.answered')
        .map((event) => fieldOf(event, 'outcome')),
    ),
  };
}

/** Nothing for a job that no owner took. */
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

function grouped<Key extends string | number>(
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
  return new Map(sorted.map(([key, members]) => [key, groupOf(members)]));
}

function groupOf(jobs: readonly JobTimes[]): GroupBreakdown {
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
    lostRuns: countOf(jobs.flatMap(({ lostCauses }) => lostCauses)),
  };
}

function countOf(names: readonly string[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const name of names) {
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return counts;
}
