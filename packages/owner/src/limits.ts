/** Takes and gives back parts of the teams' upper limits, so that no start passes one. */

import type { TeamId } from '@bamboowell/types/ids';
import {
  add,
  fits,
  isNothing,
  multiply,
  NOTHING,
  positivePart,
  resourcesOf,
  subtract,
  type Resources,
} from '@bamboowell/types/resources';
import { deadlineAfter, hasPassed, type Deadline } from '@bamboowell/types/time';
import type { Context } from './context.js';
import type { LiveAttempts } from './live-attempts.js';

/** A take asks for this many times what is short, so that not every start needs one. */
const TAKE_AHEAD_FACTOR = 8;

interface Ledger {
  takeInFlight: boolean;
  /** No take before then; the last one was void. */
  retryAt: Deadline | undefined;
  /** On the way back; no longer counted as held. */
  givingBack: Resources;
  /** Since when part of the holding has been idle; given back then. */
  idleUntil: Deadline | undefined;
}

export class Limits {
  private readonly ledgers = new Map<TeamId, Ledger>();

  constructor(
    private readonly context: Context,
    private readonly live: LiveAttempts,
  ) {}

  /** What the team may still start here without a take. */
  roomOf(team: TeamId): Resources {
    if (!this.context.holdsLimits) {
      return NOTHING;
    }
    return positivePart(subtract(this.usableOf(team), this.live.runningOf(team)));
  }

  /** Asks for more of the team's limit, unless that is under way or was void a moment ago. */
  want(team: TeamId, need: Resources): void {
    const ledger = this.ledgerOf(team);
    const now = this.context.now;
    if (!this.context.holdsLimits || !this.context.mayStart || ledger.takeInFlight) {
      return;
    }
    if (ledger.retryAt !== undefined && !hasPassed(ledger.retryAt, now)) {
      return;
    }
    const amount = this.takeable(team, need);
    if (amount === undefined) {
      return;
    }
    ledger.takeInFlight = true;
    this.context.emit({ kind: 'take', epoch: this.ownedEpoch(), team, amount });
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

  /** Gives back at once what a lowered limit takes away, and later what stays idle. */
  giveBackIdle(): void {
    if (!this.context.holdsLimits || !this.context.mayStart) {
      return;
    }
    for (const team of this.context.cell?.holdings.keys() ?? []) {
      this.giveBackFor(team);
    }
  }

  nextDeadline(): Deadline | undefined {
    const deadlines = [...this.ledgers.values()].flatMap((ledger) => [
      ledger.retryAt,
      ledger.idleUntil,
    ]);
    const known = deadlines.filter((deadline) => deadline !== undefined);
    const future = known.filter((deadline) => !hasPassed(deadline, this.context.now));
    return future.length === 0
      ? undefined
      : future.reduce((left, right) => (left < right ? left : right));
  }

  clear(): void {
    this.ledgers.clear();
  }

  private giveBackFor(team: TeamId): void {
    const ledger = this.ledgerOf(team);
    const idle = positivePart(subtract(this.usableOf(team), this.live.runningOf(team)));
    const surplus = positivePart(subtract(this.usableOf(team), this.allowedOf(team)));
    const mustGo = resourcesOf((dimension) => Math.min(idle[dimension], surplus[dimension]));
    if (!isNothing(mustGo)) {
      this.giveBack(team, ledger, mustGo);
      return;
    }
    if (isNothing(idle)) {
      ledger.idleUntil = undefined;
      return;
    }
    ledger.idleUntil ??= deadlineAfter(this.context.now, this.context.settings.idleHoldingMillis);
    if (hasPassed(ledger.idleUntil, this.context.now)) {
      ledger.idleUntil = undefined;
      this.giveBack(team, ledger, idle);
    }
  }

  private giveBack(team: TeamId, ledger: Ledger, amount: Resources): void {
    ledger.givingBack = add(ledger.givingBack, amount);
    this.context.emit({ kind: 'give_back', epoch: this.ownedEpoch(), team, amount });
  }

  /** As much as can be taken of several times the need; none where not even the need is left. */
  private takeable(team: TeamId, need: Resources): Resources | undefined {
    const limit = this.context.cell?.configuration.teams.get(team)?.limit;
    if (limit === undefined) {
      return undefined;
    }
    const total = this.context.cell?.holdings.get(team)?.total ?? NOTHING;
    const left = positivePart(subtract(limit, total));
    const missing = positivePart(subtract(need, this.roomOf(team)));
    if (!fits(missing, left)) {
      return undefined;
    }
    const ahead = multiply(missing, TAKE_AHEAD_FACTOR);
    return resourcesOf((dimension) => Math.min(ahead[dimension], left[dimension]));
  }

  /** What the shard may have running: its holding less its part of what passes the limit. */
  private allowedOf(team: TeamId): Resources {
    const holding = this.context.cell?.holdings.get(team);
    if (holding === undefined) {
      return NOTHING;
    }
    const limit = this.context.cell?.configuration.teams.get(team)?.limit ?? NOTHING;
    return resourcesOf((dimension) => {
      const excess = Math.max(0, holding.total[dimension] - limit[dimension]);
      if (excess === 0) {
        return holding.held[dimension];
      }
      const part = Math.ceil((excess * holding.held[dimension]) / holding.total[dimension]);
      return holding.held[dimension] - part;
    });
  }

  private usableOf(team: TeamId): Resources {
    const held = this.context.cell?.holdings.get(team)?.held ?? NOTHING;
    return positivePart(subtract(held, this.ledgerOf(team).givingBack));
  }

  private ledgerOf(team: TeamId): Ledger {
    const known = this.ledgers.get(team);
    if (known !== undefined) {
      return known;
    }
    const fresh: Ledger = {
      takeInFlight: false,
      retryAt: undefined,
      givingBack: NOTHING,
      idleUntil: undefined,
    };
    this.ledgers.set(team, fresh);
    return fresh;
  }

  private ownedEpoch() {
    const epoch = this.context.ownedEpoch;
    if (epoch === undefined) {
      throw new Error('limits are used without an owned epoch');
    }
    return epoch;
  }
}
