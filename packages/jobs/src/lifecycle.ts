/**
 * Takes jobs from acceptance through their steps to completion, failure or cancellation, and
 * forgets them.
 */

import { brandAs, type QueueId } from '@bamboowell/types/ids';
import {
  NO_PROGRESS,
  type JobId,
  type JobPlan,
  type JobState,
  type RunNumber,
  type WallInstant,
} from '@bamboowell/types/job';
import { jobAdmissionOf, type JobAdmission } from './admission.js';
import { previewedAdmissionOf, type JobPreviewBasis } from './placement-preview.js';
import { isSpecKey, jobOfKey } from './records.js';
import { TokenBuckets } from './token-buckets.js';
import { UnsentJobs } from './unsent-jobs.js';
import type { SchedulingOptions } from '@bamboowell/types/scheduling';
import { deadlineAfter, hasPassed, type Deadline } from '@bamboowell/types/time';
import type { JobContext } from './context.js';
import { DueOccurrences } from './due-occurrences.js';
import type { LentRoom } from './lent-room.js';
import type { JobAnswer, JobToken } from './messages.js';
import {
  isEnded,
  isStepDone,
  isStepReady,
  isWaiting,
  newJob,
  newOccurrence,
  openOccurrence,
  recordFailedOn,
  type Job,
  type Occurrence,
  type Run,
  type Step,
  type Task,
  type Worker,
} from './model.js';

/** Most jobs kept at once, open and ended. */
export const MAX_JOBS = 40_000;
/** How long the state of an ended job can be queried, milliseconds; the platform requires 120 s. */
const ENDED_RETENTION_MILLIS = 150_000;
/** When a caller should come back whose job has no room in the owner's memory: jobs end all the time. */
const OUT_OF_MEMORY_RETRY_AFTER_SECONDS = 5;
/** Interval between scans for ended jobs to forget, milliseconds. */
const FORGET_INTERVAL_MILLIS = 1000;

const NOT_STORED: JobAnswer = { kind: 'refused', reason: 'overloaded' };

export class Lifecycle {
  /** Steps that are not done and whose earlier steps are all done. */
  readonly readySteps = new Set<Step>();
  /** Open jobs with more than one step. */
  readonly multiStepJobs = new Set<Job>();
  private readonly dueOccurrences: DueOccurrences;
  private readonly tokenBuckets = new TokenBuckets();
  private readonly admission: JobAdmission;
  private nextForgetAt: Deadline = brandAs<Deadline>(0);
  private readonly unsent: UnsentJobs;

  constructor(
    private readonly context: JobContext,
    private readonly stopRun: (run: Run) => void,
    scheduling: SchedulingOptions,
    /** Set if what teams run beyond their promised rate is shared between them. */
    private readonly lentRoom: LentRoom | undefined,
  ) {
    this.unsent = new UnsentJobs(context, (job) => {
      this.discard(job);
    });
    this.dueOccurrences = new DueOccurrences(context, (occurrence) => {
      this.occurrenceOpened(occurrence);
    });
    this.admission = jobAdmissionOf(scheduling, context, this.readySteps, lentRoom);
    context.firstStarted = (job) => {
      this.admission.recordStarted(job);
    };
  }

  /**
   * @param checkedBy version of the configuration by which the request was checked.
   * @param isStoreAway whether the store takes nothing at present.
   */
  submit(plan: JobPlan, checkedBy: number, token: JobToken, isStoreAway = false): void {
    const { context } = this;
    const existing = context.jobs.get(plan.id);
    if (existing !== undefined) {
      this.answerAfterCommit(existing, token, { kind: 'accepted', repeated: true });
      return;
    }
    const queue = context.queue(plan.queue);
    const hasRoom = context.jobs.size < MAX_JOBS && context.memory.hasRoomFor(plan);
    if (queue === undefined || !hasRoom) {
      const configuration = context.configuration?.version ?? 0;
      const unknown = checkedBy > configuration ? 'configuration_outdated' : 'unknown_queue';
      const reason = queue === undefined ? unknown : 'overloaded';
      context.event('job.refused', {
        job: plan.id,
        queue: plan.queue,
        reason,
        configuration,
        checkedBy,
        jobBytes: context.memory.bytes,
      });
      const retryAfterSeconds = OUT_OF_MEMORY_RETRY_AFTER_SECONDS;
      const hint = reason === 'overloaded' ? { retryAfterSeconds } : {};
      context.emit({ kind: 'answer', token, answer: { kind: 'refused', reason, ...hint } });
      return;
    }
    if (isStoreAway && this.unsent.isFull) {
      this.unsent.refuse(plan.id, plan.queue, token);
      return;
    }
    const isExcess = !this.isWithinPromisedRate(plan);
    const decision = this.admission.decide(plan, queue, isExcess);
    if (decision.kind === 'refused') {
      const { reason, retryAfterSeconds, forecastMillis } = decision;
      context.event('job.refused', {
        job: plan.id,
        queue: plan.queue,
        reason,
        excess: isExcess,
        waitingSteps: this.readySteps.size,
        retryAfterSeconds,
        ...(forecastMillis === undefined ? {} : { forecastMillis }),
      });
      context.emit({
        kind: 'answer',
        token,
        answer: { kind: 'refused', reason: 'overloaded', retryAfterSeconds },
      });
      return;
    }
    const job = newJob(plan, queue, context.wall);
    job.isExcess = isExcess;
    this.admission.recordAdmitted(job, decision);
    context.addNew(job);
    context.event('job.taken', {
      job: job.id,
      queue: plan.queue,
      team: plan.team ?? '',
      steps: plan.steps.length,
      tasks: plan.steps.reduce((sum, { count }) => sum + count, 0),
      excess: job.isExcess,
      configuration: context.configuration?.version ?? 0,
    });
    this.answerAfterCommit(job, token, { kind: 'accepted', repeated: false });
    this.activate(job, plan);
    this.lentRoom?.recordAccepted(job);
  }

  /** Whether the job would be taken, and its first step; nothing is changed. */
  preview(plan: JobPlan): JobPreviewBasis {
    const { context } = this;
    const existing = context.jobs.get(plan.id);
    if (existing !== undefined) {
      const occurrences = [...existing.occurrences.values()];
      const steps = occurrences.flatMap((occurrence) => occurrence.steps);
      const step = steps.find((each) => this.readySteps.has(each) && each.tasks.some(isWaiting));
      return { admission: { kind: 'taken_before', isExcess: existing.isExcess }, step };
    }
    const queue = context.queue(plan.queue);
    if (queue === undefined) {
      return { admission: { kind: 'refused', reason: 'unknown_queue' }, step: undefined };
    }
    const team = plan.team === undefined ? undefined : context.team(plan.team);
    if (plan.team !== undefined && team === undefined) {
      return { admission: { kind: 'refused', reason: 'unknown_team' }, step: undefined };
    }
    const isExcess =
      team !== undefined && !this.tokenBuckets.has(team.id, team.weight, context.wall);
    const job = newJob(plan, queue, context.wall);
    job.isExcess = isExcess;
    const [step] = newOccurrence(job, plan, 0).steps;
    if (context.jobs.size >= MAX_JOBS || !context.memory.hasRoomFor(plan)) {
      return { admission: { kind: 'refused', reason: 'overloaded', isExcess }, step };
    }
    const decision = this.admission.preview(plan, queue, isExcess);
    return { admission: previewedAdmissionOf(decision, isExcess, context.now), step };
  }

  /** Refuses these submissions of a job and drops it, unless records of it were sent to the store. */
  dropUnsent(id: JobId, tokens: readonly JobToken[]): void {
    this.unsent.drop(id, tokens);
  }

  cancel(id: JobId, token: JobToken): void {
    const job = this.context.jobs.get(id);
    if (job === undefined) {
      this.context.emit({ kind: 'answer', token, answer: { kind: 'unknown_job' } });
      return;
    }
    if (!isEnded(job.state)) {
      this.end(job, 'cancelled', 'cancelled by the caller');
    }
    this.answerAfterCommit(job, token, { kind: 'cancelled' });
  }

  /** Number of occurrences that are due and not opened. */
  get heldBackOccurrences(): number {
    return this.dueOccurrences.heldBackCount;
  }

  query(id: JobId, token: JobToken): void {
    const job = this.context.jobs.get(id);
    const answer: JobAnswer =
      job === undefined ? { kind: 'unknown_job' } : { kind: 'state', state: job.visibleState };
    this.context.emit({ kind: 'answer', token, answer });
  }

  countWaiting(queue: QueueId, token: JobToken): void {
    let waiting = 0;
    for (const job of this.context.jobs.values()) {
      const isWaiting = !isEnded(job.state) && !job.hasStarted;
      if (isWaiting && job.plan?.queue === queue && job.plan.repetition === undefined) {
        waiting += 1;
      }
    }
    this.context.emit({ kind: 'answer', token, answer: { kind: 'count', waiting } });
  }

  /** Takes over a job that an earlier owner stored. */
  resume(job: Job): void {
    this.context.add(job);
    // The stored queue is the one at acceptance, and later configurations may have changed it.
    job.queue = this.context.queue(job.queue.id) ?? job.queue;
    if (isEnded(job.state)) {
      this.context.archive.add(job);
    } else if (job.plan !== undefined) {
      this.activate(job, job.plan);
    }
  }

  /** Makes the step ready for placement, unless it must wait, is done, or its job has ended. */
  enqueueIfReady(step: Step): void {
    if (!isEnded(step.job.state) && isStepReady(step) && !isStepDone(step)) {
      step.readySince ??= this.context.now;
      this.readySteps.add(step);
    }
  }

  /** Handles a successful run. The success of one member completes a whole gang. */
  runSucceeded(task: Task, number: RunNumber): void {
    const { step } = task;
    const members = step.plan.isGang ? step.tasks : [task];
    for (const member of members) {
      this.markDone(member, number);
      this.context.markTaskChanged(member);
    }
    if (isStepDone(step)) {
      this.readySteps.delete(step);
      step.occurrence.steps.forEach((later) => {
        this.enqueueIfReady(later);
      });
    }
    this.completeIfDone(step.job);
  }

  /** Handles a failed run. All members of a gang that share a run number count as one failure. */
  runFailed(task: Task, worker: Worker, number: RunNumber): void {
    const { step } = task;
    recordFailedOn(task, worker.id);
    if (step.plan.isGang && step.lastFailedRun === number) {
      return;
    }
    step.lastFailedRun = number;
    const counted = step.plan.isGang ? (step.tasks[0] ?? task) : task;
    counted.failures += 1;
    this.context.markTaskChanged(counted);
    const { attempts } = step.job.queue;
    if (!step.plan.isLasting && counted.failures >= attempts && !isEnded(step.job.state)) {
      this.end(step.job, 'failed', `${counted.failures} runs of ${task.id} failed`);
    }
  }

  /** Ends a job that can't be done. */
  giveUp(job: Job, reason: string): void {
    if (!isEnded(job.state)) {
      this.end(job, 'failed', reason);
    }
  }

  /**
   * Gives up the job of a record that the store doesn't take, so that all others go on. One whose plan can't
   * be stored was not accepted yet.
   */
  recordRejected(key: string): void {
    const id = jobOfKey(key);
    const job = id === undefined ? undefined : this.context.jobs.get(id);
    this.context.event('record.rejected', { key, isOfOpenJob: job !== undefined });
    if (job === undefined || isEnded(job.state)) {
      return;
    }
    this.end(job, 'failed', `the store doesn't take its record ${key}`);
    if (isSpecKey(key)) {
      this.context.forget(job);
    }
  }

  /** Opens the occurrences that are due, archives ended jobs and forgets those that ended long ago. */
  tick(): void {
    this.admission.tick();
    this.dueOccurrences.open();
    if (hasPassed(this.nextForgetAt, this.context.now)) {
      this.nextForgetAt = deadlineAfter(this.context.now, FORGET_INTERVAL_MILLIS);
      this.forgetEnded();
      this.context.archiveEnded();
    }
  }

  private forgetEnded(): void {
    for (const job of this.context.jobs.values()) {
      if (job.endedAt === undefined) {
        continue;
      }
      if (job.endedAt + ENDED_RETENTION_MILLIS <= this.context.wall) {
        this.context.forget(job);
      } else {
        this.context.release(job);
      }
    }
  }

  private isWithinPromisedRate({ team: id }: JobPlan): boolean {
    const team = id === undefined ? undefined : this.context.team(id);
    return team === undefined || this.tokenBuckets.take(team.id, team.weight, this.context.wall);
  }

  private answerAfterCommit(job: Job, token: JobToken, answer: JobAnswer): void {
    this.context.markChanged(job);
    this.context.afterCommit(() => {
      const isStored = this.context.jobs.get(job.id) === job;
      this.context.emit({ kind: 'answer', token, answer: isStored ? answer : NOT_STORED });
    });
  }

  private activate(job: Job, plan: JobPlan): void {
    if (plan.repetition !== undefined) {
      this.dueOccurrences.add(job);
    } else if (job.openedCount === 0) {
      openOccurrence(job, plan);
    }
    job.occurrences.forEach((occurrence) => {
      this.enqueueReadySteps(occurrence);
    });
    if (plan.steps.length > 1) {
      this.multiStepJobs.add(job);
    }
    this.context.needsPlacement = true;
    this.completeIfDone(job);
  }

  private occurrenceOpened(occurrence: Occurrence): void {
    this.enqueueReadySteps(occurrence);
    const [step] = occurrence.steps;
    if (step !== undefined) {
      this.context.markChanged(step.job);
    }
    this.context.needsPlacement = true;
  }

  private enqueueReadySteps({ steps }: Occurrence): void {
    steps.forEach((step) => {
      this.enqueueIfReady(step);
    });
  }

  private markDone(task: Task, number: RunNumber): void {
    if (task.isDone) {
      return;
    }
    task.isDone = true;
    task.saved = NO_PROGRESS;
    task.step.doneCount += 1;
    for (const run of [...task.runs]) {
      if (task.step.plan.isGang && run.number === number) {
        // Members end together: this run keeps its resources until its worker reports the end.
        run.phase = 'stopping';
        run.confirmedAt ??= this.context.now;
      } else {
        this.stopRun(run);
      }
    }
  }

  private completeIfDone(job: Job): void {
    const { plan } = job;
    if (plan === undefined || isEnded(job.state)) {
      return;
    }
    const expected = plan.repetition?.count ?? 1;
    const isDone =
      job.openedCount >= expected &&
      [...job.occurrences.values()].every(({ steps }) => steps.every(isStepDone));
    if (isDone) {
      this.end(job, 'completed', 'all tasks done');
    }
  }

  /** Undoes the acceptance of a job that is dropped. */
  private discard(job: Job): void {
    this.withdrawSteps(job);
    const team = job.plan?.team;
    if (team !== undefined && !job.isExcess) {
      this.tokenBuckets.giveBack(team);
    }
  }

  private end(job: Job, state: JobState, reason: string): void {
    job.state = state;
    job.endedAt = brandAs<WallInstant>(this.context.wall);
    this.withdrawSteps(job);
    this.context.markChanged(job);
    this.context.afterCommit(() => {
      job.visibleState = state;
      if (this.context.jobs.get(job.id) === job) {
        this.context.archive.add(job);
      }
    });
    this.context.needsPlacement = true;
    this.context.event('job.ended', {
      job: job.id,
      queue: job.plan?.queue ?? '',
      state,
      reason,
      afterMillis: this.context.wall - job.acceptedAt,
    });
  }

  /** Takes the job's steps out of scheduling and stops its runs. */
  private withdrawSteps(job: Job): void {
    this.dueOccurrences.remove(job);
    this.multiStepJobs.delete(job);
    for (const { steps } of job.occurrences.values()) {
      for (const step of steps) {
        this.readySteps.delete(step);
        step.tasks
          .flatMap(({ runs }) => [...runs])
          .forEach((run) => {
            this.stopRun(run);
          });
      }
    }
  }
}
