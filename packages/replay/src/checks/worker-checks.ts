/** Checks of what runs on workers. */

import { add, DIMENSIONS, fits, NO_RESOURCES, type Resources } from '@bamboowell/types/resources';
import type { Observation, ObservationOf } from '../observation.js';
import { Check } from './check.js';
import { RunningAttempts } from './running-attempts.js';

function sumOf(runs: readonly ObservationOf<'run'>[]): Resources {
  return runs.reduce<Resources>((sum, { demand }) => add(sum, demand), NO_RESOURCES);
}

/** No VM is ever overcommitted. */
export class NoOvercommit extends Check {
  readonly guarantee = 'no_overcommit';
  private readonly running = new RunningAttempts();
  private readonly capacities = new Map<string, Resources>();

  observe(observation: Observation): void {
    this.running.observe(observation);
    if (observation.saw === 'worker') {
      this.capacities.set(observation.worker, observation.capacity);
    }
    if (observation.saw === 'run') {
      this.checkWorker(observation);
    }
  }

  private checkWorker({ at, worker }: ObservationOf<'run'>): void {
    const capacity = this.capacities.get(worker) ?? NO_RESOURCES;
    const used = sumOf(this.running.matching((run) => run.worker === worker));
    const over = DIMENSIONS.filter((dimension) => used[dimension] > capacity[dimension]);
    if (over.length > 0) {
      this.reportViolation(at, `worker ${worker} is overcommitted in ${over.join(', ')}`);
    }
  }
}

/** No task ever runs in two places at once. */
export class OnePlace extends Check {
  readonly guarantee = 'one_place';
  private readonly running = new RunningAttempts();
  private readonly frozen = new Set<string>();
  /**
   * When workers resumed. Their attempts are checked only at a later time, because a worker that
   * resumes first stops the attempts whose leases have lapsed.
   */
  private readonly resumedAt = new Map<string, number>();

  observe(observation: Observation): void {
    this.checkResumed(observation.at);
    if (observation.saw === 'worker_is') {
      this.updateWorker(observation);
    }
    if (observation.saw === 'run') {
      this.checkRun(observation);
    }
    this.running.observe(observation);
  }

  override finish(): void {
    this.checkResumed(Infinity);
  }

  private updateWorker({ at, worker, is }: ObservationOf<'worker_is'>): void {
    if (is === 'frozen') {
      this.frozen.add(worker);
    } else {
      this.frozen.delete(worker);
      this.resumedAt.set(worker, at);
    }
  }

  private checkResumed(now: number): void {
    for (const [worker, at] of this.resumedAt) {
      if (at < now) {
        this.resumedAt.delete(worker);
        for (const run of this.running.matching((each) => each.worker === worker)) {
          this.checkRun({ ...run, at });
        }
      }
    }
  }

  /** Attempts on a frozen worker do not count as running until it resumes. */
  private checkRun({ at, task, attempt, worker }: ObservationOf<'run'>): void {
    const others = this.running.matching(
      (other) => other.task === task && other.attempt !== attempt && !this.frozen.has(other.worker),
    );
    for (const other of others) {
      this.reportViolation(at, `task ${task} runs on ${other.worker} and ${worker}`);
    }
  }
}

/** Each task of a request that is not marked as idempotent runs at most once. */
export class AtMostOnce extends Check {
  readonly guarantee = 'at_most_once';
  private readonly attemptByTask = new Map<string, string>();

  observe(observation: Observation): void {
    if (observation.saw !== 'run' || observation.idempotent) {
      return;
    }
    const { task, attempt, at } = observation;
    const earlier = this.attemptByTask.get(task);
    if (earlier !== undefined) {
      this.reportViolation(
        at,
        `task ${task}, which is not idempotent, ran as ${earlier} and as ${attempt}`,
      );
    }
    this.attemptByTask.set(task, attempt);
  }
}

/** How long a leaving target may still get new work. */
const LEAVING_GRACE_MILLIS = 3_000;

/** A leaving target gets no new work once the grace period is over. */
export class Leaving extends Check {
  readonly guarantee = 'leaving';
  private readonly leavingSince = new Map<string, number>();

  observe(observation: Observation): void {
    if (observation.saw === 'leaving') {
      const { worker, at } = observation;
      this.leavingSince.set(worker, Math.min(at, this.leavingSince.get(worker) ?? at));
    }
    if (observation.saw === 'run') {
      this.checkRun(observation);
    }
  }

  private checkRun({ worker, at, attempt }: ObservationOf<'run'>): void {
    const since = this.leavingSince.get(worker);
    if (since !== undefined && at > since + LEAVING_GRACE_MILLIS) {
      this.reportViolation(at, `worker ${worker}, leaving since ${since}, started ${attempt}`);
    }
  }
}

/** Time in which a team must get below a lowered limit. */
const LOWERED_LIMIT_GRACE_MILLIS = 8_000;

/** No team has more running than its upper limit. */
export class TeamLimit extends Check {
  readonly guarantee = 'team_limit';
  private readonly running = new RunningAttempts();
  private readonly limits = new Map<
    string,
    { limit: Resources; since: number; previous: Resources | undefined }
  >();
  private highestVersion = -1;

  observe(observation: Observation): void {
    this.running.observe(observation);
    if (observation.saw === 'configuration') {
      this.setLimits(observation);
    }
    if (observation.saw === 'run') {
      this.checkTeam(observation.team, observation.at);
    }
    this.checkLoweredLimits(observation.at);
  }

  private setLimits({ at, version, limits }: ObservationOf<'configuration'>): void {
    if (version <= this.highestVersion) {
      return;
    }
    this.highestVersion = version;
    for (const [team, limit] of Object.entries(limits)) {
      const known = this.limits.get(team);
      if (known === undefined || !isEqual(known.limit, limit)) {
        this.limits.set(team, { limit, since: at, previous: known?.limit });
      }
    }
  }

  /** Shortly after a change, work that was admitted under the previous limit may still start. */
  private checkTeam(team: string, at: number): void {
    const known = this.limits.get(team);
    const used = sumOf(this.running.matching((run) => run.team === team));
    const isWithinGrace =
      known?.previous !== undefined && at <= known.since + LOWERED_LIMIT_GRACE_MILLIS;
    const allowed =
      isWithinGrace && known.previous !== undefined
        ? elementwiseMax(known.limit, known.previous)
        : known?.limit;
    if (!fits(used, allowed ?? NO_RESOURCES)) {
      this.reportViolation(at, `team ${team} runs ${JSON.stringify(used)}, above its upper limit`);
    }
  }

  private checkLoweredLimits(at: number): void {
    for (const [team, { limit, since, previous }] of this.limits) {
      if (previous !== undefined && at > since + LOWERED_LIMIT_GRACE_MILLIS) {
        const used = sumOf(this.running.matching((run) => run.team === team));
        if (!fits(used, limit)) {
          this.reportViolation(
            at,
            `team ${team} still runs ${JSON.stringify(used)} after its limit was lowered`,
          );
        }
        this.limits.set(team, { limit, since, previous: undefined });
      }
    }
  }
}

function isEqual(left: Resources, right: Resources): boolean {
  return fits(left, right) && fits(right, left);
}

function elementwiseMax(left: Resources, right: Resources): Resources {
  return {
    millicores: Math.max(left.millicores, right.millicores),
    memoryMib: Math.max(left.memoryMib, right.memoryMib),
    accelerators: Math.max(left.accelerators, right.accelerators),
    slots: Math.max(left.slots, right.slots),
  };
}
