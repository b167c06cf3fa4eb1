/** Finds workers for steps and asks for the advice that their starts need. */

import type { MemberId, RackId, WorkerId } from '@bamboowell/types/ids';
import type { StepId } from '@bamboowell/types/job';
import { add, fits, isNothing, subtract, type Resources } from '@bamboowell/types/resources';
import { deadlineAfter, hasPassed } from '@bamboowell/types/time';
import type { AdviceDesk } from './advice-desk.js';
import type { JobContext } from './context.js';
import type { Lifecycle } from './lifecycle.js';
import { roomOf, waitingTasks, type Grant, type Step, type Task, type Worker } from './model.js';
import type { JobOrdering } from './ordering.js';
import { Reservations } from './reservations.js';
import type { Assignment, Orders } from './orders.js';
import type { Trust } from './trust.js';

/** A ticket with less time left than this, milliseconds, isn't used: the start must be recorded and travel first. */
const TICKET_MARGIN_MILLIS = 250;
/** Most workers that one call for advice names; the platform takes no more. */
const MAX_NAMED_WORKERS = 100;

/** A worker that answers counts as there for so long after its entry went, milliseconds: the platform's word is about two seconds. */
const RELIST_MILLIS = 2000;

/** A worker that may get work in this pass, and the room that is left on it. */
interface Site {
  readonly worker: Worker;
  room: Resources;
}

export class Placing {
  constructor(
    private readonly context: JobContext,
    private readonly lifecycle: Lifecycle,
    private readonly orders: Orders,
    private readonly trust: Trust,
    private readonly desk: AdviceDesk,
    private readonly ordering: JobOrdering,
  ) {}

  place(): void {
    const sites = this.openSites();
    const reservations = new Reservations(sites.length);
    for (const step of this.ordering.sorted(this.lifecycle.ready, this.context)) {
      const waiting = waitingTasks(step);
      if (waiting.length > 0) {
        this.placeStep(step, waiting, sites, reservations);
      }
    }
  }

  /** Asks for advice that a step will need soon, unless it has some. */
  askAhead(step: Step): void {
    const sites = this.openSites().filter(({ worker }) => suits(worker, step));
    if (this.withTicket(step, sites).length === 0) {
      this.ask(step);
    }
  }

  adviserGone(member: MemberId): void {
    this.desk.remove(member).forEach((step) => {
      this.noAdvice(step);
    });
  }

  noAdvice(id: StepId): void {
    this.desk.close(id, undefined);
    const step = this.context.step(id);
    if (step !== undefined) {
      step.asking = undefined;
    }
    this.context.hasNews = true;
  }

  private openSites(): Site[] {
    const sites: Site[] = [];
    for (const worker of this.context.workers.values()) {
      if (this.isOpen(worker)) {
        sites.push({ worker, room: subtract(worker.notice.capacity, worker.used) });
      }
    }
    return sites;
  }

  private isOpen(worker: Worker): boolean {
    return (
      worker.isMet &&
      worker.isReachable &&
      this.isThere(worker) &&
      !worker.notice.isDraining &&
      worker.strangers === 0 &&
      hasPassed(worker.restsUntil, this.context.now) &&
      this.trust.mayPlace(worker.id)
    );
  }

  /** An entry that lapsed while the store was away comes back if its worker lives. */
  private isThere({ isListed, unlistedAt }: Worker): boolean {
    const goneAt = deadlineAfter(unlistedAt, RELIST_MILLIS);
    return isListed || !hasPassed(goneAt, this.context.now);
  }

  private placeStep(
    step: Step,
    waiting: readonly Task[],
    sites: readonly Site[],
    reservations: Reservations,
  ): void {
    const fitting = sites.filter(
      ({ worker }) => suits(worker, step) && !reservations.isKept(worker),
    );
    const allowed = this.withTicket(step, fitting);
    if (allowed.length === 0) {
      this.ask(step);
    }
    const assignments = step.plan.isGang
      ? this.assignGang(step, waiting, allowed)
      : this.assignEach(step, waiting, allowed);
    if (assignments.length > 0) {
      assignments.forEach(({ worker }) => {
        this.trust.placed(worker.id);
      });
      this.orders.start(step, assignments);
    } else if (step.plan.isGang && waiting.length === step.tasks.length) {
      reservations.keep(step, this.knownAllowed(step, fitting));
    }
  }

  private withTicket(step: Step, sites: readonly Site[]): readonly Site[] {
    if (step.job.queue.advice === undefined) {
      return sites;
    }
    const usableAt = deadlineAfter(this.context.now, TICKET_MARGIN_MILLIS);
    return sites.filter(({ worker }) => {
      const grant = step.grants.get(worker.id);
      return grant !== undefined && grant.until > usableAt;
    });
  }

  /** Sites on which the step may run by all advice so far, also where the ticket ran out. */
  private knownAllowed(step: Step, sites: readonly Site[]): readonly Site[] {
    return step.job.queue.advice === undefined
      ? sites
      : sites.filter(({ worker }) => step.grants.has(worker.id));
  }

  /** Asks which workers may run the step, unless a ticket or a call for it is there. */
  private ask(step: Step): void {
    const terms = step.job.queue.advice;
    if (terms === undefined || step.asking !== undefined) {
      return;
    }
    const named = this.candidates(step);
    if (named.length === 0) {
      return;
    }
    const member = this.desk.open(step.id, terms, named.length);
    if (member === undefined) {
      return;
    }
    step.asking = named;
    this.context.emit({ kind: 'ask_advice', member, step: step.id, workers: named, terms });
  }

  /** Workers known to be allowed, and those on which there was no advice yet. */
  private candidates(step: Step): WorkerId[] {
    const named: WorkerId[] = [];
    for (const worker of this.context.workers.values()) {
      const { id } = worker;
      const isOpen = this.isThere(worker) && worker.isReachable && !worker.notice.isDraining;
      const mayBeAllowed = step.grants.has(id) || !step.advisedOn.has(id);
      if (isOpen && mayBeAllowed && suits(worker, step)) {
        named.push(id);
      }
    }
    return named.slice(0, MAX_NAMED_WORKERS);
  }

  private assignEach(step: Step, waiting: readonly Task[], sites: readonly Site[]): Assignment[] {
    const assignments: Assignment[] = [];
    const demand = roomOf(step.plan);
    const onWorker = runsByWorker(step);
    let toStart = this.withinLimit(step, waiting.length);
    let rack = rackOf(step);
    for (const task of waiting) {
      if (toStart === 0) {
        break;
      }
      const site = bestSite(step, task, demand, sites, onWorker, rack);
      if (site === undefined) {
        continue;
      }
      toStart -= 1;
      rack ??= site.worker.notice.rack;
      take(site, demand, onWorker);
      assignments.push({ task, worker: site.worker, grant: this.grantOf(step, site) });
    }
    return assignments;
  }

  private assignGang(step: Step, waiting: readonly Task[], sites: readonly Site[]): Assignment[] {
    const isWhole = waiting.length === step.tasks.length;
    if (!isWhole || this.withinLimit(step, waiting.length) < waiting.length) {
      return [];
    }
    const racks = step.plan.prefersOneRack ? racksOf(sites) : [];
    for (const rack of racks) {
      const near = sites.filter(({ worker }) => worker.notice.rack === rack);
      const assignments = this.tryGang(step, waiting, near);
      if (assignments.length > 0) {
        return assignments;
      }
    }
    return this.tryGang(step, waiting, sites);
  }

  /** Takes room for all of the gang or for none of it. */
  private tryGang(step: Step, waiting: readonly Task[], sites: readonly Site[]): Assignment[] {
    const demand = roomOf(step.plan);
    const trial = sites.map((site) => ({ ...site }));
    const onWorker = runsByWorker(step);
    const assignments: Assignment[] = [];
    for (const task of waiting) {
      const site = bestSite(step, task, demand, trial, onWorker, undefined);
      if (site === undefined) {
        return [];
      }
      take(site, demand, onWorker);
      assignments.push({ task, worker: site.worker, grant: this.grantOf(step, site) });
    }
    sites.forEach((site, index) => {
      site.room = trial[index]?.room ?? site.room;
    });
    return assignments;
  }

  private grantOf(step: Step, { worker }: Site): Grant | undefined {
    return step.grants.get(worker.id);
  }

  /** How many of the tasks the team may start within its limit; one that passes it alone may run alone. */
  private withinLimit(step: Step, wanted: number): number {
    const team = step.job.plan?.team;
    const limit = team === undefined ? undefined : this.context.team(team)?.limit;
    if (team === undefined || limit === undefined) {
      return wanted;
    }
    const demand = roomOf(step.plan);
    const bound = withoutZeros(limit);
    let running = add(this.context.runningOf(team), demand);
    let startable = isNothing(this.context.runningOf(team)) ? 1 : 0;
    for (let count = 1; count <= wanted && fits(running, bound); count += 1) {
      startable = count;
      running = add(running, demand);
    }
    return startable;
  }
}

/** A limit of zero is none. */
function withoutZeros(limit: Resources): Resources {
  const orNone = (amount: number): number => (amount === 0 ? Number.MAX_SAFE_INTEGER : amount);
  return {
    millicores: orNone(limit.millicores),
    memoryMib: orNone(limit.memoryMib),
    accelerators: orNone(limit.accelerators),
    slots: orNone(limit.slots),
  };
}

function suits({ notice }: Worker, { plan, job }: Step): boolean {
  return (
    notice.service === job.queue.service &&
    (plan.neededLabel === undefined || notice.labels.includes(plan.neededLabel)) &&
    fits(roomOf(plan), notice.capacity)
  );
}

function runsByWorker(step: Step): Map<WorkerId, number> {
  const counts = new Map<WorkerId, number>();
  for (const { worker } of step.tasks.flatMap(({ runs }) => runs)) {
    counts.set(worker.id, (counts.get(worker.id) ?? 0) + 1);
  }
  return counts;
}

/** The rack on which tasks of the step run, if any do. */
function rackOf(step: Step): RackId | undefined {
  return step.tasks.flatMap(({ runs }) => runs).at(0)?.worker.notice.rack;
}

/** The racks of the sites, those with the most room first. */
function racksOf(sites: readonly Site[]): (RackId | undefined)[] {
  const rooms = new Map<RackId | undefined, number>();
  for (const { worker, room } of sites) {
    const { rack } = worker.notice;
    rooms.set(rack, (rooms.get(rack) ?? 0) + room.millicores);
  }
  return [...rooms].sort(([, left], [, right]) => right - left).map(([rack]) => rack);
}

function take(site: Site, demand: Resources, onWorker: Map<WorkerId, number>): void {
  site.room = subtract(site.room, demand);
  onWorker.set(site.worker.id, (onWorker.get(site.worker.id) ?? 0) + 1);
}

/** The fullest worker that holds the task, rather near its data and not where it failed. */
function bestSite(
  step: Step,
  task: Task,
  demand: Resources,
  sites: readonly Site[],
  onWorker: ReadonlyMap<WorkerId, number>,
  rack: RackId | undefined,
): Site | undefined {
  const { maxPerWorker } = step.plan;
  let best: Site | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const site of sites) {
    const isFull = maxPerWorker > 0 && (onWorker.get(site.worker.id) ?? 0) >= maxPerWorker;
    if (isFull || !fits(demand, site.room)) {
      continue;
    }
    const score = scoreOf(step, task, site, rack);
    if (score < bestScore) {
      best = site;
      bestScore = score;
    }
  }
  return best;
}

/** Cores by which a worker off the data's rack, or one on which the task failed, ranks behind. */
const FAR_PENALTY_MILLICORES = 1_000_000;

function scoreOf(
  { plan }: Step,
  task: Task,
  { worker, room }: Site,
  rack: RackId | undefined,
): number {
  const isFar = plan.rackOfData !== undefined && worker.notice.rack !== plan.rackOfData;
  const leavesRack = plan.prefersOneRack && rack !== undefined && worker.notice.rack !== rack;
  const hasFailed = task.failedOn.has(worker.id);
  const penalties = Number(isFar) + Number(leavesRack) + 2 * Number(hasFailed);
  return room.millicores + penalties * FAR_PENALTY_MILLICORES;
}
