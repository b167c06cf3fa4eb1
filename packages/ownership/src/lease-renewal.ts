/** Whether a member may renew the leases of a shard's running work in place of its owner. */

import { brandAs, type Epoch, type MemberId } from '@bamboowell/types/ids';
import type { Ownership } from './claims.js';

const NEVER_OWNED = brandAs<Epoch>(0);

/** What the member knows of the shard and its owner. */
export interface RenewalView {
  readonly self: MemberId;
  /** The fold as last read; it may be old. */
  readonly fold: Ownership;
  /** The highest epoch of the shard that any member has told of. */
  readonly highestHeard: Epoch;
  readonly suspects: ReadonlySet<MemberId>;
}

export type RenewalPlan =
  /** Renews with this epoch. It may start, stop and end nothing. */
  | { readonly kind: 'renew'; readonly epoch: Epoch }
  | { readonly kind: 'leave'; readonly why: 'owner_lives' | 'never_owned' | 'higher_epoch' };

/**
 * The owner renews, also while it is stale; so does every member while the owner is suspected or
 * the shard is released. A renewal keeps running what the worker runs already, so that it is safe at any time: the worker
 * refuses it if it has seen a higher epoch. That work which was ended or cancelled is not kept
 * alive is up to the owner, which stops it by name.
 */
export function planRenewal(view: RenewalView): RenewalPlan {
  const { epoch, owner } = view.fold;
  if (view.highestHeard > epoch) {
    return { kind: 'leave', why: 'higher_epoch' };
  }
  if (epoch === NEVER_OWNED) {
    return { kind: 'leave', why: 'never_owned' };
  }
  if (owner !== null && owner !== view.self && !view.suspects.has(owner)) {
    return { kind: 'leave', why: 'owner_lives' };
  }
  return { kind: 'renew', epoch };
}
