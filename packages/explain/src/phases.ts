/** Splits the time of a job into what it waited for. */

import type { LoggedEvent } from '@bamboowell/logger/parse-line';

/** Where the time of one task went, milliseconds. */
export interface TaskTimes {
  readonly task: string;
  /** From acceptance, or from the end of what its step waits for, until there was advice. */
  readonly adviceMillis: number;
  /** From the advice until the run that ended well was placed, without the runs between. */
  readonly roomMillis: number;
  readonly runMillis: number;
  /** Runs that did not end well, from their placement to their end. */
  readonly lostMillis: number;
  readonly lostRuns: readonly LostRun[];
  /** Whether a run ended well. */
  readonly isDone: boolean;
}

export interface LostRun {
  readonly run: string;
  readonly worker: string;
  /** Such as `failed`, `lapsed` or `no_room`. */
  readonly cause: string;
}

/** Events that end a run without success, and the field that says why. */
const LOSSES: ReadonlyMap<string, string> = new Map([
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
  const own = events.filter((event) => fieldOf(event, 'task') === task);
  const firstPlacedAt = own.find(({ name }) => name === 'task.placed')?.at ?? takenAt;
  const readyAt = readyAtOf(step, events, takenAt, firstPlacedAt);
  const adviceUntil = Math.min(firstPlacedAt, Math.max(readyAt, advisedAt ?? readyAt));
  const runs = runsOf(own);
  const spent = runs.lostMillis + runs.runMillis;
  const endAt = own.at(-1)?.at ?? firstPlacedAt;
  return {
    task,
    adviceMillis: adviceUntil - readyAt,
    roomMillis: Math.max(0, endAt - adviceUntil - spent),
    ...runs,
  };
}

/** When the last task before the step's first one ended, if one did; a step has no line of its own. */
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

function runsOf(own: readonly LoggedEvent[]) {
  const lostRuns: LostRun[] = [];
  let placed: Placement | undefined;
  let lostMillis = 0;
  let runMillis = 0;
  let isDone = false;
  for (const event of own) {
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

/** Why the run is over; absent if the event doesn't end it. */
function causeOf(event: LoggedEvent): string | undefined {
  if (event.name === 'task.ended') {
    return fieldOf(event, 'end');
  }
  const field = LOSSES.get(event.name);
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

/** By the time of day; each member writes its own lines in order. */
export function sortedByTime(events: readonly LoggedEvent[]): LoggedEvent[] {
  return [...events].sort((left, right) => left.at - right.at);
}
