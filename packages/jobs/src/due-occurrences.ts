/**
 * Opens the occurrences of repeated jobs that are due. An occurrence takes memory from then on until it is over,
 * and any number of them may be due at once: so only as many are open as keep the workers busy.
 */

import type { JobContext } from './context.js';
import { isStepReady, isWaiting, openOccurrence, type Job, type Occurrence } from './model.js';

/** Most tasks of open occurrences that could start, shared equally by the jobs that have more due. */
const MAX_STARTABLE_TASKS = 500;
/** Most tasks of open occurrences of all jobs together, beside one occurrence of each job. */
const MAX_OPEN_TASKS = 10_000;

export class DueOccurrences {
  private readonly jobs = new Set<Job>();

  constructor(
    private readonly context: JobContext,
    private readonly opened: (occurrence: Occurrence) => void,
  ) {}

  add(job: Job): void {
    this.jobs.add(job);
  }

  remove(job: Job): void {
    this.jobs.delete(job);
  }

  /** Number of occurrences that are due and not opened. */
  get heldBackCount(): number {
    return [...this.jobs].reduce((sum, job) => sum + this.heldBackOf(job), 0);
  }

  /** Opens what is due and has room. Each job has at least one occurrence open while any is due. */
  open(): void {
    const behind = [...this.jobs].filter((job) => this.heldBackOf(job) > 0);
    if (behind.length === 0) {
      return;
    }
    const share = Math.max(1, Math.floor(MAX_STARTABLE_TASKS / behind.length));
    let openTasks = [...this.jobs].reduce((sum, job) => sum + openTasksOf(job), 0);
    for (const job of behind) {
      const { size } = job.occurrences;
      this.openOccurrencesOf(job, share, MAX_OPEN_TASKS - openTasks);
      openTasks += (job.occurrences.size - size) * tasksOfOccurrence(job);
    }
  }

  private openOccurrencesOf(job: Job, maxStartable: number, maxTasks: number): void {
    const { plan } = job;
    if (plan === undefined) {
      return;
    }
    const tasks = tasksOfOccurrence(job);
    let startableTasks = this.startableTasksOf(job);
    let tasksLeft = maxTasks;
    for (let heldBack = this.heldBackOf(job); heldBack > 0; heldBack -= 1) {
      const hasRoom = startableTasks < maxStartable && tasks <= tasksLeft;
      if (!hasRoom && job.occurrences.size > 0) {
        return;
      }
      this.opened(openOccurrence(job, plan));
      startableTasks += tasks;
      tasksLeft -= tasks;
    }
  }

  /** Tasks of open occurrences that wait for nothing but a start. */
  private startableTasksOf({ occurrences }: Job): number {
    let count = 0;
    for (const { steps } of occurrences.values()) {
      for (const step of steps) {
        if (isStepReady(step) && this.context.obstacleOf(step) === undefined) {
          count += step.tasks.filter(isWaiting).length;
        }
      }
    }
    return count;
  }

  private heldBackOf({ plan, openedCount }: Job): number {
    if (plan?.repetition === undefined) {
      return 0;
    }
    const { count, firstAt, intervalMillis } = plan.repetition;
    const sinceFirst = this.context.wall - firstAt;
    if (sinceFirst < 0) {
      return 0;
    }
    const dueCount = intervalMillis === 0 ? count : Math.floor(sinceFirst / intervalMillis) + 1;
    return Math.max(0, Math.min(count, dueCount) - openedCount);
  }
}

function tasksOfOccurrence({ plan }: Job): number {
  return plan?.steps.reduce((sum, { count }) => sum + count, 0) ?? 0;
}

function openTasksOf(job: Job): number {
  return job.occurrences.size * tasksOfOccurrence(job);
}
