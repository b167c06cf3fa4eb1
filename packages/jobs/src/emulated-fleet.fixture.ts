/** A scheduler with workers that run what they are told to, for as long as the test says. */

import { brandAs } from '@bamboowell/types/ids';
import type {
  EndNumber,
  EndedEntry,
  JobId,
  JobPlan,
  WorkerIncarnation,
} from '@bamboowell/types/job';
import { NO_PROGRESS } from '@bamboowell/types/job';
import type { Instant } from '@bamboowell/types/time';
import type { JobAnswer } from './messages.js';
import {
  runningEntry,
  schedulerHarness,
  type HarnessOptions,
  type ReceivedStart,
} from './scheduler.fixture.js';

/** Interval between placement passes and between reports, milliseconds. */
const TICK_MILLIS = 100;
/** A task that never ends by itself. */
export const FOR_EVER = Number.POSITIVE_INFINITY;

interface EmulatedRun {
  readonly start: ReceivedStart;
  readonly beganAt: Instant;
}

export function emulatedFleet(
  options: HarnessOptions & Required<Pick<HarnessOptions, 'configuration' | 'workers'>>,
) {
  const harness = schedulerHarness(options);
  harness.reportFromAll();
  const runMillis = new Map<JobId, number>();
  const submittedAt = new Map<JobId, Instant>();
  const begunAt = new Map<JobId, Instant>();
  let running: EmulatedRun[] = [];
  let ends = 0;
  let answeredCalls = 0;

  const jobOf = ({ task }: ReceivedStart): JobId => brandAs<JobId>(task.split('.')[0] ?? '');
  const millisOf = (start: ReceivedStart): number => runMillis.get(jobOf(start)) ?? 0;
  const isOver = ({ start, beganAt }: EmulatedRun): boolean =>
    harness.now() - beganAt >= millisOf(start);
  const percentOf = ({ start, beganAt }: EmulatedRun): number => {
    const millis = millisOf(start);
    return millis === FOR_EVER ? 100 : Math.floor((100 * (harness.now() - beganAt)) / millis);
  };
  const endedEntry = ({ start: { task, run } }: EmulatedRun): EndedEntry => {
    ends += 1;
    return { number: brandAs<EndNumber>(ends), task, run, end: 'done', saved: NO_PROGRESS };
  };
  const report = (incarnation: WorkerIncarnation): void => {
    const own = running.filter(({ start }) => start.incarnation === incarnation);
    const listed = own.filter((each) => !isOver(each));
    harness.report(
      incarnation,
      listed.map((each) => runningEntry(each.start, NO_PROGRESS, percentOf(each))),
      own.filter(isOver).map(endedEntry),
    );
    running = running.filter((each) => !own.includes(each) || listed.includes(each));
  };
  /** Advice comes by the next tick and allows all workers. */
  const answerCalls = (): void => {
    const calls = harness.of('ask_advice');
    calls.slice(answeredCalls).forEach(({ step, workers, timing }) => {
      harness.grant(step, workers, timing.validMillis);
    });
    answeredCalls = calls.length;
  };
  const tick = (): void => {
    harness.advance(TICK_MILLIS);
    answerCalls();
    options.workers.forEach(({ incarnation }) => {
      report(incarnation);
    });
    for (const start of harness.place()) {
      harness.answerStart(start);
      running.push({ start, beganAt: harness.now() });
      const job = jobOf(start);
      begunAt.set(job, begunAt.get(job) ?? harness.now());
    }
  };

  return {
    harness,
    /** Each task of the job takes so long. */
    submit: (plan: JobPlan, millis: number): JobAnswer | undefined => {
      runMillis.set(plan.id, millis);
      submittedAt.set(plan.id, harness.now());
      const token = harness.submit(plan);
      harness.commit();
      return harness.answers.get(token);
    },
    /** Lets time pass; `onTick` is called before each pass. */
    run: (millis: number, onTick: () => void = () => undefined): void => {
      for (let passed = 0; passed < millis; passed += TICK_MILLIS) {
        onTick();
        tick();
      }
    },
    /** Milliseconds from the submission of the job to its first start; undefined if it has not begun. */
    waitOf: (job: JobId): number | undefined => {
      const begun = begunAt.get(job);
      return begun === undefined ? undefined : begun - (submittedAt.get(job) ?? begun);
    },
    /** The jobs of the tasks that run on the worker, one entry a task. */
    jobsOn: (incarnation: WorkerIncarnation): JobId[] =>
      running
        .filter(({ start }) => start.incarnation === incarnation)
        .map(({ start }) => jobOf(start)),
  };
}

export type EmulatedFleet = ReturnType<typeof emulatedFleet>;
