/**
 * The worker of a long-running job's task crashes twice. The job has had no run that ended `failed`, and a
 * task that lasts has to be started again however it ends: the job may not be shown as `failed` (LOST).
 */

import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { IS_DISTURBED, newId, route, runCase, sleep, spansOf, tenant } from '../stand-ins/cell.mjs';

const WORKERS = 8;
const CRASHES = 2;
const SILENT_MS = 1000;
/** The task lasts: this only has to be longer than the script. */
const TASK_MS = 600_000;
/** How long a run is at work before its worker crashes. */
const AT_WORK_MS = 2000;
/** How long the job is watched after the last crash: leases of 6 s, and `finish_s`. */
const WATCH_MS = 20_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (cell) => {
  const ids = Array.from({ length: WORKERS }, (_, index) => `w-${index + 1}`);
  await cell.open({ workers: ids.map((id) => ({ id })), routes: [route()], tenants: [tenant] });
  await sleep(2000);
  const id = newId();
  const path = `/q1/${id}`;
  const phases = [{ count: 1, cpu: 2000, memMb: 256, estimateMs: 1000, persistent: true }];
  const spec = JSON.stringify({ ms: TASK_MS });
  if (!(await cell.submit(path, { spec, phases }))) {
    return undefined;
  }
  const runsOf = () => spansOf(cell.events).filter(({ task }) => task === `${id}.0.0.0`);
  if (IS_DISTURBED) {
    for (let count = 1; count <= CRASHES; count += 1) {
      const until = Date.now() + 15_000;
      while (runsOf().length < count && Date.now() < until) {
        await sleep(50);
      }
      const run = runsOf()[count - 1];
      if (run === undefined) {
        break;
      }
      await sleep(AT_WORK_MS);
      await cell.restartWorker(run.worker, SILENT_MS);
    }
  }
  const until = Date.now() + WATCH_MS;
  let state = '';
  while (state !== 'failed' && Date.now() < until) {
    await sleep(500);
    const { status, text } = await cell.ask(cell.members[0], 'GET', path);
    state = status === 200 ? JSON.parse(text).state : '';
  }
  const runs = runsOf().map(
    ({ run, worker, how }) => `run ${run} on ${worker} (${how || 'at work'})`,
  );
  cell.record(`job ${id} is shown as ${state}; its runs: ${runs.join(', ')}`);
  const hasFailed = runsOf().some(({ how }) => how === 'failed');
  return state === 'failed' && !hasFailed
    ? [`job ${id} is shown as failed, and none of its runs ended so: ${runs.join(', ')}`]
    : [];
});
