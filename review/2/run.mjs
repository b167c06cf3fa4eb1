/**
 * A worker fails all that it starts for a few seconds and is sound from then on. Jobs that only it can run
 * have to run (LOST).
 */

import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { IS_DISTURBED, newId, route, runCase, sleep, spansOf, tenant } from '../stand-ins/cell.mjs';

const WORKERS = 12;
const GREY_MS = 5000;
const TASK_MS = 640;
/** From the end of the disturbance until the job of the check is handed in. */
const CALM_MS = 12_000;
/** `finish_s`: jobs are asked for this long after the last one was handed in. */
const FINISH_MS = 14_000;
/** A job with a task whose turn has come may have nothing at work for 3 s. */
const IDLE_MS = 3000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (cell) => {
  const workers = Array.from({ length: WORKERS }, (_, index) => ({
    id: `w-${index + 1}`,
    labels: [index === 0 ? 'b' : 'a', 'r1-1'],
  }));
  await cell.open({ workers, routes: [route()], tenants: [tenant] });
  const send = async (requiredLabel, ms = TASK_MS) => {
    const id = newId();
    const phases = [{ count: 1, cpu: 2000, memMb: 256, estimateMs: ms, requiredLabel }];
    const isAccepted = await cell.submit(`/q1/${id}`, { spec: JSON.stringify({ ms }), phases });
    return isAccepted ? id : undefined;
  };
  const background = setInterval(() => void send('a'), 200);
  await sleep(2000);
  if (IS_DISTURBED) {
    cell.tellWorker('w-1', { grey: GREY_MS });
  }
  await send('b');
  await sleep(1000);
  await send('b');
  await sleep(1000);
  const cancelled = await send('b', 10_000);
  await sleep(GREY_MS + CALM_MS / 2);
  await cell.ask(cell.members[0], 'DELETE', `/q1/${cancelled}`);
  await sleep(CALM_MS / 2);
  const ids = [await send('b'), await send('b'), await send('b')];
  clearInterval(background);
  if (cancelled === undefined || ids.includes(undefined)) {
    return undefined;
  }
  await sleep(FINISH_MS);
  const faults = [];
  for (const id of ids) {
    const { status, text } = await cell.ask(cell.members[0], 'GET', `/q1/${id}`);
    const hasRun = spansOf(cell.events).some(({ task }) => task.startsWith(id));
    if (status !== 200 || JSON.parse(text).state !== 'completed') {
      faults.push(
        `job ${id} was accepted, is ${status} ${text} after ${FINISH_MS} ms, and ` +
          `${hasRun ? 'has' : 'has never'} begun; w-1 has nothing at work`,
      );
    }
  }
  return faults;
});
