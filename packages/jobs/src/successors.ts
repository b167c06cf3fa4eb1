/**
 * Follows starts from an incarnation of a worker to the next one. A start names the worker's id, which stays,
 * so that a start which was sent to one process may be carried out by the process that replaced it.
 */

import type { WorkerIncarnation } from '@bamboowell/types/job';
import { NO_RESOURCES } from '@bamboowell/types/resources';
import type { Deadline, Instant } from '@bamboowell/types/time';
import type { JobContext } from './context.js';
import { NEVER_HEARD, newWorker, type Run, type Worker } from './model.js';

/** Of a worker that only stored runs name. */
export const UNKNOWN_ADDRESS = '';

export class Successors {
  private readonly ended = new Set<WorkerIncarnation>();

  constructor(
    private readonly context: JobContext,
    /** Returns when every lease that was given until now has lapsed. */
    private readonly leasesEnd: (now: Instant) => Deadline,
  ) {}

  /**
   * Connects to a worker, unless that has been done. One that the stored runs name may be registered
   * only later: its entry in the store may have expired while the store was away.
   */
  meet(worker: Worker): void {
    if (!worker.isMet) {
      worker.isMet = true;
      // From now on its link knows when its lease lapses.
      worker.isReachable = true;
      const { registration, lapsesAt } = worker;
      this.context.emit({ kind: 'meet', registration, lapsesAt });
    }
  }

  /** Whether the incarnation has ended: its registration may still be read, late or once more. */
  hasEnded(incarnation: WorkerIncarnation): boolean {
    return this.ended.has(incarnation);
  }

  recordEnd(incarnation: WorkerIncarnation): void {
    this.ended.add(incarnation);
  }

  /** An answer is a better proof than the order of registrations. */
  recordAnswer(incarnation: WorkerIncarnation): void {
    this.ended.delete(incarnation);
  }

  /**
   * Moves the runs to the successor that may have begun there. The first report over a new link tells: the
   * link has a higher fence, so that what hasn't begun by then never does.
   */
  moveUnproven(worker: Worker, incarnation: WorkerIncarnation): void {
    const runs = [...worker.runs.values()].filter(isUnproven);
    if (runs.length === 0) {
      return;
    }
    const successor = this.find(worker, incarnation);
    if (isElsewhere(worker, successor)) {
      return;
    }
    if (!successor.isMet) {
      successor.lapsesAt = this.leasesEnd(this.context.now);
      this.meet(successor);
    }
    for (const run of runs) {
      this.move(run, successor);
    }
    if (successor.hasReported) {
      this.lookFor(runs, successor);
    }
  }

  /** What hasn't begun there never does: a report that is asked for from now on tells. */
  private lookFor(runs: readonly Run[], { incarnation }: Worker): void {
    for (const { task, number: run, phase } of runs) {
      if (phase === 'stopping') {
        const order = { kind: 'stop', task: task.id, run } as const;
        this.context.emit({ kind: 'order', incarnation, order });
      }
    }
    this.context.emit({ kind: 'probe', incarnation });
  }

  /** The next incarnation of a worker. It may not be registered yet: then it gets no work. */
  private find({ registration }: Worker, incarnation: WorkerIncarnation): Worker {
    const existing = this.context.workers.get(incarnation);
    if (existing !== undefined) {
      return existing;
    }
    const successor = newWorker(
      { ...registration, incarnation, isDraining: true, capacity: NO_RESOURCES },
      this.leasesEnd(this.context.now),
    );
    successor.isRegistered = false;
    this.context.workers.set(incarnation, successor);
    return successor;
  }

  private move(run: Run, successor: Worker): void {
    const { task, number, worker } = run;
    this.context.withdraw(run);
    this.context.detach(run);
    this.context.attach({
      ...run,
      worker: successor,
      phase: run.phase === 'stopping' ? 'stopping' : 'ordered',
      confirmedAt: successor.hasReported ? this.context.now : undefined,
      progress: undefined,
      isTimed: false,
    });
    this.context.event('run.unproven', {
      task: task.id,
      run: number,
      worker: worker.id,
      life: worker.incarnation,
      successor: successor.incarnation,
    });
  }
}

/**
 * Whether its start was sent, and a copy of it was left unanswered or no report of its worker has listed the
 * run: an answer to a start doesn't tell which incarnation gave it.
 */
function isUnproven({ phase, progress, hasUnansweredStart }: Run): boolean {
  return phase !== 'recorded' && (progress === undefined || hasUnansweredStart);
}

/**
 * Whether the runs of the worker can't have reached the successor, which has another address. The runs of a worker
 * that never answered this owner are restored ones, whose starts may have been sent to any address.
 */
function isElsewhere({ lastHeardAt, registration }: Worker, successor: Worker): boolean {
  const { address } = registration;
  const isKnown = lastHeardAt !== NEVER_HEARD && address !== UNKNOWN_ADDRESS;
  return isKnown && address !== successor.registration.address;
}
