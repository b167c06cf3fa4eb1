/** A fleet under load near its capacity: gangs, batches and quick calls of twenty teams, some of them hot. */

import { brandAs, type QueueId, type TeamId } from '@bamboowell/types/ids';
import type { JobId, JobPlan, JobQueue, StepPlan } from '@bamboowell/types/job';
import { NO_RESOURCES } from '@bamboowell/types/resources';
import type { SchedulingOptions } from '@bamboowell/types/scheduling';
import { emulatedFleet } from './emulated-fleet.fixture.js';
import { cores, jobPlan, jobQueue, stepPlan, workerRegistration } from './plans.fixture.js';

const TEAMS = 20;
const WORKERS = 60;
const TICK_MILLIS = 100;

interface Kind {
  readonly queue: JobQueue;
  readonly step: StepPlan;
  /** Jobs a second of all teams together, as promised. */
  readonly rate: number;
}

function queueNamed(name: string, changes: Partial<JobQueue>): JobQueue {
  const advice = { baseMillis: 20, perWorkerMillis: 1, validMillis: 2500 };
  return jobQueue({ id: brandAs<QueueId>(name), advice, targetLatencyMillis: 0, ...changes });
}

function tasksOf(count: number, millicores: number, estimateMillis: number): StepPlan {
  return stepPlan({ count, demand: { ...cores(0, 10), millicores }, estimateMillis });
}

const KINDS: readonly Kind[] = [
  {
    queue: queueNamed('calls', { priority: 0, objectiveFactor: 1.5, targetLatencyMillis: 600 }),
    step: tasksOf(3, 9900, 750),
    rate: 18,
  },
  {
    queue: queueNamed('gangs', { priority: 1, objectiveFactor: 2.2 }),
    step: { ...tasksOf(16, 18_000, 5700), isGang: true },
    rate: 0.75,
  },
  {
    queue: queueNamed('batches', { priority: 2, objectiveFactor: 4 }),
    step: tasksOf(25, 6900, 2000),
    rate: 3.5,
  },
];
const PROMISED_RATE = KINDS.reduce((sum, { rate }) => sum + rate, 0);

export interface SentJob {
  readonly id: JobId;
  readonly queue: QueueId;
  readonly team: TeamId;
  readonly isExcess: boolean;
  readonly isAccepted: boolean;
  readonly retryAfterSeconds: number | undefined;
  /** When it was sent, from the start of the load. */
  readonly atMillis: number;
}

export interface HardLoad {
  readonly scheduling: SchedulingOptions;
  /** How many times its usual load the team sends then. */
  readonly factorOf: (team: number, atMillis: number) => number;
}

export function teamNamed(index: number): TeamId {
  return brandAs<TeamId>(`team ${index}`);
}

export function hardLoad({ scheduling, factorOf }: HardLoad) {
  const workers = Array.from({ length: WORKERS }, (_, index) =>
    workerRegistration(`w${index}`, { capacity: cores(64, 100_000) }),
  );
  const weight = (1.1 * PROMISED_RATE) / TEAMS;
  const teams = Array.from({ length: TEAMS }, (_, index) => ({
    id: teamNamed(index),
    keys: [],
    weight,
    limit: NO_RESOURCES,
  }));
  const queues = KINDS.map(({ queue }) => queue);
  const configuration = { version: 1, queues, teams, maxBodyBytes: 10_000 };
  const fleet = emulatedFleet({ configuration, workers, scheduling });
  /** Members that make calls for advice; a new owner knows none. */
  const addMembers = (): void => {
    for (let index = 0; index < 40; index += 1) {
      fleet.harness.addMember(`m${index}`);
    }
  };
  addMembers();
  const jobs: SentJob[] = [];
  /** Jobs owed by kind and team; a job is sent for each whole one. */
  const owed = KINDS.map((_, kind) =>
    Array.from({ length: TEAMS }, (__, team) => ((team * 7 + kind * 3) % TEAMS) / TEAMS),
  );
  let sent = 0;
  let atMillis = 0;

  const send = ({ queue, step }: Kind, team: TeamId): void => {
    sent += 1;
    // Declared run times are wrong by half.
    const runMillis = step.estimateMillis * (0.6 + ((sent * 37) % 100) / 110);
    const changes: Partial<JobPlan> = { queue: queue.id, team, steps: [step] };
    const plan = jobPlan(sent, changes);
    const answer = fleet.submit(plan, runMillis);
    const decision = fleet.harness.outputs.findLast(
      (output) =>
        output.kind === 'event' && output.fields.job === plan.id && 'excess' in output.fields,
    );
    jobs.push({
      id: plan.id,
      queue: queue.id,
      team,
      isExcess: decision?.kind === 'event' && decision.fields.excess === true,
      isAccepted: answer?.kind === 'accepted',
      retryAfterSeconds: answer?.kind === 'refused' ? answer.retryAfterSeconds : undefined,
      atMillis,
    });
  };
  const tick = (): void => {
    KINDS.forEach((kind, kindIndex) => {
      const owedOfKind = owed[kindIndex] ?? [];
      owedOfKind.forEach((_, team) => {
        const factor = factorOf(team, atMillis);
        const due = (owedOfKind[team] ?? 0) + (factor * kind.rate * TICK_MILLIS) / 1000 / TEAMS;
        for (let job = 1; job <= due; job += 1) {
          send(kind, teamNamed(team));
        }
        owedOfKind[team] = due % 1;
      });
    });
    atMillis += TICK_MILLIS;
  };

  return {
    fleet,
    jobs,
    addMembers,
    run: (millis: number): void => {
      fleet.run(millis, tick);
    },
    /** Goes on without new jobs. */
    drain: (millis: number): void => {
      fleet.run(millis);
    },
    /** Starts after the time, or never, of those accepted jobs. */
    lateOf: (accepted: readonly SentJob[], millis: number): SentJob[] =>
      accepted.filter(({ id }) => (fleet.waitOf(id) ?? Number.POSITIVE_INFINITY) > millis),
  };
}
