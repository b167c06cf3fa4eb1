/**
 * Workers crash, silently, and are started again under their ids while jobs come in. No task may have two runs at
 * work at the same time (TWICE).
 */

import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  IS_DISTURBED,
  newId,
  overlaps,
  route,
  runCase,
  sleep,
  spansOf,
  tenant,
} from '../stand-ins/cell.mjs';

const WORKERS = 8;
const RESTARTS = 12;
const SILENT_MS = 1000;
const BETWEEN_MS = 6000;
const JOBS_PER_S = 30;
const TASK_MS = 2000;
/** The worker that began the most tasks in this time is killed next. */
const RECENT_MS = 1000;
/** Shorter overlaps are not counted. */
const MIN_OVERLAP_MS = 50;

function busiest(events) {
  const begun = new Map();
  for (const { at, worker, event } of events) {
    if (event === 'begin' && at > Date.now() - RECENT_MS) {
      begun.set(worker, (begun.get(worker) ?? 0) + 1);
    }
  }
  return [...begun].sort(([, left], [, right]) => right - left)[0][0];
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (cell) => {
  const ids = Array.from({ length: WORKERS }, (_, index) => `w-${index + 1}`);
  await cell.open({ workers: ids.map((id) => ({ id })), routes: [route()], tenants: [tenant] });
  let accepted = 0;
  const send = async () => {
    const phases = [{ count: 2, cpu: 2000, memMb: 256, estimateMs: TASK_MS }];
    const spec = JSON.stringify({ ms: TASK_MS });
    accepted += Number(await cell.submit(`/q1/${newId()}`, { spec, phases }));
  };
  const traffic = setInterval(() => void send(), 1000 / JOBS_PER_S);
  await sleep(3000);
  for (let count = 0; count < RESTARTS; count += 1) {
    if (IS_DISTURBED) {
      await cell.restartWorker(busiest(cell.events), SILENT_MS);
    } else {
      await sleep(SILENT_MS);
    }
    await sleep(BETWEEN_MS - SILENT_MS);
  }
  clearInterval(traffic);
  await sleep(6000);
  cell.record(`accepted ${accepted} jobs`);
  if (accepted < 100) {
    return undefined;
  }
  return overlaps(spansOf(cell.events), MIN_OVERLAP_MS).map(
    ({ left, right, shared }) =>
      `task ${left.task}: run ${left.run} on ${left.worker} and run ${right.run} on ${right.worker}` +
      ` at the same time for ${shared} ms, from ${Math.max(left.from, right.from) - cell.startedAt} ms on`,
  );
});
