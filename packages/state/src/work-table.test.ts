import test from 'ava';
import {
  attemptIdOf,
  brandAs,
  taskIdOf,
  type Incarnation,
  type QueueId,
  type RequestId,
  type TeamId,
  type WorkerId,
  type WorkId,
} from '@bamboowell/types/ids';
import { NO_RESOURCES } from '@bamboowell/types/resources';
import type { Work } from '@bamboowell/types/work';
import { afterEnd, afterPlace } from './task-state.js';
import {
  MAX_ENDED_CHARACTERS,
  MAX_ENDED_KEPT,
  MAX_FORGOTTEN_REQUESTS,
  WorkTable,
} from './work-table.js';

const TEAM = brandAs<TeamId>('team');

function workOf(index: number, tasks = 1): Work {
  return {
    id: brandAs<WorkId>(`work${index}`),
    team: TEAM,
    queue: brandAs<QueueId>('queue'),
    requestId: brandAs<RequestId>(`request${index}`),
    shape: { kind: 'batch', tasks },
    urgency: 'ordinary',
    demand: NO_RESOURCES,
    expectedMillis: 1,
    idempotent: true,
    checkpointable: false,
    payload: '',
  };
}

/** Adds the work and ends its first task successfully with the answer. */
function run(table: WorkTable, work: Work, answer: string): void {
  const task = taskIdOf(work.id, 0);
  table.add(work);
  table.updateTask(task, (entry) =>
    afterPlace(entry, {
      id: attemptIdOf(task, 1),
      task,
      worker: brandAs<WorkerId>('worker'),
      incarnation: brandAs<Incarnation>('1'),
    }),
  );
  table.updateTask(task, (entry) => afterEnd(work, entry, { kind: 'succeeded', answer }, false));
}

function tableWithEnded(count: number, answer: string): WorkTable {
  const table = new WorkTable();
  for (let index = 0; index < count; index += 1) {
    run(table, workOf(index), answer);
  }
  return table;
}

test('keeps the newest ended work up to a maximum number', (t) => {
  const table = tableWithEnded(MAX_ENDED_KEPT + 1, '');
  t.is(table.works.size, MAX_ENDED_KEPT);
  t.false(table.works.has(workOf(0).id));
  t.true(table.works.has(workOf(1).id));
  t.true(JSON.stringify(table.snapshot()).length < MAX_ENDED_CHARACTERS);
});

test('keeps the newest ended work up to a maximum length of its answers', (t) => {
  const answer = 'x'.repeat(MAX_ENDED_CHARACTERS / 8);
  const table = tableWithEnded(20, answer);
  t.is(table.works.size, 7);
  t.true(table.works.has(workOf(19).id));
  t.true(JSON.stringify(table.snapshot()).length < MAX_ENDED_CHARACTERS);
});

test('keeps the newest ended work, however long its answer', (t) => {
  const table = tableWithEnded(2, 'x'.repeat(2 * MAX_ENDED_CHARACTERS));
  t.deepEqual([...table.works.keys()], [workOf(1).id]);
});

test('a repeated request of forgotten work is still recognised, also after a restore', (t) => {
  const table = tableWithEnded(MAX_ENDED_KEPT + 1, '');
  const restored = WorkTable.restore(table.snapshot());
  for (const each of [table, restored]) {
    t.is(each.findRequest(TEAM, workOf(0).requestId), workOf(0).id);
    t.false(each.add(workOf(0)));
  }
});

test('the number of remembered requests of forgotten work is bounded', (t) => {
  const table = tableWithEnded(MAX_ENDED_KEPT + MAX_FORGOTTEN_REQUESTS + 1, '');
  t.is(table.snapshot().forgotten.length, MAX_FORGOTTEN_REQUESTS);
  t.is(table.findRequest(TEAM, workOf(0).requestId), undefined);
  t.is(table.findRequest(TEAM, workOf(1).requestId), workOf(1).id);
});

test('unfinished work is never forgotten', (t) => {
  const table = new WorkTable();
  run(table, workOf(-1, 2), 'half');
  for (let index = 0; index <= MAX_ENDED_KEPT; index += 1) {
    run(table, workOf(index), '');
  }
  t.true(table.works.has(workOf(-1, 2).id));
});

test('requests stay distinct even if team and request id read the same when joined', (t) => {
  const table = new WorkTable();
  const left = { ...workOf(0), team: brandAs<TeamId>('a'), requestId: brandAs<RequestId>('b c') };
  const right = { ...workOf(1), team: brandAs<TeamId>('a b'), requestId: brandAs<RequestId>('c') };
  t.true(table.add(left));
  t.true(table.add(right));
});

test('an update of one task does not copy the list of tasks', (t) => {
  const table = new WorkTable();
  const work = workOf(0, 10_000);
  table.add(work);
  const before = table.works.get(work.id)?.tasks;
  run(table, work, '');
  t.is(table.works.get(work.id)?.tasks, before);
  t.is(table.works.get(work.id)?.waiting.size, 9999);
});

test('a snapshot does not change with the table', (t) => {
  const table = new WorkTable();
  table.add(workOf(0));
  const snapshot = table.snapshot();
  run(table, workOf(0), '');
  t.is(snapshot.works[0]?.tasks[0]?.state.kind, 'waiting');
});
