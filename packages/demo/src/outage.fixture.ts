/** The course of an outage of the log, and what must hold through it. */

import type { ExecutionContext } from 'ava';
import { TaskState } from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import {
  submitAccepted,
  allTasksIn,
  call,
  faultsOf,
  rolesOf,
  submit,
  until,
  untilWork,
  type CellHarness,
  type Outcome,
} from './harness.fixture.js';

/** Longer than a lease, so that work ends early unless its lease is renewed. */
const PATIENT_MILLIS = 9000;
const IMPATIENT_MILLIS = 1500;

function isRefused({ kind }: Outcome): boolean {
  return kind === 'refused';
}

/** While the log is down, work runs on, quick calls run, and refusals are true. */
export async function verifyLogOutage(
  t: ExecutionContext,
  bench: CellHarness,
  down: 'refuse' | 'hang',
): Promise<void> {
  const { cell } = bench;
  const { owner, other } = await rolesOf(bench);
  const running = await submitAccepted(bench, other, 'batch', 2, {
    millis: PATIENT_MILLIS,
    idempotent: false,
  });
  await untilWork(bench, other, running, allTasksIn(TaskState.RUNNING));
  // The shard holds slots of the team's limit from now on; without the log it can't take any.
  t.is((await call(bench, other)).kind, 'answered');
  t.teardown(() => cell.switchLog({ down: 'no' }));
  await cell.switchLog({ down });

  const during = await Promise.all([
    submit(bench, other, 'batch', 1, { timeoutMillis: IMPATIENT_MILLIS }),
    submit(bench, owner, 'gang', 2, { timeoutMillis: IMPATIENT_MILLIS }),
  ]);
  t.deepEqual(
    during.map(({ kind }) => kind),
    ['refused', 'refused'],
  );
  for (let round = 0; round < 3; round += 1) {
    const calls = await Promise.all([call(bench, other), call(bench, owner, { millis: 2000 })]);
    t.deepEqual(calls.filter(isRefused), []);
  }
  const later = await untilWork(bench, other, running, ({ tasks }) =>
    tasks.every(({ state }) => state !== TaskState.RUNNING),
  );
  t.true(later.tasks.every(({ attempts }) => attempts === 1));
  await cell.switchLog({ down: 'no' });

  // As callers do: the same request again until it is accepted.
  const requestId = `after-${down}`;
  const up = performance.now();
  const after = await until(
    'an acceptance',
    () => submitAccepted(bench, other, 'batch', 2, { requestId, timeoutMillis: IMPATIENT_MILLIS }),
    () => true,
  );
  t.log(`work is accepted ${Math.round(performance.now() - up)} ms after the log is back`);
  t.true(
    allTasksIn(TaskState.SUCCEEDED)(await untilWork(bench, other, after, ({ ended }) => ended)),
  );
  const ended = await untilWork(bench, other, running, (status) => status.ended);
  t.true(allTasksIn(TaskState.SUCCEEDED)(ended));
  t.deepEqual(await faultsOf(bench), []);
}
