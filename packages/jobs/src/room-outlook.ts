/** What is free on the workers that may run a kind of work, and what running work frees there and when. */

import { FreedCapacity, type CapacityEnd, type Room } from '@bamboowell/policy/start-forecast';
import { NO_RESOURCES, add, subtract, type Resources } from '@bamboowell/types/resources';
import type { Instant } from '@bamboowell/types/time';
import { countFitting } from './available-workers.js';
import { allocationOf, type Worker } from './model.js';
import { expectedEndOf } from './run-ends.js';

/**
 * Most sizes of tasks for which it is counted how many fit on each worker as its runs end. Each count looks at
 * all runs; with more sizes, what ends is counted as a whole.
 */
const MAX_EXACT_SIZES = 16;

interface RunEnd extends CapacityEnd {
  readonly frees: Resources;
}

/** What one worker has free and which runs end there, in order of time. */
interface WorkerRoom {
  readonly free: Resources;
  readonly ends: readonly RunEnd[];
}

/** The room of all workers, of all runs or without those of excess. */
interface View {
  readonly rooms: readonly WorkerRoom[];
  /** By size of task: few exist, and each arriving job asks. */
  readonly known: Map<string, Room>;
  freed: FreedCapacity | undefined;
}

export class RoomOutlook {
  /** Processor time of all workers, thousandths of a core. */
  readonly millicores: number;
  private readonly capacities: readonly Resources[];
  private readonly whole: View;
  private readonly forPromised: View;

  constructor(workers: readonly Worker[], now: Instant) {
    this.capacities = workers.map(({ registration }) => registration.capacity);
    this.millicores = this.capacities.reduce((sum, { millicores }) => sum + millicores, 0);
    const rooms = workers.map((worker) => roomOf(worker, now));
    this.whole = newView(rooms.map(({ whole }) => whole));
    this.forPromised = newView(rooms.map(({ forPromised }) => forPromised));
  }

  /** Number of tasks with this demand that the workers hold if nothing else runs there. */
  tasksThatFit(demand: Resources, maxPerWorker: number): number {
    return this.capacities.reduce(
      (sum, capacity) => sum + countFitting(demand, capacity, maxPerWorker),
      0,
    );
  }

  /**
   * The room for tasks with this demand. What is free on a worker and too small for a task is not counted.
   *
   * @param isExcess whether the work exceeds the promised rate of its team. If it doesn't, runs of work that
   *   does count as if they took no room.
   */
  roomFor(demand: Resources, maxPerWorker: number, isExcess: boolean): Room {
    const view = isExcess ? this.whole : this.forPromised;
    const { millicores, memoryMib, accelerators, slots } = demand;
    const key = [millicores, memoryMib, accelerators, slots, maxPerWorker].join();
    const room = view.known.get(key) ?? this.newRoom(demand, maxPerWorker, view);
    view.known.set(key, room);
    return room;
  }

  private newRoom(demand: Resources, maxPerWorker: number, view: View): Room {
    const { millicores } = demand;
    if (view.known.size < MAX_EXACT_SIZES) {
      return exactRoom(demand, maxPerWorker, view.rooms);
    }
    view.freed ??= new FreedCapacity(view.rooms.flatMap(({ ends }) => ends));
    const fitting = view.rooms.reduce(
      (sum, { free }) => sum + countFitting(demand, free, maxPerWorker),
      0,
    );
    // A worker of 64 cores holds three tasks of 18 cores: a sixth of what it frees is of no use to them.
    const usable = this.tasksThatFit(demand, 0) * millicores;
    return {
      free: fitting * millicores,
      freed: view.freed,
      usableFraction: Math.min(1, usable / Math.max(1, this.millicores)),
    };
  }
}

function newView(rooms: readonly WorkerRoom[]): View {
  return { rooms, known: new Map(), freed: undefined };
}

function roomOf(
  { registration: { capacity }, used, runs }: Worker,
  now: Instant,
): { readonly whole: WorkerRoom; readonly forPromised: WorkerRoom } {
  const ends: RunEnd[] = [];
  const promisedEnds: RunEnd[] = [];
  let excess = NO_RESOURCES;
  for (const run of runs.values()) {
    const { plan, job } = run.task.step;
    const frees = allocationOf(plan);
    const end = { at: expectedEndOf(run, now), millicores: frees.millicores, frees };
    ends.push(end);
    if (job.isExcess) {
      excess = add(excess, frees);
    } else {
      promisedEnds.push(end);
    }
  }
  const free = subtract(capacity, used);
  return {
    whole: { free, ends: ends.sort(byTime) },
    forPromised: { free: add(free, excess), ends: promisedEnds.sort(byTime) },
  };
}

function byTime(left: RunEnd, right: RunEnd): number {
  return left.at - right.at;
}

/** Counts how many tasks fit on each worker now and more after the end of each run. */
function exactRoom(demand: Resources, maxPerWorker: number, rooms: readonly WorkerRoom[]): Room {
  const { millicores } = demand;
  const gains: CapacityEnd[] = [];
  let fittingNow = 0;
  for (const { free, ends } of rooms) {
    let fitting = countFitting(demand, free, maxPerWorker);
    let freeThen = free;
    fittingNow += fitting;
    for (const { at, frees } of ends) {
      freeThen = add(freeThen, frees);
      const fittingThen = countFitting(demand, freeThen, maxPerWorker);
      if (fittingThen > fitting) {
        gains.push({ at, millicores: (fittingThen - fitting) * millicores });
        fitting = fittingThen;
      }
    }
  }
  return {
    free: fittingNow * millicores,
    freed: new FreedCapacity(gains),
    usableFraction: 1,
  };
}
