/** Reports the status of a work item. */

import { toJson } from '@bufbuild/protobuf';
import {
  TaskState,
  WorkStatusSchema,
  type TaskStatus,
  type WorkStatus,
} from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import { EXIT_CODES, type ExitCode } from './exit-code.js';
import { FailedCallError, plainFailure } from './failure.js';
import { linesSection, type Report, type Section } from './report.js';

/**
 * Rules that give the exit code of a task that did not succeed. An earlier rule takes precedence over
 * a later one for all tasks of a work item.
 */
const EXIT_CODE_RULES: readonly ((task: TaskStatus) => ExitCode | undefined)[] = [
  ({ state }) => (state === TaskState.LOST ? EXIT_CODES.mayHaveRun : undefined),
  ({ state }) => (state === TaskState.FAILED ? EXIT_CODES.ran : undefined),
  ({ state, attempts }) =>
    state === TaskState.CANCELLED && attempts > 0 ? EXIT_CODES.ran : undefined,
  ({ state }) => (state === TaskState.CANCELLED ? EXIT_CODES.notRun : undefined),
];

/** The exit code for a work item that has ended. */
export function exitCodeOfWork({ tasks }: WorkStatus): ExitCode {
  for (const exitCodeOfTask of EXIT_CODE_RULES) {
    const code = tasks.map(exitCodeOfTask).find((found) => found !== undefined);
    if (code !== undefined) {
      return code;
    }
  }
  return EXIT_CODES.done;
}

/** Returns the status of a response. A response without one violates the schema's contract. */
export function requireStatus(status: WorkStatus | undefined): WorkStatus {
  if (status === undefined) {
    throw new FailedCallError(
      plainFailure('not_run', 'answer_damaged', 'the daemon sent no status'),
    );
  }
  return status;
}

export function reportOfWork(status: WorkStatus): Report {
  return {
    sections: [summaryOf(status), tasksOf(status)],
    json: toJson(WorkStatusSchema, status, { alwaysEmitImplicit: true }),
  };
}

function summaryOf({ workId, kind, team, queue, shard, ended }: WorkStatus): Section {
  return {
    name: 'work',
    columns: ['work', 'kind', 'team', 'queue', 'shard', 'state'],
    rows: [[workId, kind, team, queue, shard, ended ? 'ended' : 'not ended']],
  };
}

function tasksOf({ tasks }: WorkStatus): Section {
  return {
    name: 'task',
    columns: ['task', 'state', 'worker', 'attempts', 'answer', 'detail'],
    rows: tasks.map((task) => [
      task.taskId,
      stateText(task.state),
      task.worker,
      String(task.attempts),
      task.answer,
      task.detail,
    ]),
  };
}

function stateText(state: TaskState): string {
  return TaskState[state].toLowerCase();
}

/** Reports in one line how many tasks are in each state. */
export function progressOf(status: WorkStatus): Report {
  const counts = new Map<string, number>();
  for (const { state } of status.tasks) {
    counts.set(stateText(state), (counts.get(stateText(state)) ?? 0) + 1);
  }
  const texts = [...counts].map(([state, count]) => `${count} ${state}`);
  return {
    sections: [linesSection('work', [`${status.workId} ${texts.join(', ')}`])],
    json: toJson(WorkStatusSchema, status, { alwaysEmitImplicit: true }),
  };
}
