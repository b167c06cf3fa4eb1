/**
 * Start commands that were sent and not answered. They may still reach the worker after the
 * connection is lost, so that a repeated start which can't be sent proves nothing about the
 * attempt.
 */

import type { AttemptId } from '@bamboowell/types/ids';
import type { WorkerInstant } from '@bamboowell/types/time';
import type { WorkerCommand, WorkerReport } from '@bamboowell/types/worker-messages';

type Start = Extract<WorkerCommand, { kind: 'start' }>;
type Attached = Extract<WorkerReport, { kind: 'attached' }>;

export class UnansweredStarts {
  /** The latest instant at which each attempt may start. */
  private readonly startDeadlines = new Map<AttemptId, WorkerInstant>();

  /** Whether the attempt may still start, or run, because of a start that was sent before. */
  has(attempt: AttemptId): boolean {
    return this.startDeadlines.has(attempt);
  }

  sent({ attempt, startBy }: Start): void {
    const earlier = this.startDeadlines.get(attempt);
    this.startDeadlines.set(
      attempt,
      earlier === undefined || startBy > earlier ? startBy : earlier,
    );
  }

  /** Handles a report of the worker. */
  reported(report: WorkerReport): void {
    switch (report.kind) {
      case 'started':
      case 'start_refused':
      case 'ended':
        this.startDeadlines.delete(report.attempt);
        break;
      case 'attached':
        this.attached(report);
        break;
      default:
        break;
    }
  }

  /** Removes the attempts that the worker lists and those that it can't start any more. */
  private attached({ attempts, workerNow }: Attached): void {
    for (const { attempt } of attempts) {
      this.startDeadlines.delete(attempt);
    }
    for (const [attempt, startBy] of this.startDeadlines) {
      if (startBy < workerNow) {
        this.startDeadlines.delete(attempt);
      }
    }
  }
}
