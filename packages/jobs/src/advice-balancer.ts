/** Shares calls for advice out over the members, each of which has its calls answered in turn. */

import type { MemberId } from '@bamboowell/types/ids';
import type { AdviceTiming, StepId } from '@bamboowell/types/job';

/** Calls whose base time is at least this long, milliseconds, keep away from the short ones. */
const LONG_CALL_MILLIS = 50;
/** Part of the members that take the short calls: these come often and hold up urgent work. */
const SHORT_LANE_PART = 1 / 3;
/** Calls that a member has open at once: the next one travels while one is answered. */
const MAX_OPEN_CALLS = 3;
/** Share of a new measurement in the learned extra time of a member's calls. */
const LEARNING_RATE = 0.3;

interface Adviser {
  readonly member: MemberId;
  /** What its calls take beyond the decision itself, milliseconds: the way there and back. */
  extraMillis: number;
  openCalls: number;
  openMillis: number;
}

interface OpenCall {
  readonly adviser: Adviser;
  readonly millis: number;
}

export class AdviceBalancer {
  private readonly advisers = new Map<MemberId, Adviser>();
  private readonly calls = new Map<StepId, OpenCall>();
  /** By nearness; sorted again when it is needed after a change. */
  private sorted: readonly Adviser[] | undefined;

  /** A member can ask from now on; `extraMillis` is a first guess of its way there and back. */
  add(member: MemberId, extraMillis: number): void {
    this.sorted = undefined;
    this.advisers.set(member, { member, extraMillis, openCalls: 0, openMillis: 0 });
  }

  /** The member is gone; returns the steps whose calls went with it. */
  remove(member: MemberId): StepId[] {
    this.sorted = undefined;
    this.advisers.delete(member);
    const lost = [...this.calls].filter(([, { adviser }]) => adviser.member === member);
    lost.forEach(([step]) => this.calls.delete(step));
    return lost.map(([step]) => step);
  }

  /** Whether a member can take a further call of such terms. */
  hasCapacity(terms: AdviceTiming): boolean {
    return this.lane(terms).some(({ openCalls }) => openCalls < MAX_OPEN_CALLS);
  }

  /** Opens a call with the member that will answer soonest, or nothing if all have enough to do. */
  open(step: StepId, terms: AdviceTiming, workers: number): MemberId | undefined {
    const millis = terms.baseMillis + terms.perWorkerMillis * workers;
    const free = this.lane(terms).filter(({ openCalls }) => openCalls < MAX_OPEN_CALLS);
    const adviser = free.reduce<Adviser | undefined>(
      (best, next) => (best === undefined || soonest(next) < soonest(best) ? next : best),
      undefined,
    );
    if (adviser === undefined) {
      return undefined;
    }
    adviser.openCalls += 1;
    adviser.openMillis += millis;
    this.calls.set(step, { adviser, millis });
    return adviser.member;
  }

  /** The call ended; `tookMillis` is absent where that tells nothing. */
  close(step: StepId, tookMillis: number | undefined): void {
    const call = this.calls.get(step);
    if (call === undefined) {
      return;
    }
    const { adviser, millis } = call;
    this.calls.delete(step);
    adviser.openCalls -= 1;
    adviser.openMillis -= millis;
    if (tookMillis !== undefined && adviser.openCalls === 0) {
      const extra = Math.max(0, tookMillis - millis);
      adviser.extraMillis += LEARNING_RATE * (extra - adviser.extraMillis);
      this.sorted = undefined;
    }
  }

  /** The members that take calls of such terms: the nearest take the short ones. */
  private lane(terms: AdviceTiming): readonly Adviser[] {
    this.sorted ??= [...this.advisers.values()].sort(
      (left, right) =>
        left.extraMillis - right.extraMillis || (left.member < right.member ? -1 : 1),
    );
    const all = this.sorted;
    if (all.length < 2) {
      return all;
    }
    const shortLane = Math.max(1, Math.round(all.length * SHORT_LANE_PART));
    const isLong = terms.baseMillis >= LONG_CALL_MILLIS;
    return isLong ? all.slice(shortLane) : all.slice(0, shortLane);
  }
}

function soonest({ openMillis, extraMillis }: Adviser): number {
  return openMillis + extraMillis;
}
