/**
 * A worker leaves one start unanswered, answers the next ones with 503, and carries the first one out
 * seconds later. No task may have two runs at work at the same time (TWICE).
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

const WORKERS = 12;
const ROUNDS = 4;
const LATE_MS = 2500;
const UNWELL_MS = 2000;
const TASK_MS = 5000;
/** Shorter overlaps are not counted. */
const MIN_OVERLAP_MS = 50;

await runCase(dirname(fileURLToPath(import.meta.url)), async (cell) => {
  const ids = Array.from({ length: WORKERS }, (_, index) => `w-${index + 1}`);
  await cell.open({ workers: ids.map((id) => ({ id })), routes: [route()], tenants: [tenant] });
  let accepted = 0;
  const send = async () => {
    const phases = [{ count: 1, cpu: 2000, memMb: 256, estimateMs: TASK_MS }];
    const spec = JSON.stringify({ ms: TASK_MS });
    accepted += Number(await cell.submit(`/q1/${newId()}`, { spec, phases }));
  };
  const traffic = setInterval(() => void send(), 250);
  await sleep(3000);
  for (let count = 0; count < ROUNDS; count += 1) {
    const newest = cell.events.findLast(({ event }) => event === 'begin')?.worker ?? ids[0];
    if (IS_DISTURBED) {
      cell.tellWorker(newest, { late: 1, afterMs: LATE_MS, unwell: UNWELL_MS });
    }
    await sleep(9000);
  }
  clearInterval(traffic);
  await sleep(TASK_MS + 2000);
  cell.record(`accepted ${accepted} jobs`);
  if (accepted < 50) {
    return undefined;
  }
  return overlaps(spansOf(cell.events), MIN_OVERLAP_MS).map(
    ({ left, right, shared }) =>
      `task ${left.task}: run ${left.run} on ${left.worker} and run ${right.run} on ${right.worker}` +
      ` at the same time for ${shared} ms, from ${Math.max(left.from, right.from) - cell.startedAt} ms on`,
  );
});
