/** Takes and gives back parts of the teams' upper limits, so that no start passes one. */

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

interface Ledger {
  takeInFlight: boolean;
  /** No take before then; the last one was void. */
  retryAt: Deadline | undefined;
  /** On the way back; no longer counted as held. */
  givingBack: Resources;
}

export class Limits {
  private readonly ledgers = new Map<TeamId, Ledger>();
  private idle = new IdleHoldings();

  constructor(
    private readonly context: Context,
    private readonly live: LiveAttempts,
  ) {}

  /** What the team may still start here without a take. */
  roomOf(team: TeamId): Resources {
    if (!this.context.mayUseHoldings) {
      return NO_RESOURCES;
    }
    const usable = this.usableOf(team);
    const allowed = this.allowedOf(team);
    const most = resourcesOf((dimension) => Math.min(usable[dimension], allowed[dimension]));
    return positivePart(subtract(most, this.live.runningOf(team)));
  }

  /** Asks for more of the team's limit, unless that is under way or was void a moment ago. */
  requestMore(team: TeamId, need: Resources): void {
    const ledger = this.ledgerOf(team);
    const epoch = this.context.ownedEpoch;
    if (epoch === undefined || !this.mayTake(ledger)) {
      return;
    }
    const amount = this.takeable(team, need);
    if (amount !== undefined && !isZero(amount)) {
      ledger.takeInFlight = true;
      this.context.emit({ kind: 'take', epoch, team, amount });
    }
  }

  settled(team: TeamId, change: 'take' | 'give_back', amount: Resources, applied: boolean): void {
    const ledger = this.ledgerOf(team);
    if (change === 'give_back') {
      ledger.givingBack = positivePart(subtract(ledger.givingBack, amount));
      return;
    }
    ledger.takeInFlight = false;
    ledger.retryAt = applied
      ? undefined
      : deadlineAfter(this.context.now, this.context.settings.takeRetryMillis);
  }

  /** What the team has running beyond what a lowered limit leaves to this shard. */
  excessOf(team: TeamId): Resources {
    return positivePart(subtract(this.live.runningOf(team), this.allowedOf(team)));
  }

  /**
   * Takes a chunk ahead for every team, so that starts go on while the log is down. None where half
   * of the limit is held already: the rest is for those that need it.
   */
  takeInAdvance(): void {
    if (!this.context.mayUseHoldings || !this.context.mayStart) {
      return;
    }
    for (const team of this.context.cell?.configuration.teams.keys() ?? []) {
      const floor = this.floorOf(team);
      if (!fits(floor, this.roomOf(team))) {
        this.requestMore(team, floor);
      }
    }
  }

  /** Gives back at once what a lowered limit takes away, and later what stays idle. */
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
    const retries = [...this.ledgers.values()].map((ledger) => ledger.retryAt);
    const known = [...retries, this.idle.nextDeadline()].filter(
      (deadline) => deadline !== undefined && !hasPassed(deadline, this.context.now),
    );
    return known.reduce<Deadline | undefined>(
      (next, deadline) => (next === undefined || (deadline ?? next) < next ? deadline : next),
      undefined,
    );
  }

  clear(): void {
    this.ledgers.clear();
    this.idle = new IdleHoldings();
  }

  private mayTake(ledger: Ledger): boolean {
    const isEarly = ledger.retryAt !== undefined && !hasPassed(ledger.retryAt, this.context.now);
    const mayWrite = this.context.mayUseHoldings && this.context.mayStart;
    return mayWrite && !ledger.takeInFlight && !isEarly;
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
      const ledger = this.ledgerOf(team);
      ledger.givingBack = add(ledger.givingBack, amount);
      this.context.emit({ kind: 'give_back', epoch, team, amount });
    }
  }

  /** What is kept of the team's limit also while nothing of it is used. */
  private floorOf(team: TeamId): Resources {
    const limit = this.context.cell?.configuration.teams.get(team)?.limit ?? NO_RESOURCES;
    const total = this.context.cell?.holdings.get(team)?.total ?? NO_RESOURCES;
    return fits(add(total, total), limit) ? chunkOf(limit) : NO_RESOURCES;
  }

  /** The holding without what is kept. */
  private spareOf(team: TeamId): Resources {
    return positivePart(subtract(this.usableOf(team), this.floorOf(team)));
  }

  private allowedOf(team: TeamId): Resources {
    return this.context.cell?.holdings.get(team)?.allowed ?? NO_RESOURCES;
  }

  /** What the shard holds and is not giving back. */
  private usableOf(team: TeamId): Resources {
    const held = this.context.cell?.holdings.get(team)?.held ?? NO_RESOURCES;
    return positivePart(subtract(held, this.ledgerOf(team).givingBack));
  }

  private ledgerOf(team: TeamId): Ledger {
    const known = this.ledgers.get(team);
    if (known !== undefined) {
      return known;
    }
    const fresh: Ledger = { takeInFlight: false, retryAt: undefined, givingBack: NO_RESOURCES };
    this.ledgers.set(team, fresh);
    return fresh;
  }
}
