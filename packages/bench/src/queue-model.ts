/** A simplified model of one shard in virtual time: arrivals, rounds, ends and preemptions. */

import { Heap } from 'heap-js';
import { Fleet, NO_SPREAD } from '@bamboowell/policy/fleet';
import { totalDemandOf } from '@bamboowell/policy/capacity-hold';
import type { Candidate, Ordering } from '@bamboowell/policy/ordering';
import type { Placement } from '@bamboowell/policy/placement';
import {
  chooseVictims,
  type OccupiedWorker,
  type RunningAttempt,
  type ShareExcess,
} from '@bamboowell/policy/preemption';
import {
  brandAs,
  type AttemptId,
  type TeamId,
  type WorkerId,
  type WorkId,
} from '@bamboowell/types/ids';
import { add, fits, NO_RESOURCES, subtract, type Resources } from '@bamboowell/types/resources';
import type { Instant } from '@bamboowell/types/time';
import type { Arrival } from './demand.js';

const ROUND_MILLIS = 100;
/** Failed placements after which a round ends, the same for all orderings. */
const MAX_BLOCKED_PER_ROUND = 64;
/** Virtual time that a checkpoint takes. */
const CHECKPOINT_MILLIS = 1000;

/** The combination of policies to measure. */
export interface Rules {
  readonly name: string;
  readonly ordering: Ordering;
  readonly placement: Placement;
  /** Static limits of the teams, if the fleet is split between them. */
  readonly limits: ReadonlyMap<TeamId, Resources> | undefined;
  /** How far a team is above its share; if undefined, urgent work does not preempt. */
  readonly excessOf: ShareExcess | undefined;
}

/** A running work item with the worker of each of its tasks. */
interface Running {
  readonly arrival: Arrival;
  readonly workers: readonly WorkerId[];
  readonly startedAt: number;
  endsAt: number;
  isStopping: boolean;
}

/** The start of a work item, and how long it had waited. */
export interface Start {
  readonly arrival: Arrival;
  readonly at: number;
  readonly waitedMillis: number;
}

export class QueueModel {
  readonly starts: Start[] = [];
  /** Millicore-milliseconds run by each team within the measured time. */
  readonly usage = new Map<TeamId, number>();
  preemptions = 0;

  private readonly arrivalsByWork = new Map<WorkId, Arrival>();
  private readonly inUse = new Map<TeamId, Resources>();
  private readonly running = new Map<WorkId, Running>();
  private readonly ends = new Heap<Running>((left, right) => left.endsAt - right.endsAt);
  /** Urgent work for which attempts are being preempted. */
  private readonly preempting = new Set<WorkId>();
  private now = 0;

  constructor(
    private readonly rules: Rules,
    private readonly fleet: Fleet,
    private readonly measureFrom: number,
    private readonly measureUntil: number,
  ) {}

  run(arrivals: readonly Arrival[]): void {
    let next = 0;
    for (this.now = 0; this.now <= this.measureUntil; this.now += ROUND_MILLIS) {
      this.endDue();
      for (let due = arrivals[next]; due !== undefined && this.isDue(due); due = arrivals[next]) {
        this.arrivalsByWork.set(due.candidate.work, due);
        this.rules.ordering.put(due.candidate);
        next += 1;
      }
      this.round();
    }
    for (const running of this.running.values()) {
      this.countUsage(running, this.now);
    }
  }

  private isDue(arrival: Arrival): boolean {
    return arrival.candidate.waitingSince <= this.now;
  }

  private endDue(): void {
    for (let first = this.ends.peek(); first !== undefined; first = this.ends.peek()) {
      if (first.endsAt > this.now) {
        return;
      }
      this.ends.pop();
      if (this.running.get(first.arrival.candidate.work) === first) {
        this.end(first);
      }
    }
  }

  private end(running: Running): void {
    const { candidate } = running.arrival;
    this.running.delete(candidate.work);
    for (const worker of running.workers) {
      this.fleet.release(worker, candidate.demand);
    }
    this.addUsage(candidate.team, subtract(NO_RESOURCES, totalDemandOf(candidate)));
    this.countUsage(running, running.endsAt);
    if (running.isStopping) {
      const ranMillis = running.endsAt - running.startedAt;
      const runMillis = Math.max(1, running.arrival.runMillis - ranMillis);
      this.arrivalsByWork.set(candidate.work, { ...running.arrival, runMillis });
      this.rules.ordering.put(candidate);
    }
  }

  private round(): void {
    const round = this.rules.ordering.round(brandAs<Instant>(this.now));
    let blocked = 0;
    while (blocked < MAX_BLOCKED_PER_ROUND) {
      const candidate = round.next();
      if (candidate === undefined) {
        return;
      }
      if (this.isLimited(candidate)) {
        round.reportBlocked(candidate, 'team_limit_reached');
        blocked += 1;
      } else if (!this.tryStart(candidate)) {
        round.reportBlocked(candidate, 'no_worker_fits');
        blocked += 1;
        this.preemptFor(candidate);
      }
    }
  }

  private isLimited(candidate: Candidate): boolean {
    const limit = this.rules.limits?.get(candidate.team);
    const inUse = this.inUse.get(candidate.team) ?? NO_RESOURCES;
    return limit !== undefined && !fits(add(inUse, totalDemandOf(candidate)), limit);
  }

  private tryStart(candidate: Candidate): boolean {
    const arrival = this.arrivalsByWork.get(candidate.work);
    const workers = this.reserveAll(candidate);
    if (arrival === undefined || workers === undefined) {
      return false;
    }
    this.rules.ordering.remove(candidate.work);
    this.preempting.delete(candidate.work);
    this.addUsage(candidate.team, totalDemandOf(candidate));
    const endsAt = this.now + arrival.runMillis;
    const running = { arrival, workers, startedAt: this.now, endsAt, isStopping: false };
    this.running.set(candidate.work, running);
    this.ends.push(running);
    this.starts.push({
      arrival,
      at: this.now,
      waitedMillis: this.now - candidate.waitingSince,
    });
    return true;
  }

  private reserveAll(candidate: Candidate): WorkerId[] | undefined {
    const { demand, gangSize } = candidate;
    const workers: WorkerId[] = [];
    while (workers.length < gangSize) {
      const worker = this.rules.placement.choose(this.fleet, demand, NO_SPREAD);
      if (worker === undefined || !this.fleet.reserve(worker, demand)) {
        for (const taken of workers) {
          this.fleet.release(taken, demand);
        }
        return undefined;
      }
      workers.push(worker);
    }
    return workers;
  }

  private preemptFor(candidate: Candidate): void {
    const { excessOf } = this.rules;
    const isUrgent = candidate.urgency === 'urgent' && !this.preempting.has(candidate.work);
    if (excessOf === undefined || !isUrgent) {
      return;
    }
    const now = brandAs<Instant>(this.now);
    const victims = chooseVictims(this.occupied(), candidate.demand, excessOf, now);
    for (const { attempt } of victims?.attempts ?? []) {
      this.stop(brandAs<WorkId>(attempt));
    }
    if (victims !== undefined) {
      this.preempting.add(candidate.work);
    }
  }

  private stop(work: WorkId): void {
    const running = this.running.get(work);
    if (running !== undefined) {
      const stopping = { ...running, endsAt: this.now + CHECKPOINT_MILLIS, isStopping: true };
      this.running.set(work, stopping);
      this.ends.push(stopping);
      this.preemptions += 1;
    }
  }

  private occupied(): OccupiedWorker[] {
    const attempts = new Map<WorkerId, RunningAttempt[]>();
    for (const running of this.running.values()) {
      for (const worker of running.isStopping ? [] : running.workers) {
        attempts.set(worker, [...(attempts.get(worker) ?? []), attemptOf(running)]);
      }
    }
    return [...this.fleet.all()].map((worker) => ({
      worker: worker.profile.id,
      free: this.fleet.freeOf(worker),
      attempts: attempts.get(worker.profile.id) ?? [],
    }));
  }

  private addUsage(team: TeamId, amount: Resources): void {
    this.inUse.set(team, add(this.inUse.get(team) ?? NO_RESOURCES, amount));
    this.rules.ordering.addUsage(team, amount);
  }

  private countUsage({ arrival, startedAt }: Running, endedAt: number): void {
    const { team, demand, gangSize } = arrival.candidate;
    const from = Math.max(startedAt, this.measureFrom);
    const until = Math.min(endedAt, this.measureUntil);
    const millis = Math.max(0, until - from);
    const used = demand.millicores * gangSize * millis;
    this.usage.set(team, (this.usage.get(team) ?? 0) + used);
  }
}

function attemptOf({ arrival, startedAt }: Running): RunningAttempt {
  const { work, team, demand, urgency, gangSize } = arrival.candidate;
  return {
    attempt: brandAs<AttemptId>(work),
    team,
    demand,
    urgency,
    idempotent: false,
    checkpointable: arrival.checkpointable,
    gangSize,
    startedAt: brandAs<Instant>(startedAt),
  };
}
