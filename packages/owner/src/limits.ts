/** Takes and gives back parts of the teams' upper limits, so that no start exceeds a limit. */

import type { Epoch, TeamId } from '@bamboowell/types/ids';
import {
  add,
  fits,
  isZero,
  NO_RESOURCES,
  positivePart,
  resourcesOf,
  subtract,
  type Resources,
} from '@bamboowell/types/resources';
import { deadlineAfter, hasPassed, type Deadline } from '@bamboowell/types/time';
import {
  amountToAcquire,
  chunkOf,
  IdleHoldings,
  type TeamHolding,
} from '@bamboowell/policy/holdings';
import type { Context } from './context.js';
import type { LiveAttempts } from './live-attempts.js';

interface PendingChanges {
  takeInFlight: boolean;
  /** No `take` before then, because the last one was void. */
  retryAt: Deadline | undefined;
  /** Being given back; no longer counted as held. */
  givingBack: Resources;
}

export class Limits {
  private readonly pending = new Map<TeamId, PendingChanges>();
  private idle = new IdleHoldings();

  constructor(
    private readonly context: Context,
    private readonly live: LiveAttempts,
  ) {}

  /** What the team may still start in this shard without a `take`. */
  roomOf(team: TeamId): Resources {
    if (!this.context.mayUseHoldings) {
      return NO_RESOURCES;
    }
    const usable = this.usableOf(team);
    const allowed = this.allowedOf(team);
    const most = resourcesOf((dimension) => Math.min(usable[dimension], allowed[dimension]));
    return positivePart(subtract(most, this.live.runningOf(team)));
  }

  /** Takes more of the team's limit, unless a `take` is pending or was void a moment ago. */
  requestMore(team: TeamId, need: Resources): void {
    const pending = this.pendingOf(team);
    const epoch = this.context.ownedEpoch;
    if (epoch === undefined || !this.mayTake(pending)) {
      return;
    }
    const amount = this.takeable(team, need);
    if (amount !== undefined && !isZero(amount)) {
      pending.takeInFlight = true;
      this.context.emit({ kind: 'take', epoch, team, amount });
    }
  }

  settled(team: TeamId, change: 'take' | 'give_back', amount: Resources, applied: boolean): void {
    const pending = this.pendingOf(team);
    if (change === 'give_back') {
      pending.givingBack = positivePart(subtract(pending.givingBack, amount));
      return;
    }
    pending.takeInFlight = false;
    pending.retryAt = applied
      ? undefined
      : deadlineAfter(this.context.now, this.context.settings.takeRetryMillis);
  }

  /** By how much the team's running work exceeds what a lowered limit allows this shard. */
  excessOf(team: TeamId): Resources {
    return positivePart(subtract(this.live.runningOf(team), this.allowedOf(team)));
  }

  /**
   * Takes a chunk of every team's limit in advance, so that starts continue while the log is down.
   * Takes none while all shards together hold more than half of the limit: the rest is left for
   * shards that need it.
   */
  takeInAdvance(): void {
    if (!this.context.mayUseHoldings || !this.context.mayStart) {
      return;
    }
    for (const team of this.context.cell?.configuration.teams.keys() ?? []) {
      const reserve = this.reserveOf(team);
      if (!fits(reserve, this.roomOf(team))) {
        this.requestMore(team, reserve);
      }
    }
  }

  /** Gives back at once what a lowered limit no longer allows, and later what stays idle. */
  giveBackIdle(): void {
    if (!this.context.mayUseHoldings || !this.context.mayStart) {
      return;
    }
    const holdings: TeamHolding[] = [];
    for (const team of this.context.cell?.holdings.keys() ?? []) {
      this.giveBackSurplus(team);
      holdings.push({ team, held: this.spareOf(team), inUse: this.live.runningOf(team) });
    }
    for (const { team, amount } of this.idle.collectIdle(holdings, this.context.now)) {
      this.giveBack(team, amount);
    }
  }

  nextDeadline(): Deadline | undefined {
    const retries = [...this.pending.values()].map((pending) => pending.retryAt);
    const known = [...retries, this.idle.nextDeadline()].filter(
      (deadline) => deadline !== undefined && !hasPassed(deadline, this.context.now),
    );
    return known.reduce<Deadline | undefined>(
      (next, deadline) => (next === undefined || (deadline ?? next) < next ? deadline : next),
      undefined,
    );
  }

  clear(): void {
    this.pending.clear();
    this.idle = new IdleHoldings();
  }

  private mayTake(pending: PendingChanges): boolean {
    const isEarly = pending.retryAt !== undefined && !hasPassed(pending.retryAt, this.context.now);
    const mayWrite = this.context.mayUseHoldings && this.context.mayStart;
    return mayWrite && !pending.takeInFlight && !isEarly;
  }

  private takeable(team: TeamId, need: Resources): Resources | undefined {
    const limit = this.context.cell?.configuration.teams.get(team)?.limit;
    if (limit === undefined) {
      return undefined;
    }
    const heldByAll = this.context.cell?.holdings.get(team)?.total ?? NO_RESOURCES;
    const state = { limit, heldByAll, heldHere: this.usableOf(team) };
    return amountToAcquire(state, this.live.runningOf(team), need);
  }

  private giveBackSurplus(team: TeamId): void {
    const idle = positivePart(subtract(this.usableOf(team), this.live.runningOf(team)));
    const surplus = positivePart(subtract(this.usableOf(team), this.allowedOf(team)));
    const amount = resourcesOf((dimension) => Math.min(idle[dimension], surplus[dimension]));
    if (!isZero(amount)) {
      this.giveBack(team, amount);
    }
  }

  private giveBack(team: TeamId, amount: Resources): void {
    const epoch: Epoch | undefined = this.context.ownedEpoch;
    if (epoch !== undefined) {
      const pending = this.pendingOf(team);
      pending.givingBack = add(pending.givingBack, amount);
      this.context.emit({ kind: 'give_back', epoch, team, amount });
    }
  }

  /** The part of the team's limit that the shard keeps even while it uses none of it. */
  private reserveOf(team: TeamId): Resources {
    const limit = this.context.cell?.configuration.teams.get(team)?.limit ?? NO_RESOURCES;
    const total = this.context.cell?.holdings.get(team)?.total ?? NO_RESOURCES;
    return fits(add(total, total), limit) ? chunkOf(limit) : NO_RESOURCES;
  }

  /** The holding without the part that is always kept. */
  private spareOf(team: TeamId): Resources {
    return positivePart(subtract(this.usableOf(team), this.reserveOf(team)));
  }

  private allowedOf(team: TeamId): Resources {
    return this.context.cell?.holdings.get(team)?.allowed ?? NO_RESOURCES;
  }

  /** The holding without the part that is being given back. */
  private usableOf(team: TeamId): Resources {
    const held = this.context.cell?.holdings.get(team)?.held ?? NO_RESOURCES;
    return positivePart(subtract(held, this.pendingOf(team).givingBack));
  }

  private pendingOf(team: TeamId): PendingChanges {
    const known = this.pending.get(team);
    if (known !== undefined) {
      return known;
    }
    const fresh: PendingChanges = {
      takeInFlight: false,
      retryAt: undefined,
      givingBack: NO_RESOURCES,
    };
    this.pending.set(team, fresh);
    return fresh;
  }
}
