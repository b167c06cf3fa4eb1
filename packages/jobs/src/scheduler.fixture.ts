/** Builds a scheduler with a store and workers that a test plays by hand. */

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
import type { Deadline, Instant } from '@bamboowell/types/time';
import type {
  JobAnswer,
  JobInput,
  JobOutput,
  JobToken,
  OrderAnswer,
  StartOrder,
} from './messages.js';
import { configurationOf, workerRegistration } from './plans.fixture.js';
import { SmallestFirst } from './ordering.js';
import { restoreJobs } from './records.js';
import { JobScheduler, type Times } from './scheduler.js';

/** Leases that an earlier owner gave have lapsed after this, milliseconds. */
export const EARLIER_LEASES_MILLIS = 6000;
const START_WALL = 1_700_000_000_000;

export interface HarnessOptions {
  readonly configuration?: JobConfiguration;
  readonly workers?: readonly WorkerRegistration[];
}

/** A start as the worker that got it sees it. */
export interface ReceivedStart extends StartOrder {
  readonly incarnation: WorkerIncarnation;
}

export function schedulerHarness(options: HarnessOptions = {}) {
  const store = new Map<string, unknown>();
  const workers = options.workers ?? [workerRegistration('w1'), workerRegistration('w2')];
  const configuration = options.configuration ?? configurationOf();
  let millis = 1000;
  let tokens = 0;
  let ends = 0;
  const answers = new Map<JobToken, JobAnswer>();
  const outputs: JobOutput[] = [];

  const times = (): Times => ({
    now: brandAs<Instant>(millis),
    wall: brandAs<WallInstant>(START_WALL + millis),
  });
  const make = (): JobScheduler => {
    const earlierLeasesEnd = brandAs<Deadline>(millis + EARLIER_LEASES_MILLIS);
    const restored = restoreJobs(store);
    const ordering = new SmallestFirst();
    return new JobScheduler(
      { ordering, configuration, earlierLeasesEnd, restored, workers },
      times(),
    );
  };
  let scheduler = make();

  const note = (news: readonly JobOutput[]): void => {
    for (const output of news) {
      outputs.push(output);
      if (output.kind === 'answer') {
        answers.set(output.token, output.answer);
      }
    }
  };
  const send = (input: JobInput): void => {
    note(scheduler.step(input, times()));
  };
  /** Lets the store take all that is due. */
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

  const bench = {
    store,
    outputs,
    send,
    commit,
    answers,
    now: () => brandAs<Instant>(millis),
    advance: (by: number): void => {
      millis += by;
    },
    /** Another owner takes over with what the store has. */
    takeOver: (): void => {
      outputs.length = 0;
      scheduler = make();
      note(scheduler.takeOutputs());
    },
    submit: (plan: JobPlan): JobToken => {
      const submitted = token();
      send({ kind: 'submit', plan, token: submitted });
      return submitted;
    },
    cancel: (job: JobId): JobToken => {
      const cancelled = token();
      send({ kind: 'cancel', job, token: cancelled });
      return cancelled;
    },
    stateOf: (job: JobId): JobAnswer | undefined => {
      const asked = token();
      send({ kind: 'query', job, token: asked });
      return answers.get(asked);
    },
    waitingIn: (queue: QueueId): JobAnswer | undefined => {
      const asked = token();
      send({ kind: 'count', queue, token: asked });
      return answers.get(asked);
    },
    /** The worker lists these runs and ends; asked now. */
    report: (
      incarnation: WorkerIncarnation,
      running: readonly RunningEntry[] = [],
      ended: readonly EndedEntry[] = [],
    ): void => {
      send({
        kind: 'report',
        report: { incarnation, askedAt: brandAs<Instant>(millis), running, ended },
      });
    },
    answerStart: (
      { incarnation, task, run }: ReceivedStart,
      answer: OrderAnswer = { kind: 'done' },
    ): void => {
      send({ kind: 'order_answered', order: 'start', incarnation, task, run, answer });
    },
    /** The run ended, by its worker's list. */
    end: ({ incarnation, task, run }: ReceivedStart, end: RunOutcome, saved = ''): void => {
      ends += 1;
      const entry: EndedEntry = {
        number: brandAs<EndNumber>(ends),
        task,
        run,
        end,
        saved: brandAs<SavedProgress>(saved),
      };
      bench.report(incarnation, [], [entry]);
    },
    /** All workers answer for the first time: they run nothing. */
    reportFromAll: (): void => {
      workers.forEach(({ incarnation }) => {
        bench.report(incarnation);
      });
    },
    /** Places what can be placed, and lets the store take it; returns the starts that were sent. */
    place: (): ReceivedStart[] => {
      const before = outputs.length;
      send({ kind: 'place' });
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
    addAdviser: (name: string, extraMillis = 0): MemberId => {
      const member = brandAs<MemberId>(name);
      send({ kind: 'adviser', member, roundTripMillis: extraMillis });
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
  note(scheduler.takeOutputs());
  return bench;
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
