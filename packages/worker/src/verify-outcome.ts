/** Verification of outcomes by their digests. */

import { match } from 'ts-pattern';
import type { Outcome } from '@bamboowell/types/work';
import { matchesDigest } from './digest.js';
import type { OutcomeWithDigest } from './worker-schema.js';

/** Reported when an answer is damaged and the worker doesn't send it undamaged when asked again. */
export const DAMAGED_OUTCOME: Outcome = { kind: 'failed', detail: 'answer damaged' };

/** Returns the outcome, or `damaged` if its text doesn't match its digest. */
export function verifyOutcome(received: OutcomeWithDigest): Outcome | 'damaged' {
  return match(received)
    .returnType<Outcome | 'damaged'>()
    .with({ kind: 'succeeded' }, ({ answer, bytes, sha256 }) =>
      matchesDigest(answer, { bytes, sha256 }) ? { kind: 'succeeded', answer } : 'damaged',
    )
    .with({ kind: 'checkpointed' }, ({ checkpoint, bytes, sha256 }) =>
      matchesDigest(checkpoint, { bytes, sha256 }) ? { kind: 'stopped', checkpoint } : 'damaged',
    )
    .with({ kind: 'failed' }, ({ detail }) => ({ kind: 'failed', detail }))
    .with({ kind: 'stopped' }, () => ({ kind: 'stopped' }))
    .with({ kind: 'never_started' }, () => ({ kind: 'never_started' }))
    .exhaustive();
}
