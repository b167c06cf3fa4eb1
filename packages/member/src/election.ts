/** Decides when a member claims ownership of the cluster's work. No I/O: time and events are passed in. */

import {
  deadlineAfter,
  hasPassed,
  later,
  type Deadline,
  type Instant,
} from '@bamboowell/types/time';
import type { Offset } from '@bamboowell/types/ids';
import { brandAs } from '@bamboowell/types/ids';

/**
 * Time between two probes of the work log while the owner is silent. Longer than the keep-alive
 * interval of an idle owner plus the usual latency of the store, so that a live owner's log advances.
 */
export const PROBE_INTERVAL_MILLIS = 400;
/**
 * A member delays a claim by this multiple of its store latency, so that members close to the store
 * claim first, even while a cluster start slows all answers.
 */
export const STORE_LATENCY_FACTOR = 1.5;
/** Upper bound of that delay, and the delay of a member that has had no answer from the store yet. */
export const MAX_STORE_DELAY_MILLIS = 250;
/** Random spread of the claims of members that see a vacancy at the same time: several store latencies. */
const CLAIM_JITTER_MILLIS = 60;
/** A claim without effect is repeated after this. */
const CLAIM_RETRY_MILLIS = 600;

/**
 * Longest time that a member waits for members on faster machines to claim first: vacant work must
 * not wait for machines that are down.
 */
export const MAX_TAKEOVER_DELAY_MILLIS = 500;

export type ElectionAction = 'none' | 'probe' | 'claim';

export interface ElectionOptions {
  /** Lowest latency of the store as seen by this member; undefined before its first answer. */
  readonly storeMillis: () => number | undefined;
  /** Expected duration of a takeover on this member's machine. */
  readonly takeoverMillis: number;
  /** Returns a number from 0 to 1. */
  readonly random: () => number;
}

/** What this member knows about the owner. */
type OwnerState =
  | { readonly kind: 'unknown' }
  /** Nobody owns the work: it was never claimed, or the last owner released it or its process ended. */
  | { readonly kind: 'vacant'; readonly claimAt: Deadline }
  /** A member has claimed the work and is being dialled. */
  | { readonly kind: 'claimed' }
  | { readonly kind: 'connected' }
  /** Connected, but silent for a while: the log is read once, in case the owner turns out to be lost. */
  | {
      readonly kind: 'suspect';
      readonly lastProbe: LogEnd | undefined;
      /** Undefined once the read has been made. */
      readonly probeAt: Deadline | undefined;
    }
  | {
      readonly kind: 'in_trouble';
      /** Since when the store has answered every probe. */
      readonly answeredSince: Instant | undefined;
      readonly probeAt: Deadline;
    }
  | {
      readonly kind: 'silent';
      readonly lastProbe: LogEnd | undefined;
      readonly probeAt: Deadline;
    };

/** The end of the work log as read at a time. */
interface LogEnd {
  readonly end: Offset;
  readonly at: Instant;
}

/** Allows for latency jitter: two answers may arrive closer together than their requests were sent. */
const EARLY_ANSWER_FACTOR = 0.9;

/**
 * Time between two probes of the store while an owner says that it can't write. What is asked for is
 * only whether the store answers this member, and not whether a log advances.
 */
export const TROUBLE_PROBE_INTERVAL_MILLIS = 120;
/**
 * How long the store must have answered a member before it replaces an owner that can't write. After an outage for
 * all, the owner recovers within a probe of its own and a repeated append, and a change of owner would take longer.
 */
export const RECOVERY_MILLIS = 400;

export class Election {
  private owner: OwnerState = { kind: 'unknown' };

  /** Delay of claims on slow machines: the member that would serve soonest claims first. */
  private readonly takeoverDelayMillis: number;

  constructor(private readonly options: ElectionOptions) {
    this.takeoverDelayMillis = Math.min(options.takeoverMillis, MAX_TAKEOVER_DELAY_MILLIS);
  }

  /** The assumed state of the owner, for the log. */
  get ownerState(): OwnerState['kind'] {
    return this.owner.kind;
  }

  /** Nobody owns the work. */
  vacant(now: Instant): void {
    if (this.owner.kind !== 'vacant') {
      this.owner = { kind: 'vacant', claimAt: deadlineAfter(now, this.claimDelayMillis()) };
    }
  }

  /** Another member has claimed the work; it may still turn out to be unreachable. */
  claimed(): void {
    this.owner = { kind: 'claimed' };
  }

  /** The connection to the owner is open. */
  connected(): void {
    this.owner = { kind: 'connected' };
  }

  /** The connection to the owner has been silent for a while, or brings something again. */
  suspect(isSuspect: boolean, now: Instant): void {
    if (isSuspect && this.owner.kind === 'connected') {
      this.owner = { kind: 'suspect', lastProbe: undefined, probeAt: deadlineAfter(now, 0) };
    } else if (!isSuspect && this.owner.kind === 'suspect') {
      this.owner = { kind: 'connected' };
    }
  }

  /** The owner can't be reached. */
  silent(now: Instant): void {
    const { owner } = this;
    if (owner.kind === 'suspect' && owner.lastProbe !== undefined) {
      const { lastProbe } = owner;
      const dueAt = deadlineAfter(lastProbe.at, this.unchangedMillis);
      this.owner = { kind: 'silent', lastProbe, probeAt: later(dueAt, deadlineAfter(now, 0)) };
    } else if (owner.kind !== 'silent') {
      this.owner = { kind: 'silent', lastProbe: undefined, probeAt: deadlineAfter(now, 0) };
    }
  }

  /** The owner has reported whether it can write to the store. */
  trouble(isTroubled: boolean, now: Instant): void {
    if (isTroubled && (this.owner.kind === 'connected' || this.owner.kind === 'suspect')) {
      const probeAt = deadlineAfter(now, 0);
      this.owner = { kind: 'in_trouble', answeredSince: undefined, probeAt };
    } else if (!isTroubled && this.owner.kind === 'in_trouble') {
      this.owner = { kind: 'connected' };
    }
  }

  /** A probe has read the end of the work log; `end` is undefined if it failed. */
  logEndRead(end: Offset | undefined, now: Instant): ElectionAction {
    const { owner } = this;
    if (owner.kind === 'silent') {
      return this.probedSilentOwner(owner.lastProbe, end, now);
    }
    if (owner.kind === 'suspect') {
      const lastProbe = end === undefined ? undefined : { end, at: now };
      this.owner = { kind: 'suspect', lastProbe, probeAt: undefined };
      return 'none';
    }
    if (owner.kind === 'in_trouble') {
      const answeredSince = end === undefined ? undefined : (owner.answeredSince ?? now);
      this.owner = {
        ...owner,
        answeredSince,
        probeAt: deadlineAfter(now, TROUBLE_PROBE_INTERVAL_MILLIS),
      };
      const isRecoveryDue =
        answeredSince !== undefined && now - answeredSince >= this.recoveryMillis;
      return isRecoveryDue ? 'claim' : 'none';
    }
    return 'none';
  }

  /** When `next` may return an action; undefined if only an event can lead to one. */
  get nextAt(): Deadline | undefined {
    const { owner } = this;
    switch (owner.kind) {
      case 'vacant':
        return owner.claimAt;
      case 'suspect':
      case 'silent':
      case 'in_trouble':
        return owner.probeAt;
      case 'unknown':
      case 'claimed':
      case 'connected':
        return undefined;
    }
  }

  /** Returns the action that is due. */
  next(now: Instant): ElectionAction {
    const { owner } = this;
    if (owner.kind === 'vacant' && hasPassed(owner.claimAt, now)) {
      this.owner = { kind: 'vacant', claimAt: deadlineAfter(now, CLAIM_RETRY_MILLIS) };
      return 'claim';
    }
    if (owner.kind === 'suspect' && owner.probeAt !== undefined && hasPassed(owner.probeAt, now)) {
      this.owner = { ...owner, probeAt: undefined };
      return 'probe';
    }
    const needsProbe = owner.kind === 'silent' || owner.kind === 'in_trouble';
    if (needsProbe && hasPassed(owner.probeAt, now)) {
      // The answer sets the time of the next probe.
      this.owner = { ...owner, probeAt: deadlineAfter(now, PROBE_INTERVAL_MILLIS) };
      return 'probe';
    }
    return 'none';
  }

  /** An owner whose log doesn't advance between two probes is taken to have failed. */
  private probedSilentOwner(
    lastProbe: LogEnd | undefined,
    end: Offset | undefined,
    now: Instant,
  ): ElectionAction {
    const { unchangedMillis } = this;
    if (end === undefined) {
      const probeAt = deadlineAfter(now, PROBE_INTERVAL_MILLIS);
      this.owner = { kind: 'silent', lastProbe: undefined, probeAt };
      return 'none';
    }
    const isUnchanged =
      lastProbe?.end === end && now - lastProbe.at >= unchangedMillis * EARLY_ANSWER_FACTOR;
    const probeAt = deadlineAfter(now, unchangedMillis);
    this.owner = { kind: 'silent', lastProbe: { end, at: now }, probeAt };
    return isUnchanged ? 'claim' : 'none';
  }

  /** Members on slow machines wait longer, so that the one that would serve soonest claims first. */
  private get recoveryMillis(): number {
    return RECOVERY_MILLIS + this.takeoverDelayMillis;
  }

  /** For how long the log of a silent owner must not advance. */
  private get unchangedMillis(): number {
    return PROBE_INTERVAL_MILLIS + this.takeoverDelayMillis;
  }

  private claimDelayMillis(): number {
    const storeMillis = this.options.storeMillis() ?? MAX_STORE_DELAY_MILLIS;
    const storeDelayMillis = Math.min(STORE_LATENCY_FACTOR * storeMillis, MAX_STORE_DELAY_MILLIS);
    return (
      storeDelayMillis + this.takeoverDelayMillis + this.options.random() * CLAIM_JITTER_MILLIS
    );
  }
}

/** Offset of the start of a log. */
export const LOG_START: Offset = brandAs<Offset>(0);
