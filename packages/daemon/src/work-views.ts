/** Builds the view of a work item for callers, from the state of its shard. */

import { match, P } from 'ts-pattern';
import type { TaskPhase, TaskView, WorkView } from '@bamboowell/front/backend';
import type { ShardOwner } from '@bamboowell/owner/shard-owner';
import { hasEnded, type WorkEntry } from '@bamboowell/state/shard-fold';
import type { TaskEntry } from '@bamboowell/state/task-state';
import { taskIdOf, type AttemptId } from '@bamboowell/types/ids';

export function workViewOf(owner: ShardOwner, entry: WorkEntry): WorkView {
  const { work } = entry;
  return {
    work: work.id,
    team: work.team,
    queue: work.queue,
    kind: work.shape.kind,
    ended: hasEnded(entry),
    tasks: entry.tasks.map((task, index) => taskViewOf(owner, entry, task, index)),
    shard: owner.shard,
  };
}

function taskViewOf(owner: ShardOwner, entry: WorkEntry, task: TaskEntry, index: number): TaskView {
  const base = {
    task: taskIdOf(entry.work.id, index),
    attempts: task.attempts,
    answer: '',
    detail: '',
    worker: task.worker ?? '',
  };
  return match(task.state)
    .returnType<TaskView>()
    .with({ kind: 'waiting' }, () => ({ ...base, phase: 'waiting' }))
    .with({ kind: 'placed' }, ({ attempt }) => ({
      ...base,
      phase: phaseOf(owner, attempt.id),
    }))
    .with({ kind: 'ended' }, ({ outcome }) => ({ ...base, ...outcomeViewOf(outcome) }))
    .exhaustive();
}

function phaseOf(owner: ShardOwner, attempt: AttemptId): TaskPhase {
  return owner.view().live.get(attempt)?.phase === 'running' ? 'running' : 'starting';
}

type Outcome = Extract<TaskEntry['state'], { kind: 'ended' }>['outcome'];

function outcomeViewOf(outcome: Outcome): Pick<TaskView, 'phase' | 'answer' | 'detail'> {
  return match(outcome)
    .returnType<Pick<TaskView, 'phase' | 'answer' | 'detail'>>()
    .with({ kind: 'succeeded' }, ({ answer }) => ({ phase: 'succeeded', answer, detail: '' }))
    .with({ kind: 'failed' }, ({ detail }) => ({ phase: 'failed', answer: '', detail }))
    .with({ kind: 'cancelled' }, () => ({ phase: 'cancelled', answer: '', detail: '' }))
    .with({ kind: 'lost' }, () => ({
      phase: 'lost',
      answer: '',
      detail: 'the worker was lost; it is unknown whether the task completed',
    }))
    .with({ kind: P.union('stopped', 'never_started') }, () => ({
      phase: 'failed',
      answer: '',
      detail: 'stopped before completion, and it may not be run again',
    }))
    .exhaustive();
}
