/** Judges what workers recorded against what must always hold. */

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

/** What callers were told, as far as it can be judged by runs. */
export interface ReportedWork {
  /** Work that was accepted, answered or may have run. Nothing else may have run. */
  readonly mayHaveRun: ReadonlySet<WorkId>;
  /** Work that was told to be "not run" after it had been accepted, as by a cancellation. */
  readonly neverRan: ReadonlySet<WorkId>;
  /** Work that runs at most once. */
  readonly atMostOnce: ReadonlySet<WorkId>;
}

/** One sentence for each thing that must always hold and did not. */
export function findFaults(
  records: readonly WorkerRecord[],
  told: ReportedWork,
  limits: ReadonlyMap<TeamId, Resources>,
): string[] {
  const runs = records.flatMap((record) => record.runs);
  return [
    ...records.flatMap(overcommitsOf),
    ...records.flatMap(oldEpochsOf),
    ...[...groupBy(runs, taskOf)].flatMap(([task, group]) => doublesOf(task, group)),
    ...[...groupBy(runs, teamOf)].flatMap(([team, group]) => excessOf(team, group, limits)),
    ...[...groupBy(runs, taskOf)].flatMap(([task, group]) => repeatsOf(task, group, told)),
    ...[...groupBy(runs, workOf).keys()].flatMap((work) => untruthsOf(work, told)),
  ];
}

function overcommitsOf({ worker, capacity, runs }: WorkerRecord): string[] {
  return fits(highestUse(runs), capacity) ? [] : [`worker ${worker} was overcommitted`];
}

/** A worker starts nothing of an epoch that is lower than one that it has started for. */
function oldEpochsOf({ worker, runs }: WorkerRecord): string[] {
  const late = runs.filter(({ epoch }, index) =>
    runs.slice(0, index).some((earlier) => earlier.epoch > epoch),
  );
  return late.map(({ attempt }) => `worker ${worker} started ${attempt} of an old epoch`);
}

function doublesOf(task: TaskId, runs: readonly Run[]): string[] {
  const ordered = [...runs].sort((left, right) => left.startedWallMillis - right.startedWallMillis);
  const overlaps = ordered.some(({ startedWallMillis }, index) =>
    ordered.slice(0, index).some((earlier) => endOf(earlier) > startedWallMillis),
  );
  return overlaps ? [`task ${task} ran in two places at once`] : [];
}

function excessOf(
  team: TeamId,
  runs: readonly Run[],
  limits: ReadonlyMap<TeamId, Resources>,
): string[] {
  const limit = limits.get(team) ?? NO_RESOURCES;
  return fits(highestUse(runs), limit) ? [] : [`team ${team} ran more than its limit`];
}

function repeatsOf(
  task: TaskId,
  runs: readonly Run[],
  { atMostOnce: once }: ReportedWork,
): string[] {
  return once.has(workOfTask(task)) && runs.length > 1
    ? [`task ${task} is not idempotent and ran ${runs.length} times`]
    : [];
}

function untruthsOf(work: WorkId, { mayHaveRun: known, neverRan }: ReportedWork): string[] {
  return known.has(work) && !neverRan.has(work) ? [] : [`work ${work} ran against what was told`];
}

/** The highest use in each dimension. At one instant, ends count before starts. */
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
    highest = larger(highest, used);
  }
  return highest;
}

function larger(left: Resources, right: Resources): Resources {
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
