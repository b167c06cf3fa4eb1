/** Encodes the backend's values as messages of the schema. */

import { create } from '@bufbuild/protobuf';
import {
  ConfigurationSchema,
  GetStatusResponseSchema,
  ResourcesSchema,
  TaskState,
  Verdict as VerdictValue,
  WorkStatusSchema,
  type Configuration as ConfigurationMessage,
  type GetStatusResponse,
  type Resources as ResourcesMessage,
  type WorkStatus,
} from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import type { Configuration, Queue } from '@bamboowell/types/declarations';
import type { Resources } from '@bamboowell/types/resources';
import type { Verdict } from '@bamboowell/types/verdict';
import type { CellStatus, ShardView, TaskPhase, TaskView, WorkView } from './backend.js';

const VERDICTS: Readonly<Record<Verdict, VerdictValue>> = {
  not_run: VerdictValue.NOT_RUN,
  may_have_run: VerdictValue.MAY_HAVE_RUN,
  ran: VerdictValue.RAN,
};

const TASK_STATES: Readonly<Record<TaskPhase, TaskState>> = {
  waiting: TaskState.WAITING,
  starting: TaskState.STARTING,
  running: TaskState.RUNNING,
  succeeded: TaskState.SUCCEEDED,
  failed: TaskState.FAILED,
  cancelled: TaskState.CANCELLED,
  lost: TaskState.LOST,
};

export function encodeVerdict(verdict: Verdict): VerdictValue {
  return VERDICTS[verdict];
}

export function encodeResources(amount: Resources): ResourcesMessage {
  return create(ResourcesSchema, amount);
}

export function encodeWork(view: WorkView): WorkStatus {
  return create(WorkStatusSchema, {
    workId: view.work,
    team: view.team,
    queue: view.queue,
    kind: view.kind,
    ended: view.ended,
    shard: view.shard,
    tasks: view.tasks.map(encodeTask),
  });
}

function encodeTask(task: TaskView) {
  return {
    taskId: task.task,
    state: TASK_STATES[task.phase],
    worker: task.worker,
    attempts: task.attempts,
    answer: task.answer,
    detail: task.detail,
  };
}

export function encodeConfiguration(configuration: Configuration): ConfigurationMessage {
  return create(ConfigurationSchema, {
    version: configuration.version,
    teams: [...configuration.teams.values()].map((team) => ({
      ...team,
      limit: encodeResources(team.limit),
    })),
    queues: [...configuration.queues.values()].map(encodeQueue),
    keys: [...configuration.keys.values()].map((key) => ({ ...key, team: key.team ?? '' })),
    dataCentres: [...configuration.dataCentres.values()],
  });
}

function encodeQueue({ id, access, maxWaiting }: Queue) {
  return access.kind === 'open'
    ? { id, teams: [], openFor: access.team, maxWaiting }
    : { id, teams: [...access.teams], openFor: '', maxWaiting };
}

export function encodeStatus(status: CellStatus): GetStatusResponse {
  return create(GetStatusResponseSchema, {
    member: status.member,
    version: status.version,
    fresh: status.fresh,
    shards: status.shards.map(encodeShard),
    members: [...status.members],
  });
}

function encodeShard(shard: ShardView) {
  return {
    ...shard,
    workers: shard.workers.map((worker) => ({
      ...worker,
      capacity: encodeResources(worker.capacity),
      used: encodeResources(worker.used),
    })),
    teams: shard.teams.map((team) => ({
      ...team,
      running: encodeResources(team.running),
      held: encodeResources(team.held),
    })),
  };
}
