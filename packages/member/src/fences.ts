/**
 * Fencing tokens for the links to workers. Each link of a term has a higher one than the links before it, and
 * than all links of earlier terms: what was sent over an earlier link to the same worker can't take effect
 * once the worker has had a call over the new one, even if the worker's process has been replaced meanwhile.
 */

import { brandAs } from '@bamboowell/types/ids';
import type { Fence, Term } from '@bamboowell/types/job';

/** Tokens of one term; leaves room for 2^29 terms in a safe integer. */
export const FENCES_PER_TERM = 2 ** 24;

export class Fences {
  private issued = 0;

  constructor(private readonly term: Term) {}

  /** The next token; the last one of the term is issued again and again, as the next belongs to another owner. */
  next(): Fence {
    const fence = this.term * FENCES_PER_TERM + this.issued;
    this.issued = Math.min(this.issued + 1, FENCES_PER_TERM - 1);
    return brandAs<Fence>(fence);
  }
}
