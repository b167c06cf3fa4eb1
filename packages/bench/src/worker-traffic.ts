/** Sizes of the messages between owners and workers, in the encoding of `WorkerSession`. */

import { createHash } from 'node:crypto';
import type { Outcome } from '@bamboowell/types/work';
import type { WorkerCommand, WorkerReport } from '@bamboowell/types/worker-messages';
import { notificationBytes } from './traffic.js';

export function commandBytes(command: WorkerCommand): number {
  const { kind, ...params } = command;
  return notificationBytes(kind, params);
}

/** The worker omits its id and, in `usage`, members that are empty or false. */
export function reportBytes(report: WorkerReport): number {
  if (report.kind === 'usage') {
    const { workerNow, attempts } = report;
    return notificationBytes(
      'usage',
      attempts.length === 0 ? { workerNow } : { workerNow, attempts },
    );
  }
  const { kind, ...params } = { ...report, worker: undefined };
  return report.kind === 'ended'
    ? notificationBytes(kind, { ...params, outcome: outcomeWithDigest(report.outcome) })
    : notificationBytes(kind, params);
}

/** An answer is sent with its length and digest. */
function outcomeWithDigest(outcome: Outcome): object {
  if (outcome.kind !== 'succeeded') {
    return outcome;
  }
  const sha256 = createHash('sha256').update(outcome.answer).digest('hex');
  return { ...outcome, bytes: Buffer.byteLength(outcome.answer), sha256 };
}
