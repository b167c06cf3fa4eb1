/** Builds configurations, plans and workers with defaults that tests override. */

import {
  brandAs,
  type QueueId,
  type RackId,
  type TeamId,
  type WorkerId,
} from '@bamboowell/types/ids';
import {
  workerIncarnationOf,
  type JobConfiguration,
  type JobId,
  type JobPlan,
  type JobQueue,
  type JobTeam,
  type StepPlan,
  type WorkerRegistration,
} from '@bamboowell/types/job';
import { NO_RESOURCES, type Resources } from '@bamboowell/types/resources';

export const QUEUE = brandAs<QueueId>('plans');
export const TEAM = brandAs<TeamId>('aero');

export function cores(count: number, memoryMib = 100): Resources {
  return { ...NO_RESOURCES, millicores: count * 1000, memoryMib };
}

export function stepPlan(changes: Partial<StepPlan> = {}): StepPlan {
  return {
    count: 1,
    demand: cores(1),
    estimateMillis: 1000,
    after: [],
    savesProgress: false,
    isGang: false,
    prefersOneRack: false,
    neededLabel: undefined,
    rackOfData: undefined,
    maxPerWorker: 0,
    allowsCopies: false,
    isLasting: false,
    usesLeftovers: false,
    mayBeAway: 0,
    ...changes,
  };
}

export function jobId(number: number): JobId {
  return brandAs<JobId>(number.toString(16).padStart(16, '0'));
}

export function jobPlan(number: number, changes: Partial<JobPlan> = {}): JobPlan {
  return {
    id: jobId(number),
    queue: QUEUE,
    team: TEAM,
    payload: `payload of ${number}`,
    steps: [stepPlan()],
    repetition: undefined,
    ...changes,
  };
}

export function jobQueue(changes: Partial<JobQueue> = {}): JobQueue {
  return {
    id: QUEUE,
    host: 'example',
    pathPrefix: '/plans/',
    service: 'tunnels',
    priority: 1,
    attempts: 2,
    objectiveFactor: 2,
    targetLatencyMillis: 1000,
    timeoutMillis: 3000,
    advice: undefined,
    isPublic: false,
    ...changes,
  };
}

export function configurationOf(
  queues: readonly JobQueue[] = [jobQueue()],
  team: Partial<JobTeam> = {},
): JobConfiguration {
  const teams = [{ id: TEAM, keys: ['key'], weight: 10, limit: NO_RESOURCES, ...team }];
  return { version: 1, queues, teams, maxBodyBytes: 10_000 };
}

export function workerRegistration(
  name: string,
  changes: Partial<WorkerRegistration> = {},
): WorkerRegistration {
  const id = brandAs<WorkerId>(name);
  return {
    id,
    incarnation: workerIncarnationOf(id, 1),
    address: `${name}:80`,
    service: 'tunnels',
    zone: 'west',
    isDraining: false,
    capacity: cores(4, 10_000),
    labels: ['a', 'r1'],
    rack: brandAs<RackId>('r1'),
    ...changes,
  };
}
