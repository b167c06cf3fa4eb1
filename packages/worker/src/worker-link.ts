/** Interface of the connection to one worker. */

import type { Result } from '@bamboowell/types/verdict';
import type { AttemptReport, WorkerCommand } from '@bamboowell/types/worker-messages';

export type { AttemptReport, WorkerCommand };

/**
 * The connection to one worker. Assumptions about a worker:
 * - It runs each attempt id at most once in an incarnation, and never starts one after its
 *   `startBy`, which is a reading of the worker's own clock.
 * - It stops an attempt by the end of its lease, which is also a reading of the worker's own clock.
 *   Its clock may differ from ours by any amount, but its rate by at most 1 in 100.
 * - Once it has seen an epoch, it refuses commands with lower ones.
 * - It keeps the outcome of an ended attempt until it is told to forget it.
 * - A restarted worker has a new incarnation and runs nothing of the earlier one.
 * - Usage and outcomes are reported with a delay, and a connection may go silent at any time.
 */
export abstract class WorkerLink {
  /** Sends a command. A refusal means that it was not sent and will not be. */
  abstract send(command: WorkerCommand): Result<null>;

  /** Closes the link; commands that were accepted may still arrive. */
  abstract close(): Promise<void>;
}
