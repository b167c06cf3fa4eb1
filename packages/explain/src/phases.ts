/**
 * Splits the time of a task into phases: waiting for advice, waiting for room on a worker, running,
 * and lost runs.
 */

import type { LoggedEvent } from '@bamboowell/logger/parse-line';

/** How long one task spent in each phase. */
export interface TaskTimes {
  readonly task: string;
  /**
   * From when an owner took the job, or from the end of the tasks that its step waits for, until its
   * step had advice.
   */
  readonly adviceMillis: number;
  /**
   * From the advice until the placement of the run that succeeded, less the time of the runs before
   * it.
   */
  readonly roomMillis: number;
  readonly runMillis: number;
  /** Time of the runs that did not succeed, each from its placement to its end. */
  readonly lostMillis: number;
  readonly lostRuns: readonly LostRun[];
  /** Whether one of its runs succeeded. */
  readonly isDone: boolean;
}

/** A run that ended without success. */
export interface LostRun {
  readonly run: string;
  readonly worker: string;
  /** Such as `failed`, `lapsed` or `no_room`. */
  readonly cause: string;
}

/**
 * Events that end a run without success, and the field with the cause; `run.stalled` has no such
 * field.
 */
const CAUSE_FIELDS: ReadonlyMap<string, string> = new Map([
  ['run.lost', 'reason'],
  ['start.rejected', 'reason'],
  ['run.stalled', ''],
]);

interface Placement {
  readonly at: number;
  readonly run: string;
  readonly worker: string;
}

/** The tasks of the job in the order in which they were first placed. */
export function taskTimesOf(events: readonly LoggedEvent[]): TaskTimes[] {
  const takenAt = events.find(({ name }) => name === 'job.taken')?.at ?? events[0]?.at ?? 0;
  const tasks = new Set(
    events.filter(({ name }) => name === 'task.placed').map((event) => fieldOf(event, 'task')),
  );
  return [...tasks].map((task) => timesOf(task, events, takenAt));
}

function timesOf(task: string, events: readonly LoggedEvent[], takenAt: number): TaskTimes {
  const step = task.slice(0, task.lastIndexOf('.'));
  const advisedAt = events.find(
    (event) => event.name === 'advice.taken' && fieldOf(event, 'step') === step,
  )?.at;
  const taskEvents = events.filter((event) => fieldOf(event, 'task') === task);
  const firstPlacedAt = taskEvents.find(({ name }) => name === 'task.placed')?.at ?? takenAt;
  const readyAt = readyAtOf(step, events, takenAt, firstPlacedAt);
  const adviceEndAt = Math.min(firstPlacedAt, Math.max(readyAt, advisedAt ?? readyAt));
  const runs = runsOf(taskEvents);
  const runsMillis = runs.lostMillis + runs.runMillis;
  const endAt = taskEvents.at(-1)?.at ?? firstPlacedAt;
  return {
    task,
    adviceMillis: adviceEndAt - readyAt,
    roomMillis: Math.max(0, endAt - adviceEndAt - runsMillis),
    ...runs,
  };
}

/**
 * Returns when the step became ready. No event says so: it is the time at which the last task of
 * another step ended before the first placement, or else the time at which the job was taken.
 */
function readyAtOf(
  step: string,
  events: readonly LoggedEvent[],
  takenAt: number,
  firstPlacedAt: number,
): number {
  const earlier = events.filter(
    (event) =>
      event.name === 'task.ended' &&
      event.at <= firstPlacedAt &&
      fieldOf(event, 'end') === 'done' &&
      !fieldOf(event, 'task').startsWith(`${step}.`),
  );
  return Math.max(takenAt, ...earlier.map(({ at }) => at));
}

function runsOf(taskEvents: readonly LoggedEvent[]) {
  const lostRuns: LostRun[] = [];
  let placed: Placement | undefined;
  let lostMillis = 0;
  let runMillis = 0;
  let isDone = false;
  for (const event of taskEvents) {
    if (event.name === 'task.placed') {
      placed = { at: event.at, run: fieldOf(event, 'run'), worker: fieldOf(event, 'worker') };
      continue;
    }
    if (placed?.run !== fieldOf(event, 'run')) {
      continue;
    }
    const cause = causeOf(event);
    if (event.name === 'task.ended' && cause === 'done') {
      runMillis += event.at - placed.at;
      isDone = true;
    } else if (cause !== undefined) {
      lostMillis += event.at - placed.at;
      lostRuns.push({ run: placed.run, worker: placed.worker, cause });
    } else {
      continue;
    }
    placed = undefined;
  }
  return { runMillis, lostMillis, lostRuns, isDone };
}

/** Returns how the run ended, such as `done` or `lapsed`; undefined if the event doesn't end it. */
function causeOf(event: LoggedEvent): string | undefined {
  if (event.name === 'task.ended') {
    return fieldOf(event, 'end');
  }
  const field = CAUSE_FIELDS.get(event.name);
  if (field === undefined) {
    return undefined;
  }
  return field === '' ? 'stalled' : fieldOf(event, field);
}

export function fieldOf({ fields }: LoggedEvent, key: string): string {
  return fields.get(key) ?? '';
}

export function totalMillisOf({
  adviceMillis,
  roomMillis,
  runMillis,
  lostMillis,
}: TaskTimes): number {
  return adviceMillis + roomMillis + runMillis + lostMillis;
}

/**
 * Sorts events by their timestamps. The sort is stable, and each member logs its own events in
 * order.
 */
export function sortedByTime(events: readonly LoggedEvent[]): LoggedEvent[] {
  return [...events].sort((left, right) => left.at - right.at);
}
