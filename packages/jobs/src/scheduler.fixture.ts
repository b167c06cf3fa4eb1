/** Builds a scheduler for tests, which emulate its store and its workers. */

import { brandAs, type MemberId, type QueueId, type WorkerId } from '@bamboowell/types/ids';
import {
  NO_PROGRESS,
  type EndedEntry,
  type EndNumber,
  type JobConfiguration,
  type JobId,
  type JobPlan,
  type WorkerIncarnation,
  type RunOutcome,
  type RunningEntry,
  type RunNumber,
  type SavedProgress,
  type StepId,
  type StepTaskId,
  type Ticket,
  type WallInstant,
  type WorkerRegistration,
} from '@bamboowell/types/job';
import { DEFAULT_SCHEDULING, type SchedulingOptions } from '@bamboowell/types/scheduling';
import type { Deadline, Instant } from '@bamboowell/types/time';
import type {
  JobAnswer,
  JobInput,
  JobOutput,
  JobToken,
  LeaseSuspension,
  OrderAnswer,
  StartOrder,
} from './messages.js';
import type { KnownEvacuations } from './evacuations.js';
import { configurationOf, workerRegistration } from './plans.fixture.js';
import { SmallestFirst } from './ordering.js';
import type { PlacementPreview } from './placement-preview.js';
import { restoreJobs } from './records.js';
import { JobScheduler, type Times } from './scheduler.js';

/** Leases given by an earlier owner have lapsed this long after a takeover, milliseconds. */
export const EARLIER_LEASES_MILLIS = 6000;
/** Starts that the link to a worker delivers in time, unless a test says otherwise. */
export const START_LIMIT = 1000;
const START_WALL = 1_700_000_000_000;

export interface HarnessOptions {
  readonly configuration?: JobConfiguration;
  readonly workers?: readonly WorkerRegistration[];
  readonly scheduling?: SchedulingOptions;
}

/** A start order with the incarnation of the worker that received it. */
export interface ReceivedStart extends StartOrder {
  readonly incarnation: WorkerIncarnation;
}

export function schedulerHarness(options: HarnessOptions = {}) {
  const store = new Map<string, unknown>();
  let workers = options.workers ?? [workerRegistration('w1'), workerRegistration('w2')];
  const configuration = options.configuration ?? configurationOf();
  let millis = 1000;
  let tokens = 0;
  let ends = 0;
  const startLimits = new Map<WorkerIncarnation, number>();
  const answers = new Map<JobToken, JobAnswer>();
  const outputs: JobOutput[] = [];

  const times = (): Times => ({
    now: brandAs<Instant>(millis),
    wall: brandAs<WallInstant>(START_WALL + millis),
  });
  const newScheduler = (
    ownConfiguration: JobConfiguration,
    evacuations?: KnownEvacuations,
  ): JobScheduler => {
    const earlierLeasesEnd = brandAs<Deadline>(millis + EARLIER_LEASES_MILLIS);
    const restored = restoreJobs(store);
    const ordering = new SmallestFirst();
    return new JobScheduler(
      {
        ordering,
        configuration: ownConfiguration,
        scheduling: options.scheduling ?? DEFAULT_SCHEDULING,
        earlierLeasesEnd,
        leasesEnd: (now) => brandAs<Deadline>(now + EARLIER_LEASES_MILLIS),
        restored,
        workers,
        evacuations,
      },
      times(),
    );
  };
  let scheduler = newScheduler(configuration);

  const record = (added: readonly JobOutput[]): void => {
    for (const output of added) {
      outputs.push(output);
      if (output.kind === 'answer') {
        answers.set(output.token, output.answer);
      }
    }
  };
  const send = (input: JobInput): void => {
    record(scheduler.step(input, times()));
  };
  /** Stores all pending batches. */
  const commit = (): void => {
    for (let batch = scheduler.takeBatch(); batch !== undefined; batch = scheduler.takeBatch()) {
      for (const { key, value } of batch.writes) {
        if (value === undefined) {
          store.delete(key);
        } else {
          store.set(key, JSON.parse(JSON.stringify(value)) as unknown);
        }
      }
      send({ kind: 'committed', batch: batch.number });
    }
  };
  const token = (): JobToken => {
    tokens += 1;
    return brandAs<JobToken>(tokens);
  };

  const harness = {
    store,
    outputs,
    send,
    commit,
    answers,
    now: () => brandAs<Instant>(millis),
    needsPlacement: () => scheduler.needsPlacement,
    figures: () => scheduler.figures(),
    waitingReasons: () => scheduler.waitingReasons(),
    advance: (by: number): void => {
      millis += by;
    },
    /** A new owner takes over with what is stored. */
    takeOver: (
      ownConfiguration = configuration,
      registrations = workers,
      evacuations?: KnownEvacuations,
    ): void => {
      workers = registrations;
      outputs.length = 0;
      scheduler = newScheduler(ownConfiguration, evacuations);
      record(scheduler.takeOutputs());
    },
    submit: (plan: JobPlan, checkedBy = configuration.version): JobToken => {
      const submitted = token();
      send({ kind: 'submit', plan, configuration: checkedBy, token: submitted });
      return submitted;
    },
    /** Submits a job while the store takes nothing. */
    submitAway: (plan: JobPlan): JobToken => {
      const submitted = token();
      const { version } = configuration;
      send({ kind: 'submit', plan, configuration: version, token: submitted, isStoreAway: true });
      return submitted;
    },
    cancel: (job: JobId): JobToken => {
      const cancelled = token();
      send({ kind: 'cancel', job, token: cancelled });
      return cancelled;
    },
    stateOf: (job: JobId): JobAnswer | undefined => {
      const sent = token();
      send({ kind: 'query', job, token: sent });
      return answers.get(sent);
    },
    preview: (plan: JobPlan): PlacementPreview => {
      const sent = token();
      send({ kind: 'preview', plan, token: sent });
      const answer = answers.get(sent);
      if (answer?.kind !== 'preview') {
        throw new Error('no preview');
      }
      return answer.preview;
    },
    waitingIn: (queue: QueueId): JobAnswer | undefined => {
      const sent = token();
      send({ kind: 'count', queue, token: sent });
      return answers.get(sent);
    },
    /** The worker reports these runs and ends; requested now. */
    report: (
      incarnation: WorkerIncarnation,
      running: readonly RunningEntry[] = [],
      ended: readonly EndedEntry[] = [],
      suspension?: LeaseSuspension,
    ): void => {
      send({
        kind: 'report',
        report: {
          incarnation,
          askedAt: brandAs<Instant>(millis),
          running,
          ended,
          suspension,
          startLimit: startLimits.get(incarnation) ?? START_LIMIT,
        },
      });
    },
    /** From now on the link to the worker delivers at most so many starts in time. */
    limitStarts: (incarnation: WorkerIncarnation, limit: number): void => {
      startLimits.set(incarnation, limit);
    },
    /**
     * Another process registers under the id of a worker and answers. Its first report comes over the link that is
     * opened to it after that.
     */
    replaceWorker: (registration: WorkerRegistration): void => {
      send({ kind: 'worker', registration });
      harness.report(registration.incarnation);
    },
    answerStart: (
      { incarnation, task, run }: ReceivedStart,
      answer: OrderAnswer = { kind: 'done' },
      hasUnansweredCopies = false,
    ): void => {
      send({
        kind: 'order_answered',
        order: 'start',
        incarnation,
        task,
        run,
        answer,
        hasUnansweredCopies,
      });
    },
    answerStop: ({ incarnation, task, run }: ReceivedStart): void => {
      const answer = { kind: 'done' } as const;
      const order = 'stop';
      const hasUnansweredCopies = false;
      send({ kind: 'order_answered', order, incarnation, task, run, answer, hasUnansweredCopies });
    },
    /** The worker reports the end of the run. */
    end: ({ incarnation, task, run }: ReceivedStart, end: RunOutcome, saved = ''): void => {
      ends += 1;
      const entry: EndedEntry = {
        number: brandAs<EndNumber>(ends),
        task,
        run,
        end,
        saved: brandAs<SavedProgress>(saved),
      };
      harness.report(incarnation, [], [entry]);
    },
    /** Every worker sends its first report: it runs nothing. */
    reportFromAll: (): void => {
      workers.forEach(({ incarnation }) => {
        harness.report(incarnation);
      });
    },
    /** Runs a placement pass and stores it; returns the starts that were sent. */
    place: (): ReceivedStart[] => {
      const before = outputs.length;
      send({ kind: 'place', mayStart: true });
      commit();
      return startsIn(outputs.slice(before));
    },
    starts: (): ReceivedStart[] => startsIn(outputs),
    stops: () =>
      outputs.flatMap((output) =>
        output.kind === 'order' && output.order.kind === 'stop' ? [output.order] : [],
      ),
    of: <Kind extends JobOutput['kind']>(kind: Kind) =>
      outputs.filter(
        (output): output is Extract<JobOutput, { kind: Kind }> => output.kind === kind,
      ),
    addMember: (name: string, roundTripMillis = 0): MemberId => {
      const member = brandAs<MemberId>(name);
      send({ kind: 'adviser', member, roundTripMillis });
      return member;
    },
    grant: (step: StepId, ids: readonly WorkerId[], validMillis = 2500): void => {
      const granted = ids.map((worker) => ({
        worker,
        ticket: brandAs<Ticket>(`ticket ${worker}`),
      }));
      const until = brandAs<Deadline>(millis + validMillis);
      send({ kind: 'advice', step, granted, until, tookMillis: 10 });
    },
  };
  record(scheduler.takeOutputs());
  return harness;
}

function startsIn(outputs: readonly JobOutput[]): ReceivedStart[] {
  return outputs.flatMap((output) =>
    output.kind === 'order' && output.order.kind === 'start'
      ? [{ ...output.order, incarnation: output.incarnation }]
      : [],
  );
}

export function runningEntry(
  { task, run }: { readonly task: StepTaskId; readonly run: RunNumber },
  saved: string = NO_PROGRESS,
  percent = 10,
): RunningEntry {
  return { task, run, saved: brandAs<SavedProgress>(saved), percent };
}
