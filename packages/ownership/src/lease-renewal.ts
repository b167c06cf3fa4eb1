/** Decides whether a member may renew the leases of a shard's running work. */

import { brandAs, type Epoch, type MemberId } from '@bamboowell/types/ids';
import type { Ownership } from './claims.js';

const NEVER_OWNED = brandAs<Epoch>(0);

/** What the member knows of the shard and its owner. */
export interface RenewalView {
  readonly self: MemberId;
  /** The fold as last read. It may be out of date. */
  readonly fold: Ownership;
  /** The highest epoch of the shard that any member has reported. */
  readonly highestReportedEpoch: Epoch;
  readonly suspects: ReadonlySet<MemberId>;
}

export type RenewalPlan =
  /** Renew with this epoch. That permits no start, stop or end of work. */
  | { readonly kind: 'renew'; readonly epoch: Epoch }
  | { readonly kind: 'skip'; readonly why: 'owner_alive' | 'never_owned' | 'higher_epoch' };

/**
 * The owner renews, even while it is stale. Every other member renews while the owner is suspected
 * or the shard is released. A renewal is safe at any time: it only keeps running what the worker
 * runs already, and the worker refuses it after it has seen a higher epoch. Work that has ended or
 * was cancelled must be stopped by the owner with a `stop` for each attempt.
 */
export function planRenewal(view: RenewalView): RenewalPlan {
  const { epoch, owner } = view.fold;
  if (view.highestReportedEpoch > epoch) {
    return { kind: 'skip', why: 'higher_epoch' };
  }
  if (epoch === NEVER_OWNED) {
    return { kind: 'skip', why: 'never_owned' };
  }
  if (owner !== null && owner !== view.self && !view.suspects.has(owner)) {
    return { kind: 'skip', why: 'owner_alive' };
  }
  return { kind: 'renew', epoch };
}
