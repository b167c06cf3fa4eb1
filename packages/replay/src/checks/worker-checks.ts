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
      this.judge(observation);
    }
  }

  private judge({ at, worker }: ObservationOf<'run'>): void {
    const capacity = this.capacities.get(worker) ?? NO_RESOURCES;
    const used = sumOf(this.running.matching((run) => run.worker === worker));
    const over = DIMENSIONS.filter((dimension) => used[dimension] > capacity[dimension]);
    if (over.length > 0) {
      this.reportViolation(at, `worker ${worker} runs more than it has of ${over.join(', ')}`);
    }
  }
}

/** No task ever runs in two places at once. */
export class OnePlace extends Check {
  readonly guarantee = 'one_place';
  private readonly running = new RunningAttempts();
  private readonly frozen = new Set<string>();
  /** Workers that go on; what runs there is judged once their first turn is over. */
  private readonly woken = new Map<string, number>();

  observe(observation: Observation): void {
    this.judgeWoken(observation.at);
    if (observation.saw === 'worker_is') {
      this.changed(observation);
    }
    if (observation.saw === 'run') {
      this.judge(observation);
    }
    this.running.observe(observation);
  }

  override finish(): void {
    this.judgeWoken(Infinity);
  }

  private changed({ at, worker, is }: ObservationOf<'worker_is'>): void {
    if (is === 'frozen') {
      this.frozen.add(worker);
    } else {
      this.frozen.delete(worker);
      this.woken.set(worker, at);
    }
  }

  private judgeWoken(now: number): void {
    for (const [worker, at] of this.woken) {
      if (at < now) {
        this.woken.delete(worker);
        for (const run of this.running.matching((each) => each.worker === worker)) {
          this.judge({ ...run, at });
        }
      }
    }
  }

  /** What is on a frozen worker does not run until the worker goes on. */
  private judge({ at, task, attempt, worker }: ObservationOf<'run'>): void {
    const others = this.running.matching(
      (other) => other.task === task && other.attempt !== attempt && !this.frozen.has(other.worker),
    );
    for (const other of others) {
      this.reportViolation(at, `task ${task} runs on ${other.worker} and ${worker}`);
    }
  }
}

/** A request marked as non-idempotent runs at most once. */
export class AtMostOnce extends Check {
  readonly guarantee = 'at_most_once';
  private readonly runs = new Map<string, string>();

  observe(observation: Observation): void {
    if (observation.saw !== 'run' || observation.idempotent) {
      return;
    }
    const { task, attempt, at } = observation;
    const before = this.runs.get(task);
    if (before !== undefined) {
      this.reportViolation(
        at,
        `task ${task}, which is not idempotent, ran as ${before} and as ${attempt}`,
      );
    }
    this.runs.set(task, attempt);
  }
}

/** How long a leaving target may still get work, milliseconds. */
const LEAVING_MILLIS = 3_000;

/** A target that is leaving gets no new work after a few seconds. */
export class Leaving extends Check {
  readonly guarantee = 'leaving';
  private readonly since = new Map<string, number>();

  observe(observation: Observation): void {
    if (observation.saw === 'leaving') {
      const { worker, at } = observation;
      this.since.set(worker, Math.min(at, this.since.get(worker) ?? at));
    }
    if (observation.saw === 'run') {
      this.judge(observation);
    }
  }

  private judge({ worker, at, attempt }: ObservationOf<'run'>): void {
    const since = this.since.get(worker);
    if (since !== undefined && at > since + LEAVING_MILLIS) {
      this.reportViolation(at, `worker ${worker}, leaving since ${since}, began ${attempt}`);
    }
  }
}

/** How long the work that a lowered limit forbids may still run, milliseconds. */
const SHED_MILLIS = 8_000;

/** No team has more running than its upper limit. */
export class TeamLimit extends Check {
  readonly guarantee = 'team_limit';
  private readonly running = new RunningAttempts();
  private readonly limits = new Map<
    string,
    { limit: Resources; since: number; before: Resources | undefined }
  >();
  private highest = -1;

  observe(observation: Observation): void {
    this.running.observe(observation);
    if (observation.saw === 'configuration') {
      this.setLimits(observation);
    }
    if (observation.saw === 'run') {
      this.judge(observation.team, observation.at);
    }
    this.judgeLowered(observation.at);
  }

  private setLimits({ at, version, limits }: ObservationOf<'configuration'>): void {
    if (version <= this.highest) {
      return;
    }
    this.highest = version;
    for (const [team, limit] of Object.entries(limits)) {
      const known = this.limits.get(team);
      if (known === undefined || !isSame(known.limit, limit)) {
        this.limits.set(team, { limit, since: at, before: known?.limit });
      }
    }
  }

  /** Right after a change, work under way by the earlier limit may still begin. */
  private judge(team: string, at: number): void {
    const known = this.limits.get(team);
    const used = sumOf(this.running.matching((run) => run.team === team));
    const isNew = known?.before !== undefined && at <= known.since + SHED_MILLIS;
    const allowed =
      isNew && known.before !== undefined ? largest(known.limit, known.before) : known?.limit;
    if (!fits(used, allowed ?? NO_RESOURCES)) {
      this.reportViolation(at, `team ${team} runs ${JSON.stringify(used)}, above its upper limit`);
    }
  }

  private judgeLowered(at: number): void {
    for (const [team, { limit, since, before }] of this.limits) {
      if (before !== undefined && at > since + SHED_MILLIS) {
        const used = sumOf(this.running.matching((run) => run.team === team));
        if (!fits(used, limit)) {
          this.reportViolation(
            at,
            `team ${team} still runs ${JSON.stringify(used)} after its limit was lowered`,
          );
        }
        this.limits.set(team, { limit, since, before: undefined });
      }
    }
  }
}

function isSame(left: Resources, right: Resources): boolean {
  return fits(left, right) && fits(right, left);
}

function largest(left: Resources, right: Resources): Resources {
  return {
    millicores: Math.max(left.millicores, right.millicores),
    memoryMib: Math.max(left.memoryMib, right.memoryMib),
    accelerators: Math.max(left.accelerators, right.accelerators),
    slots: Math.max(left.slots, right.slots),
  };
}
