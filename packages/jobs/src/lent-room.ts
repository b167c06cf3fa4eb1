/**
 * Keeps excess from starting on room that promised work is expected to need before the excess ends. Guards
 * against a fleet that is full of long excess when promised work arrives: that would wait for its ends.
 */

import { FreedCapacity } from '@bamboowell/policy/start-forecast';
import { deadlineAfter, hasPassed, type Deadline } from '@bamboowell/types/time';
import { ArrivalRates } from './arrival-rates.js';
import type { JobContext } from './context.js';
import { allocationOf, waitingTasks, type Job, type Step, type Worker } from './model.js';
import { expectedEndOf } from './run-ends.js';
import { bandOf } from './ordering.js';
import { OVERRUN_FACTOR } from './run-times.js';
import { sumOf, waitingDemandOf } from './waiting-demand.js';

/** With more than this fraction of a service free, promised work finds room whatever excess starts. */
const NEARLY_FULL_FRACTION = 0.1;
/** How long the expected ends of runs are used before they are looked up again, milliseconds. */
const REFRESH_MILLIS = 100;
/** Number of instants within the run time of the excess at which the room is compared with the need. */
const SAMPLES = 8;

interface ServiceEnds {
  readonly freed: FreedCapacity;
  readonly until: Deadline;
}

/** The room of one service in one pass, thousandths of a core. */
interface ServiceRoom {
  readonly capacity: number;
  /** What promised work that waits and excess that may start leave. */
  free: number;
}

export class LentRoom {
  private readonly rates = new Map<string, ArrivalRates>();
  private ends = new Map<string, ServiceEnds>();
  private rooms = new Map<string, ServiceRoom>();

  constructor(private readonly context: JobContext) {}

  /** Counts an accepted job, if it is within the promised rate of its team. */
  recordAccepted({ isExcess, queue, occurrences }: Job): void {
    const [occurrence] = occurrences.values();
    if (isExcess || occurrence === undefined) {
      return;
    }
    const { runTimes, now } = this.context;
    const demands = occurrence.steps
      .filter(({ plan }) => !plan.isLasting)
      .map((step) => waitingDemandOf(step, runTimes.expectedMillis(step)));
    const rates = this.rates.get(queue.service) ?? new ArrivalRates();
    rates.record(queue, sumOf(demands), now);
    this.rates.set(queue.service, rates);
  }

  /** @param promised the steps that go before all excess. */
  beginPass(promised: readonly Step[]): void {
    this.rooms = new Map();
    for (const { registration, used } of this.workers()) {
      const { service, capacity } = registration;
      const room = this.rooms.get(service) ?? { capacity: 0, free: 0 };
      this.rooms.set(service, {
        capacity: room.capacity + capacity.millicores,
        free: room.free + capacity.millicores - used.millicores,
      });
    }
    for (const step of promised) {
      const room = this.rooms.get(step.job.queue.service);
      if (room !== undefined && !this.context.isWaitingForTeamLimit(step)) {
        room.free -= waitingMillicores(step);
      }
    }
  }

  /** Whether the excess may start in this pass; if so, its room counts as taken. */
  take(step: Step): boolean {
    const room = this.rooms.get(step.job.queue.service);
    const needed = waitingMillicores(step);
    if (room === undefined || this.hasWaitedLong(step)) {
      return true;
    }
    const isAllowed =
      room.free - needed > NEARLY_FULL_FRACTION * room.capacity ||
      !this.isNeededBefore(step, room.free - needed);
    room.free -= isAllowed ? needed : 0;
    return isAllowed;
  }

  /** Runs the function and forgets what it has taken. */
  undone<Value>(act: () => Value): Value {
    const { rooms, ends } = this;
    this.rooms = new Map([...rooms].map(([service, room]) => [service, { ...room }]));
    this.ends = new Map(ends);
    try {
      return act();
    } finally {
      this.rooms = rooms;
      this.ends = ends;
    }
  }

  /** Whether an accepted job that still has a value has waited for as long as its forecast may have said. */
  private hasWaitedLong(step: Step): boolean {
    const { acceptedAt, queue } = step.job;
    const { wall } = this.context;
    const longestMillis = queue.timeoutMillis / OVERRUN_FACTOR;
    return wall - acceptedAt >= longestMillis && bandOf(step, this.context) < 3;
  }

  /** Whether promised work needs more than is left and what ends, at some time before the excess ends. */
  private isNeededBefore(step: Step, left: number): boolean {
    const { now, runTimes } = this.context;
    const { service } = step.job.queue;
    const rates = this.rates.get(service);
    if (rates === undefined) {
      return false;
    }
    const freed = this.endsOf(service);
    const runMillis = runTimes.expectedMillis(step);
    for (let sample = 1; sample <= SAMPLES; sample += 1) {
      const millis = (runMillis * sample) / SAMPLES;
      if (rates.neededWithin(millis, now) > left + freed.until(now + millis)) {
        return true;
      }
    }
    return false;
  }

  private endsOf(service: string): FreedCapacity {
    const { now } = this.context;
    const known = this.ends.get(service);
    if (known !== undefined && !hasPassed(known.until, now)) {
      return known.freed;
    }
    const runs = this.workers()
      .filter(({ registration }) => registration.service === service)
      .flatMap(({ runs: ofWorker }) => [...ofWorker.values()]);
    const freed = new FreedCapacity(
      runs.map((run) => ({
        at: expectedEndOf(run, now),
        millicores: allocationOf(run.task.step.plan).millicores,
      })),
    );
    this.ends.set(service, { freed, until: deadlineAfter(now, REFRESH_MILLIS) });
    return freed;
  }

  private workers(): Worker[] {
    const { fleet, currentIncarnations } = this.context;
    return fleet.placeable.flatMap(({ id }) => currentIncarnations.get(id) ?? []);
  }
}

function waitingMillicores(step: Step): number {
  return waitingTasks(step).length * allocationOf(step.plan).millicores;
}
