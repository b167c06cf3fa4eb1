/** Checks the runs that workers recorded against invariants and against what callers were told. */

import {
  taskOfAttempt,
  teamOfWork,
  workOfTask,
  type TaskId,
  type TeamId,
  type WorkId,
} from '@bamboowell/types/ids';
import {
  add,
  fits,
  NO_RESOURCES,
  resourcesOf,
  subtract,
  type Resources,
} from '@bamboowell/types/resources';
import type { Run, WorkerRecord } from './worker-control.fixture.js';

/** What callers were told about work, as far as recorded runs can contradict it. */
export interface ReportedWork {
  /**
   * Work that was accepted or answered, or that may have run by its verdict. No other work may have
   * run.
   */
  readonly mayHaveRun: ReadonlySet<WorkId>;
  /** Work with the verdict "not run" after it had been accepted, such as that of a cancellation. */
  readonly neverRan: ReadonlySet<WorkId>;
  /** Work that must not run more than once. */
  readonly atMostOnce: ReadonlySet<WorkId>;
}

/** Returns one sentence for each violated invariant. */
export function findViolations(
  records: readonly WorkerRecord[],
  reported: ReportedWork,
  limits: ReadonlyMap<TeamId, Resources>,
): string[] {
  const runs = records.flatMap((record) => record.runs);
  return [
    ...records.flatMap(overcommitsOf),
    ...records.flatMap(oldEpochsOf),
    ...[...groupBy(runs, taskOf)].flatMap(([task, group]) => overlapsOf(task, group)),
    ...[...groupBy(runs, teamOf)].flatMap(([team, group]) => limitExcessOf(team, group, limits)),
    ...[...groupBy(runs, taskOf)].flatMap(([task, group]) => repeatsOf(task, group, reported)),
    ...[...groupBy(runs, workOf).keys()].flatMap((work) => contradictionsOf(work, reported)),
  ];
}

function overcommitsOf({ worker, capacity, runs }: WorkerRecord): string[] {
  return fits(highestUse(runs), capacity) ? [] : [`worker ${worker} was overcommitted`];
}

/** A worker must not start an attempt of a lower epoch than that of an earlier start. */
function oldEpochsOf({ worker, runs }: WorkerRecord): string[] {
  const late = runs.filter(({ epoch }, index) =>
    runs.slice(0, index).some((earlier) => earlier.epoch > epoch),
  );
  return late.map(({ attempt }) => `worker ${worker} started ${attempt} of an old epoch`);
}

function overlapsOf(task: TaskId, runs: readonly Run[]): string[] {
  const ordered = [...runs].sort((left, right) => left.startedWallMillis - right.startedWallMillis);
  const overlaps = ordered.some(({ startedWallMillis }, index) =>
    ordered.slice(0, index).some((earlier) => endOf(earlier) > startedWallMillis),
  );
  return overlaps ? [`task ${task} ran in two places at once`] : [];
}

function limitExcessOf(
  team: TeamId,
  runs: readonly Run[],
  limits: ReadonlyMap<TeamId, Resources>,
): string[] {
  const limit = limits.get(team) ?? NO_RESOURCES;
  return fits(highestUse(runs), limit) ? [] : [`team ${team} ran more than its limit`];
}

function repeatsOf(task: TaskId, runs: readonly Run[], { atMostOnce }: ReportedWork): string[] {
  return atMostOnce.has(workOfTask(task)) && runs.length > 1
    ? [`task ${task} is not idempotent and ran ${runs.length} times`]
    : [];
}

function contradictionsOf(work: WorkId, { mayHaveRun, neverRan }: ReportedWork): string[] {
  return mayHaveRun.has(work) && !neverRan.has(work)
    ? []
    : [`work ${work} ran, contrary to what callers were told`];
}

/** The peak use in each dimension. At one instant, ends are counted before starts. */
function highestUse(runs: readonly Run[]): Resources {
  const changes = runs.flatMap((run) => [
    { at: run.startedWallMillis, order: 1, demand: run.demand },
    { at: endOf(run), order: 0, demand: subtract(NO_RESOURCES, run.demand) },
  ]);
  changes.sort((left, right) => left.at - right.at || left.order - right.order);
  let used = NO_RESOURCES;
  let highest = NO_RESOURCES;
  for (const { demand } of changes) {
    used = add(used, demand);
    highest = maxOf(highest, used);
  }
  return highest;
}

function maxOf(left: Resources, right: Resources): Resources {
  return resourcesOf((dimension) => Math.max(left[dimension], right[dimension]));
}

function endOf({ endedWallMillis }: Run): number {
  return endedWallMillis ?? Infinity;
}

function taskOf({ attempt }: Run): TaskId {
  return taskOfAttempt(attempt);
}

function workOf(run: Run): WorkId {
  return workOfTask(taskOf(run));
}

function teamOf(run: Run): TeamId {
  return teamOfWork(workOf(run));
}

function groupBy<Item, Key>(
  items: readonly Item[],
  keyOf: (item: Item) => Key,
): ReadonlyMap<Key, readonly Item[]> {
  const groups = new Map<Key, Item[]>();
  for (const item of items) {
    const key = keyOf(item);
    groups.set(key, [...(groups.get(key) ?? []), item]);
  }
  return groups;
}
