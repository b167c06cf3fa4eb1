/** Takes a cell through an outage of the log, and checks what must hold during and after it. */

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

/** Longer than a lease, so that work is stopped early unless its lease is renewed. */
const LONG_RUN_MILLIS = 9000;
const SHORT_TIMEOUT_MILLIS = 1500;

function isRefused({ kind }: Outcome): boolean {
  return kind === 'refused';
}

/**
 * While the log is down, running work continues, quick calls are answered, and verdicts are true.
 */
export async function verifyLogOutage(
  t: ExecutionContext,
  harness: CellHarness,
  down: 'refuse' | 'hang',
): Promise<void> {
  const { cell } = harness;
  const { owner, other } = await rolesOf(harness);
  const running = await submitAccepted(harness, other, 'batch', 2, {
    millis: LONG_RUN_MILLIS,
    idempotent: false,
  });
  await untilWork(harness, other, running, allTasksIn(TaskState.RUNNING));
  // From now on the shard holds slots of the team's limit, which it can't acquire without the log.
  t.is((await call(harness, other)).kind, 'answered');
  t.teardown(() => cell.switchLog({ down: 'no' }));
  await cell.switchLog({ down });

  const during = await Promise.all([
    submit(harness, other, 'batch', 1, { timeoutMillis: SHORT_TIMEOUT_MILLIS }),
    submit(harness, owner, 'gang', 2, { timeoutMillis: SHORT_TIMEOUT_MILLIS }),
  ]);
  t.deepEqual(
    during.map(({ kind }) => kind),
    ['refused', 'refused'],
  );
  for (let round = 0; round < 3; round += 1) {
    const calls = await Promise.all([call(harness, other), call(harness, owner, { millis: 2000 })]);
    t.deepEqual(calls.filter(isRefused), []);
  }
  const later = await untilWork(harness, other, running, ({ tasks }) =>
    tasks.every(({ state }) => state !== TaskState.RUNNING),
  );
  t.true(later.tasks.every(({ attempts }) => attempts === 1));
  await cell.switchLog({ down: 'no' });

  // Repeats the same request until it is accepted, as callers do.
  const requestId = `after-${down}`;
  const up = performance.now();
  const after = await until(
    'an acceptance',
    () =>
      submitAccepted(harness, other, 'batch', 2, {
        requestId,
        timeoutMillis: SHORT_TIMEOUT_MILLIS,
      }),
    () => true,
  );
  t.log(`work is accepted ${Math.round(performance.now() - up)} ms after the log is back`);
  t.true(
    allTasksIn(TaskState.SUCCEEDED)(await untilWork(harness, other, after, ({ ended }) => ended)),
  );
  const ended = await untilWork(harness, other, running, (status) => status.ended);
  t.true(allTasksIn(TaskState.SUCCEEDED)(ended));
  t.deepEqual(await faultsOf(harness), []);
}
