/** Runs the real job scheduler with modelled workers, members and store in virtual time. */

import { Heap } from 'heap-js';
import type { JobOutput, JobToken, StartOrder } from '@bamboowell/jobs/messages';
import type { JobOrdering } from '@bamboowell/jobs/ordering';
import { JobScheduler, type Times } from '@bamboowell/jobs/scheduler';
import { brandAs, type MemberId, type WorkerId } from '@bamboowell/types/ids';
import {
  workerIncarnationOf,
  NO_PROGRESS,
  type EndedEntry,
  type EndNumber,
  type JobConfiguration,
  type WorkerIncarnation,
  type RunNumber,
  type StepId,
  type StepTaskId,
  type Ticket,
  type WallInstant,
  type WorkerRegistration,
} from '@bamboowell/types/job';
import { DEFAULT_SCHEDULING, type SchedulingOptions } from '@bamboowell/types/scheduling';
import { NO_RESOURCES } from '@bamboowell/types/resources';
import type { Deadline, Instant } from '@bamboowell/types/time';
import { amountOf } from './fleets.js';
import { queueOf, TEAMS, type JobArrival, type JobKind } from './job-demand.js';
import { cpuMicrosOf } from './usage.js';

export interface JobModelOptions {
  readonly kinds: readonly JobKind[];
  readonly arrivals: readonly JobArrival[];
  readonly ordering: JobOrdering;
  readonly workers: number;
  readonly members: number;
  /** The default settings if left out. */
  readonly scheduling?: SchedulingOptions;
  /** How many times as long as its arrival says a run of a task takes on the worker; 1 if left out. */
  readonly runFactorOf?: (worker: WorkerId, task: StepTaskId, run: RunNumber) => number;
  /** Whether workers report how far a run is; if left out, every run is reported as half done. */
  readonly showsProgress?: boolean;
}

/** How long the jobs took, and what the scheduler cost. */
export interface JobModelResult {
  /** Milliseconds from arrival to the end, by job; absent for jobs that did not end. */
  readonly endedAfter: ReadonlyMap<string, number>;
  readonly passes: number;
  /** CPU time of all placement passes, microseconds. */
  readonly passMicros: number;
  readonly starts: number;
  readonly adviceCalls: number;
}

/** Progress of all runs if the model shows none. */
const ASSUMED_PERCENT = 50;
/** Starts that the link to a worker delivers in time. */
const START_LIMIT = 1000;
const WORKER_CORES = 64;
const WORKER_GIB = 128;
/** Time step of the model. */
const TICK_MILLIS = 5;
/** Time until the store confirms a batch of records. */
const COMMIT_MILLIS = 10;
/** Percentage of the workers on which the advice allows a step to run. */
const GRANTED_PERCENT = 70;
/** How long the model continues after the last arrival. */
const TAIL_MILLIS = 15_000;
const START_WALL_MILLIS = 1_700_000_000_000;
const PROMISED_JOBS_PER_SECOND = 1_000_000;

interface ScheduledEvent {
  readonly at: number;
  readonly act: () => void;
}

interface ModelRun {
  readonly run: RunNumber;
  readonly beganAt: number;
  readonly millis: number;
}

interface ModelWorker {
  readonly registration: WorkerRegistration;
  readonly running: Map<StepTaskId, ModelRun>;
  ends: number;
}

/** Runs all arrivals. The same options give the same result, except for CPU time. */
export class JobModel {
  private now = 0;
  private readonly events = new Heap<ScheduledEvent>((left, right) => left.at - right.at);
  private readonly workers: Map<WorkerIncarnation, ModelWorker>;
  private readonly arrivals: ReadonlyMap<string, JobArrival>;
  /** When each member will have answered the advice calls it received so far. */
  private readonly busyUntil = new Map<MemberId, number>();
  private readonly endedAfter = new Map<string, number>();
  private readonly scheduler: JobScheduler;
  private tokens = 0;
  private passes = 0;
  private passMicros = 0;
  private starts = 0;
  private adviceCalls = 0;
  private readonly configuration: JobConfiguration;

  constructor(private readonly options: JobModelOptions) {
    this.configuration = configurationOf(options.kinds);
    this.workers = new Map(
      Array.from({ length: options.workers }, (_, number) => {
        const registration = registrationOf(number);
        return [registration.incarnation, { registration, running: new Map(), ends: 0 }];
      }),
    );
    this.arrivals = new Map(options.arrivals.map((arrival) => [arrival.plan.id, arrival]));
    this.scheduler = new JobScheduler(
      {
        ordering: options.ordering,
        configuration: this.configuration,
        scheduling: options.scheduling ?? DEFAULT_SCHEDULING,
        earlierLeasesEnd: brandAs<Deadline>(0),
        leasesEnd: (now) => brandAs<Deadline>(now),
        restored: { jobs: [], runs: [], archives: [], orphans: [], misplaced: [] },
        workers: [...this.workers.values()].map(({ registration }) => registration),
      },
      this.times(),
    );
  }

  run(): JobModelResult {
    this.handleOutputs(this.scheduler.takeOutputs());
    for (let number = 0; number < this.options.members; number += 1) {
      const member = brandAs<MemberId>(`member-${number}`);
      this.input({ kind: 'adviser', member, roundTripMillis: 0 });
    }
    this.options.arrivals.forEach((arrival) => {
      this.schedule(arrival.atMillis, () => {
        this.submit(arrival);
      });
    });
    const until = (this.options.arrivals.at(-1)?.atMillis ?? 0) + TAIL_MILLIS;
    while (this.now < until) {
      this.now += TICK_MILLIS;
      this.tick();
    }
    const { endedAfter, passes, passMicros, starts, adviceCalls } = this;
    return { endedAfter, passes, passMicros, starts, adviceCalls };
  }

  private tick(): void {
    for (let next = this.events.peek(); next !== undefined && next.at <= this.now;) {
      this.events.pop();
      next.act();
      next = this.events.peek();
    }
    if (this.scheduler.needsPlacement) {
      this.passes += 1;
      let outputs: JobOutput[] = [];
      this.passMicros += cpuMicrosOf(() => {
        outputs = this.scheduler.step({ kind: 'place', mayStart: true }, this.times());
      });
      this.handleOutputs(outputs);
    }
    this.commit();
  }

  private commit(): void {
    const batch = this.scheduler.takeBatch();
    if (batch !== undefined) {
      this.schedule(COMMIT_MILLIS, () => {
        this.input({ kind: 'committed', batch: batch.number });
      });
    }
  }

  private submit({ plan }: JobArrival): void {
    this.tokens += 1;
    this.input({
      kind: 'submit',
      plan,
      configuration: this.configuration.version,
      token: brandAs<JobToken>(this.tokens),
    });
  }

  private input(input: Parameters<JobScheduler['step']>[0]): void {
    this.handleOutputs(this.scheduler.step(input, this.times()));
  }

  private handleOutputs(outputs: readonly JobOutput[]): void {
    for (const output of outputs) {
      this.handleOutput(output);
    }
  }

  private handleOutput(output: JobOutput): void {
    if (output.kind === 'meet') {
      this.schedule(0, () => {
        this.report(output.registration.incarnation, []);
      });
    } else if (output.kind === 'ask_advice') {
      this.advise(output);
    } else if (output.kind === 'order' && output.order.kind === 'start') {
      this.start(output.incarnation, output.order);
    } else if (output.kind === 'order') {
      this.end(output.incarnation, output.order.task, output.order.run, 'stopped');
    } else if (output.kind === 'event' && output.name === 'job.ended') {
      this.recordEnd(String(output.fields.job));
    }
  }

  private recordEnd(job: string): void {
    const arrival = this.arrivals.get(job);
    if (arrival !== undefined) {
      this.endedAfter.set(job, this.now - arrival.atMillis);
    }
  }

  /** Answers an advice call. A member answers its calls one after the other. */
  private advise({ member, step, workers, timing }: Extract<JobOutput, { kind: 'ask_advice' }>) {
    this.adviceCalls += 1;
    const askedAt = this.now;
    const callMillis = timing.baseMillis + timing.perWorkerMillis * workers.length;
    const answeredAt = Math.max(askedAt, this.busyUntil.get(member) ?? 0) + callMillis;
    this.busyUntil.set(member, answeredAt);
    const granted = workers
      .filter((worker) => isGranted(step, worker))
      .map((worker) => ({ worker, ticket: brandAs<Ticket>('') }));
    this.schedule(answeredAt - askedAt, () => {
      const until = brandAs<Deadline>(this.now + timing.validMillis);
      const tookMillis = this.now - askedAt;
      this.input({ kind: 'advice', step, granted, until, tookMillis });
    });
  }

  private start(incarnation: WorkerIncarnation, { task, run }: StartOrder): void {
    this.starts += 1;
    const worker = this.workers.get(incarnation);
    if (worker === undefined) {
      return;
    }
    const factor = this.options.runFactorOf?.(worker.registration.id, task, run) ?? 1;
    const millis = factor * this.runMillisOf(task);
    worker.running.set(task, { run, beganAt: this.now, millis });
    this.input({
      kind: 'order_answered',
      order: 'start',
      incarnation,
      task,
      run,
      answer: { kind: 'done' },
      hasUnansweredCopies: false,
    });
    this.schedule(millis, () => {
      this.end(incarnation, task, run, 'done');
    });
  }

  private runMillisOf(task: StepTaskId): number {
    const [job = '', , step, index] = task.split('.');
    return this.arrivals.get(job)?.runMillis[Number(step)]?.[Number(index)] ?? 0;
  }

  private end(
    incarnation: WorkerIncarnation,
    task: StepTaskId,
    run: RunNumber,
    end: EndedEntry['end'],
  ): void {
    this.schedule(0, () => {
      const worker = this.workers.get(incarnation);
      if (worker?.running.get(task)?.run !== run) {
        return;
      }
      // A run that is neither listed nor reported as ended would count as lost.
      worker.running.delete(task);
      worker.ends += 1;
      const number = brandAs<EndNumber>(worker.ends);
      this.report(incarnation, [{ number, task, run, end, saved: NO_PROGRESS }]);
    });
  }

  private report(incarnation: WorkerIncarnation, ended: readonly EndedEntry[]): void {
    const running = [...(this.workers.get(incarnation)?.running ?? [])].map(([task, each]) => ({
      task,
      run: each.run,
      saved: NO_PROGRESS,
      percent: this.percentOf(each),
    }));
    const askedAt = brandAs<Instant>(this.now);
    this.input({
      kind: 'report',
      report: {
        incarnation,
        askedAt,
        running,
        ended,
        suspension: undefined,
        startLimit: START_LIMIT,
      },
    });
  }

  private percentOf({ beganAt, millis }: ModelRun): number {
    return this.options.showsProgress === true
      ? Math.floor((100 * (this.now - beganAt)) / millis)
      : ASSUMED_PERCENT;
  }

  private schedule(millis: number, act: () => void): void {
    this.events.push({ at: this.now + millis, act });
  }

  private times(): Times {
    return {
      now: brandAs<Instant>(this.now),
      wall: brandAs<WallInstant>(START_WALL_MILLIS + Math.round(this.now)),
    };
  }
}

function registrationOf(number: number): WorkerRegistration {
  const id = brandAs<WorkerId>(`worker-${number}`);
  return {
    id,
    incarnation: workerIncarnationOf(id, 1),
    address: '',
    service: 'tunnels',
    zone: '',
    isDraining: false,
    capacity: amountOf(WORKER_CORES, WORKER_GIB, 0, 0),
    labels: [],
    rack: undefined,
  };
}

function configurationOf(kinds: readonly JobKind[]): JobConfiguration {
  return {
    version: 1,
    queues: kinds.map(queueOf),
    teams: TEAMS.map((id) => ({
      id,
      keys: [],
      weight: PROMISED_JOBS_PER_SECOND,
      limit: NO_RESOURCES,
    })),
    maxBodyBytes: 262_144,
  };
}

/** Whether the advice allows the step on the worker. The same pair always gets the same answer. */
function isGranted(step: StepId, worker: WorkerId): boolean {
  let sum = 0;
  for (const character of step + worker) {
    sum = (sum * 31 + character.charCodeAt(0)) % 65_521;
  }
  return sum % 100 < GRANTED_PERCENT;
}
