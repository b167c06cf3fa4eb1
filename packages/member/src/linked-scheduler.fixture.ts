/**
 * A scheduler that reaches emulated workers over real links, as under an owner whose mailbox and store a
 * test holds up.
 */

import { match } from 'ts-pattern';
import { ManualClock } from '@bamboowell/kernel/manual-clock';
import { jobPlan, stepPlan, workerRegistration } from '@bamboowell/jobs/plans.fixture';
import type { JobOutput, JobToken } from '@bamboowell/jobs/messages';
import { schedulerHarness } from '@bamboowell/jobs/scheduler.fixture';
import { brandAs, type MemberId, type WorkerId } from '@bamboowell/types/ids';
import type { JobId, StepPlan, Term } from '@bamboowell/types/job';
import type { Deadline } from '@bamboowell/types/time';
import { EmulatedCuts } from './emulated-cuts.fixture.js';
import { EmulatedLink } from './emulated-link.fixture.js';
import { EmulatedWorker, EmulatedWorkerPort } from './emulated-workers.fixture.js';
import { JobInvariants } from './job-invariants.fixture.js';
import type { OwnerMessage } from './owner-messages.js';
import { WorkerPort, type HoldAnswer, type Unanswered } from './ports.js';
import { WorkerLinks } from './worker-links.js';

const STEP_MILLIS = 2;
const PASS_INTERVAL_MILLIS = 10;
const LONGEST_LEASE_MILLIS = 6000;
const GANG_ASSEMBLY_MILLIS = 3000;
/** Outlives every lease of a test. */
const LONG_TASK_MILLIS = 60_000;
const AMPLE_MBPS = 1000;
/** Passes after which an event is no longer waited for: twenty seconds. */
const MAX_PASSES = 2000;

/** Workers whose answers may get lost on their way, after the call has taken effect. */
class OneWayPort extends WorkerPort {
  readonly losesAnswersOf = new Set<WorkerId>();

  constructor(
    private readonly port: WorkerPort,
    private readonly clock: ManualClock,
  ) {
    super();
  }

  async hold(...call: Parameters<WorkerPort['hold']>): Promise<HoldAnswer> {
    const answer = await this.port.hold(...call);
    return this.losesAnswersOf.has(call[0].id) ? this.lose(call[2]) : answer;
  }

  async start(...call: Parameters<WorkerPort['start']>): ReturnType<WorkerPort['start']> {
    const answer = await this.port.start(...call);
    return this.losesAnswersOf.has(call[0].id) ? this.lose(call[4]) : answer;
  }

  async stop(...call: Parameters<WorkerPort['stop']>): ReturnType<WorkerPort['stop']> {
    const answer = await this.port.stop(...call);
    return this.losesAnswersOf.has(call[0].id) ? this.lose(call[2]) : answer;
  }

  disconnect(): void {
    // The emulation has no connections.
  }

  private async lose(deadline: Deadline): Promise<Unanswered> {
    await this.clock.sleepUntil(deadline);
    return { kind: 'unanswered', detail: 'no answer' };
  }
}

/** @param random returns a number from 0 to 1. */
export function linkedScheduler(names: readonly string[], random: () => number = () => 0.5) {
  const harness = schedulerHarness({ workers: names.map((name) => workerRegistration(name)) });
  const clock = new ManualClock(harness.now());
  const now = (): number => clock.now();
  const invariants = new JobInvariants(now);
  const workers = new Map<WorkerId, EmulatedWorker>();
  for (const name of names) {
    const { capacity } = workerRegistration(name);
    const worker = new EmulatedWorker(name, capacity, now, invariants, random);
    workers.set(worker.id, worker);
  }
  invariants.setWorkers(workers.values());
  const faults = { unreachable: new Set<WorkerId>(), lateOrderRate: 0 };
  const network = new EmulatedLink(clock, AMPLE_MBPS);
  const attachment = { member: brandAs<MemberId>('owner'), cuts: new EmulatedCuts(), clock };
  const port = new OneWayPort(
    new EmulatedWorkerPort(workers, clock, faults, random, network, attachment, clock),
    clock,
  );
  const mailbox: OwnerMessage[] = [];
  const openLinks = (term: number): WorkerLinks =>
    new WorkerLinks(
      {
        port,
        term: brandAs<Term>(term),
        owner: {
          post: (message) => {
            if (term === terms) {
              mailbox.push(message);
            }
            return 'accepted';
          },
        },
        longestLeaseMillis: LONGEST_LEASE_MILLIS,
        mayRenew: () => term === terms,
        mayStart: () => true,
        gangAssemblyMillis: GANG_ASSEMBLY_MILLIS,
      },
      clock,
    );
  let terms = 1;
  let links = openLinks(terms);
  let carriedOut = 0;
  let jobs = 0;
  const tokens = new Map<JobId, JobToken>();

  const execute = (output: JobOutput): void => {
    match(output)
      .with({ kind: 'meet' }, ({ registration, lapsesAt }) => {
        links.open(registration, lapsesAt);
      })
      .with({ kind: 'part' }, ({ incarnation }) => {
        links.close(incarnation);
      })
      .with(
        { kind: 'order' },
        { kind: 'withdraw' },
        { kind: 'renew' },
        { kind: 'probe' },
        { kind: 'acknowledge' },
        ({ incarnation, ...message }) => {
          links.post(incarnation, message);
        },
      )
      .with({ kind: 'answer' }, { kind: 'ask_advice' }, { kind: 'event' }, () => undefined)
      .exhaustive();
  };
  const carryOut = (): void => {
    for (const output of harness.outputs.slice(carriedOut)) {
      execute(output);
    }
    carriedOut = harness.outputs.length;
    links.flush();
  };
  const place = (): void => {
    harness.send({ kind: 'place', mayStart: true });
    if (!linked.isStoreAway) {
      harness.commit();
    }
    carryOut();
  };

  const linked = {
    harness,
    invariants,
    workers,
    faults,
    losesAnswersOf: port.losesAnswersOf,
    /** Whether the owner takes nothing out of its mailbox. */
    isBusy: false,
    /** Whether no record is stored. */
    isStoreAway: false,
    /** Submits a job, by default of one task that outlives every lease. */
    submit: (step: Partial<StepPlan> = {}): JobId => {
      jobs += 1;
      const plan = jobPlan(jobs, {
        steps: [stepPlan({ estimateMillis: LONG_TASK_MILLIS, ...step })],
      });
      invariants.plans.set(plan.id, plan);
      tokens.set(plan.id, harness.submit(plan));
      return plan.id;
    },
    /** Whether the job was accepted: a new owner doesn't know one that was not stored. */
    isAccepted: (job: JobId): boolean => {
      const token = tokens.get(job);
      return token !== undefined && harness.answers.get(token)?.kind === 'accepted';
    },
    /** The worker's process ends, and the next one registers. */
    replace: (worker: EmulatedWorker): void => {
      worker.crash();
      worker.restart();
      const registration = workerRegistration(worker.id, { incarnation: worker.incarnation });
      mailbox.push({ kind: 'input', input: { kind: 'worker', registration } });
    },
    /** A new owner takes over with what is stored; calls of the earlier one may be on their way. */
    takeOver: (): void => {
      terms += 1;
      links.closeAll();
      links = openLinks(terms);
      mailbox.length = 0;
      carriedOut = 0;
      harness.takeOver(
        undefined,
        [...workers.values()].map(({ id, incarnation }) => workerRegistration(id, { incarnation })),
      );
      carryOut();
    },
    place,
    /** The owner handles the messages that have arrived. */
    takeMessages: (): void => {
      for (const message of mailbox.splice(0)) {
        if (message.kind === 'input') {
          harness.send(message.input);
        }
        carryOut();
      }
    },
    run: async (millis: number): Promise<void> => {
      for (let passed = 0; passed < millis; passed += STEP_MILLIS) {
        harness.advance(STEP_MILLIS);
        clock.advance(STEP_MILLIS);
        workers.forEach((worker) => {
          worker.tick();
        });
        await new Promise((resolve) => setImmediate(resolve));
        if (!linked.isBusy) {
          linked.takeMessages();
          if (passed % PASS_INTERVAL_MILLIS === 0) {
            place();
          }
        }
      }
    },
    /** Runs until the scheduler has logged the event. */
    runUntil: async (name: string, worker: WorkerId): Promise<void> => {
      const before = harness.outputs.length;
      const isLogged = (): boolean =>
        harness
          .of('event')
          .some(
            (event) =>
              event.name === name &&
              event.fields.worker === worker &&
              harness.outputs.indexOf(event) >= before,
          );
      for (let passes = 0; !isLogged(); passes += 1) {
        if (passes > MAX_PASSES) {
          throw new Error(`no ${name} of ${worker}`);
        }
        await linked.run(PASS_INTERVAL_MILLIS);
      }
    },
    /** A worker that runs something. */
    runner: (): WorkerId => {
      const found = [...workers.values()].find((worker) => worker.running().length > 0);
      if (found === undefined) {
        throw new Error('nothing runs');
      }
      return found.id;
    },
    /** Number of runs on all workers. */
    runCount: (): number =>
      [...workers.values()].reduce((sum, worker) => sum + worker.running().length, 0),
  };
  carryOut();
  return linked;
}
