/** What is free on the workers that may run a kind of work, and what running work frees there and when. */

import { FreedCapacity, type CapacityEnd, type Room } from '@bamboowell/policy/start-forecast';
import { NO_RESOURCES, add, subtract, type Resources } from '@bamboowell/types/resources';
import type { Instant } from '@bamboowell/types/time';
import { countFitting } from './available-workers.js';
import { allocationOf, type Worker } from './model.js';
import { expectedEndOf } from './run-ends.js';

/** Free resources of one worker. */
interface WorkerRoom {
  readonly capacity: Resources;
  readonly free: Resources;
  /** What is free if runs beyond the promised rates are left out. */
  readonly freeForPromised: Resources;
}

export class RoomOutlook {
  /** Processor time of all workers, thousandths of a core. */
  readonly millicores: number;
  private readonly rooms: readonly WorkerRoom[];
  private readonly freed: FreedCapacity;
  private readonly freedByPromised: FreedCapacity;
  /** By demand: few sizes exist, and each arriving job asks. */
  private readonly known = new Map<string, Room>();

  constructor(workers: readonly Worker[], now: Instant) {
    const ends: CapacityEnd[] = [];
    const promisedEnds: CapacityEnd[] = [];
    this.rooms = workers.map(({ registration: { capacity }, used, runs }) => {
      let excess = NO_RESOURCES;
      for (const run of runs.values()) {
        const { plan, job } = run.task.step;
        const allocation = allocationOf(plan);
        const end = { at: expectedEndOf(run, now), millicores: allocation.millicores };
        ends.push(end);
        if (job.isExcess) {
          excess = add(excess, allocation);
        } else {
          promisedEnds.push(end);
        }
      }
      const free = subtract(capacity, used);
      return { capacity, free, freeForPromised: add(free, excess) };
    });
    this.millicores = this.rooms.reduce((sum, { capacity }) => sum + capacity.millicores, 0);
    this.freed = new FreedCapacity(ends);
    this.freedByPromised = new FreedCapacity(promisedEnds);
  }

  /** Number of tasks with this demand that the workers hold if nothing else runs there. */
  tasksThatFit(demand: Resources, maxPerWorker: number): number {
    return this.count(({ capacity }) => countFitting(demand, capacity, maxPerWorker));
  }

  /**
   * The room for tasks with this demand. What is free on a worker and too small for a task is not counted.
   *
   * @param isExcess whether the work exceeds the promised rate of its team. If it doesn't, runs of work that
   *   does count as if they took no room.
   */
  roomFor(demand: Resources, maxPerWorker: number, isExcess: boolean): Room {
    const { millicores, memoryMib, accelerators, slots } = demand;
    const key = [millicores, memoryMib, accelerators, slots, maxPerWorker, isExcess].join();
    const room = this.known.get(key) ?? this.newRoom(demand, maxPerWorker, isExcess);
    this.known.set(key, room);
    return room;
  }

  private newRoom(demand: Resources, maxPerWorker: number, isExcess: boolean): Room {
    const fitting = this.count(({ free, freeForPromised }) =>
      countFitting(demand, isExcess ? free : freeForPromised, maxPerWorker),
    );
    const usable = this.count(({ capacity }) => countFitting(demand, capacity, 0));
    return {
      free: fitting * demand.millicores,
      freed: isExcess ? this.freed : this.freedByPromised,
      // A worker of 64 cores holds three tasks of 18 cores: a sixth of what it frees is of no use to them.
      usableFraction: Math.min(1, (usable * demand.millicores) / Math.max(1, this.millicores)),
    };
  }

  private count(tasks: (room: WorkerRoom) => number): number {
    return this.rooms.reduce((sum, room) => sum + tasks(room), 0);
  }
}
