/** Decides when a member claims the cluster's work. Pure: the time and all news are arguments. */

import { deadlineAfter, hasPassed, type Deadline, type Instant } from '@bamboowell/types/time';
import type { Offset } from '@bamboowell/types/ids';
import { brandAs } from '@bamboowell/types/ids';

/**
 * Between two looks at the work log of a silent owner, milliseconds. More than the pause after
 * which an idle owner appends a keep-alive, and the store's usual answer.
 */
export const PROBE_INTERVAL_MILLIS = 400;
/**
 * A member waits so many answers of the store before it claims vacant work: those near the store
 * go first, also while a start makes all answers slow.
 */
export const STORE_LATENCY_FACTOR = 1.5;
/** The longest of these waits, milliseconds, and that of a member that had no answer yet. */
export const MAX_STORE_DELAY_MILLIS = 250;
/** Spread of claims of members that learn of a vacancy together, milliseconds: several answers of the store. */
const SPREAD_MILLIS = 60;
/** A claim that shows no effect is made again after this, milliseconds. */
const CLAIM_AGAIN_MILLIS = 600;

/**
 * A member waits at most so long, milliseconds, for one whose machine would be ready sooner: work
 * that nobody owns must not wait for machines that are gone.
 */
export const MAX_TAKEOVER_DELAY_MILLIS = 500;

export type ElectionAction = 'none' | 'look' | 'claim';

export interface ElectionOptions {
  /** How fast the store can answer this member, milliseconds; absent before its first answer. */
  readonly storeMillis: () => number | undefined;
  /** How long this member's machine takes to take the work over, milliseconds. */
  readonly takeoverMillis: number;
  /** From 0 to 1. */
  readonly random: () => number;
}

/** What is known of the owner. */
type Owner =
  | { readonly kind: 'unknown' }
  /** Nobody owns the work: no claim yet, or the last owner released it. */
  | { readonly kind: 'vacant'; readonly claimAt: Deadline }
  /** A member has claimed the work and is being dialled. */
  | { readonly kind: 'claimed' }
  | { readonly kind: 'connected' }
  | { readonly kind: 'in_trouble'; readonly looksGood: number; readonly lookAt: Deadline }
  | {
      readonly kind: 'silent';
      readonly seen: { readonly end: Offset; readonly at: Instant } | undefined;
      readonly lookAt: Deadline;
    };

/** An answer may come so much sooner after the one before than its question did. */
const EARLY_LOOK_PART = 0.9;

/** Looks that must succeed, one after the other, before an owner that can't write is replaced. */
const GOOD_LOOKS = 2;

export class Election {
  private owner: Owner = { kind: 'unknown' };

  /** Who would serve soonest claims first. */
  private readonly handicapMillis: number;

  constructor(private readonly options: ElectionOptions) {
    this.handicapMillis = Math.min(options.takeoverMillis, MAX_TAKEOVER_DELAY_MILLIS);
  }

  /** What this member believes of the owner, for the log. */
  get ownerState(): Owner['kind'] {
    return this.owner.kind;
  }

  /** The claims were read: the work is nobody's. */
  vacant(now: Instant): void {
    if (this.owner.kind !== 'vacant') {
      this.owner = { kind: 'vacant', claimAt: deadlineAfter(now, this.delay()) };
    }
  }

  /** Another member has claimed; whether it answers will be seen. */
  claimed(): void {
    this.owner = { kind: 'claimed' };
  }

  /** The owner answers this member. */
  connected(): void {
    this.owner = { kind: 'connected' };
  }

  /** The owner is not reached, or not any more. */
  silent(now: Instant): void {
    if (this.owner.kind !== 'silent') {
      this.owner = { kind: 'silent', seen: undefined, lookAt: deadlineAfter(now, 0) };
    }
  }

  /** The owner says whether it can write. */
  trouble(isTroubled: boolean, now: Instant): void {
    if (isTroubled && this.owner.kind === 'connected') {
      const lookAt = deadlineAfter(now, this.delay());
      this.owner = { kind: 'in_trouble', looksGood: 0, lookAt };
    } else if (!isTroubled && this.owner.kind === 'in_trouble') {
      this.owner = { kind: 'connected' };
    }
  }

  /** A look showed where the work log ends, or failed. */
  logEndRead(end: Offset | undefined, now: Instant): ElectionAction {
    const { owner } = this;
    if (owner.kind === 'silent') {
      return this.lookedAtSilent(owner.seen, end, now);
    }
    if (owner.kind === 'in_trouble') {
      const looksGood = end === undefined ? 0 : owner.looksGood + 1;
      this.owner = { ...owner, looksGood, lookAt: deadlineAfter(now, PROBE_INTERVAL_MILLIS) };
      return looksGood >= GOOD_LOOKS ? 'claim' : 'none';
    }
    return 'none';
  }

  /** What is due. */
  next(now: Instant): ElectionAction {
    const { owner } = this;
    if (owner.kind === 'vacant' && hasPassed(owner.claimAt, now)) {
      this.owner = { kind: 'vacant', claimAt: deadlineAfter(now, CLAIM_AGAIN_MILLIS) };
      return 'claim';
    }
    const looks = owner.kind === 'silent' || owner.kind === 'in_trouble';
    if (looks && hasPassed(owner.lookAt, now)) {
      this.owner = { ...owner, lookAt: deadlineAfter(now, PROBE_INTERVAL_MILLIS) };
      return 'look';
    }
    return 'none';
  }

  /** A log that doesn't move between two looks has no living owner. */
  private lookedAtSilent(
    seen: { readonly end: Offset; readonly at: Instant } | undefined,
    end: Offset | undefined,
    now: Instant,
  ): ElectionAction {
    const mustStandMillis = PROBE_INTERVAL_MILLIS + this.handicapMillis;
    if (end === undefined) {
      const lookAt = deadlineAfter(now, PROBE_INTERVAL_MILLIS);
      this.owner = { kind: 'silent', seen: undefined, lookAt };
      return 'none';
    }
    const stands = seen?.end === end && now - seen.at >= mustStandMillis * EARLY_LOOK_PART;
    const lookAt = deadlineAfter(now, mustStandMillis);
    this.owner = { kind: 'silent', seen: { end, at: now }, lookAt };
    return stands ? 'claim' : 'none';
  }

  private delay(): number {
    const storeMillis = this.options.storeMillis() ?? MAX_STORE_DELAY_MILLIS;
    const wait = Math.min(STORE_LATENCY_FACTOR * storeMillis, MAX_STORE_DELAY_MILLIS);
    return wait + this.handicapMillis + this.options.random() * SPREAD_MILLIS;
  }
}

/** An offset before which nothing was appended. */
export const LOG_START: Offset = brandAs<Offset>(0);
