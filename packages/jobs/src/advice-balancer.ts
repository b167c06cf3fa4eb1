/**
 * Balances calls for advice over the members. The calls of one member are answered one at a time.
 */

import type { MemberId } from '@bamboowell/types/ids';
import type { AdviceTiming, StepId } from '@bamboowell/types/job';

/** Calls with at least this base time, milliseconds, go to other members than short calls. */
const LONG_CALL_MILLIS = 50;
/**
 * Fraction of the members that take the short calls: these are frequent, and urgent work waits for
 * them.
 */
const SHORT_CALL_MEMBERS_FRACTION = 1 / 3;
/** Most open calls of a member: the next ones travel while one is answered. */
const MAX_OPEN_CALLS = 3;
/** Weight of a new measurement in the moving average of a member's round trip. */
const SMOOTHING_FACTOR = 0.3;

/** A member and its open calls. */
interface MemberLoad {
  readonly member: MemberId;
  /** Moving average of the time its calls take beyond the decision itself: the round trip. */
  roundTripMillis: number;
  openCalls: number;
  openMillis: number;
}

interface MemberGroups {
  readonly short: readonly MemberLoad[];
  readonly long: readonly MemberLoad[];
}

interface OpenCall {
  readonly load: MemberLoad;
  readonly millis: number;
}

export class AdviceBalancer {
  private readonly loads = new Map<MemberId, MemberLoad>();
  private readonly calls = new Map<StepId, OpenCall>();
  /** The members by the calls that they take; undefined after a change, until needed again. */
  private groups: MemberGroups | undefined;

  /** Adds a member that can make calls; `roundTripMillis` is a first estimate. */
  add(member: MemberId, roundTripMillis: number): void {
    this.groups = undefined;
    this.loads.set(member, { member, roundTripMillis, openCalls: 0, openMillis: 0 });
  }

  /** Removes a member; returns the steps whose open calls are lost. */
  remove(member: MemberId): StepId[] {
    this.groups = undefined;
    this.loads.delete(member);
    const lost = [...this.calls].filter(([, { load }]) => load.member === member);
    lost.forEach(([step]) => this.calls.delete(step));
    return lost.map(([step]) => step);
  }

  /** Whether a member can take another call with this timing. */
  hasCapacity(timing: AdviceTiming): boolean {
    return this.loadsFor(timing).some(({ openCalls }) => openCalls < MAX_OPEN_CALLS);
  }

  /**
   * Opens a call with the member expected to answer soonest; undefined if none can take another.
   */
  open(step: StepId, timing: AdviceTiming, workers: number): MemberId | undefined {
    const millis = timing.baseMillis + timing.perWorkerMillis * workers;
    const free = this.loadsFor(timing).filter(({ openCalls }) => openCalls < MAX_OPEN_CALLS);
    const load = free.reduce<MemberLoad | undefined>(
      (best, next) =>
        best === undefined || expectedMillis(next) < expectedMillis(best) ? next : best,
      undefined,
    );
    if (load === undefined) {
      return undefined;
    }
    load.openCalls += 1;
    load.openMillis += millis;
    this.calls.set(step, { load, millis });
    return load.member;
  }

  /** Closes a call; `tookMillis` is undefined if its duration says nothing about the round trip. */
  close(step: StepId, tookMillis: number | undefined): void {
    const call = this.calls.get(step);
    if (call === undefined) {
      return;
    }
    const { load, millis } = call;
    this.calls.delete(step);
    load.openCalls -= 1;
    load.openMillis -= millis;
    if (tookMillis !== undefined && load.openCalls === 0) {
      const extra = Math.max(0, tookMillis - millis);
      load.roundTripMillis += SMOOTHING_FACTOR * (extra - load.roundTripMillis);
      this.groups = undefined;
    }
  }

  /** The members that take calls with this timing: the nearest take the short calls. */
  private loadsFor(timing: AdviceTiming): readonly MemberLoad[] {
    this.groups ??= groupsOf([...this.loads.values()]);
    return timing.baseMillis >= LONG_CALL_MILLIS ? this.groups.long : this.groups.short;
  }
}

function groupsOf(loads: MemberLoad[]): MemberGroups {
  loads.sort(
    (left, right) =>
      left.roundTripMillis - right.roundTripMillis || (left.member < right.member ? -1 : 1),
  );
  if (loads.length < 2) {
    return { short: loads, long: loads };
  }
  const shortCallMembers = Math.max(1, Math.round(loads.length * SHORT_CALL_MEMBERS_FRACTION));
  return { short: loads.slice(0, shortCallMembers), long: loads.slice(shortCallMembers) };
}

function expectedMillis({ openMillis, roundTripMillis }: MemberLoad): number {
  return openMillis + roundTripMillis;
}
