/**
 * One job that can never be done is handed in: a gang that needs more than all workers of its kind have.
 * Jobs of a less urgent queue that need that kind have to run all the same: the workers are idle (LOST).
 */

import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { IS_DISTURBED, newId, route, runCase, sleep, spansOf, tenant } from '../stand-ins/cell.mjs';

const WORKERS = 12;
/** Workers of the kind `b`. */
const KIND_B = 5;
/** Two tasks of 30 of 64 cores fit on a worker: one more than all workers of the kind take. */
const GANG = 2 * KIND_B + 1;
const JOBS = 40;
const TASK_MS = 640;
/** `finish_s`: jobs are asked for this long after the end of the traffic. */
const FINISH_MS = 14_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (cell) => {
  const workers = Array.from({ length: WORKERS }, (_, index) => ({
    id: `w-${index + 1}`,
    labels: [index < KIND_B ? 'b' : 'a', 'r1-1'],
  }));
  const routes = [
    route(),
    route({ name: 'r-2', pathPrefix: '/q2/', priority: 1, targetLatencyMs: 3000 }),
  ];
  await cell.open({ workers, routes, tenants: [tenant] });
  if (IS_DISTURBED) {
    const gang = {
      count: GANG,
      cpu: 30_000,
      memMb: 1024,
      estimateMs: 10_000,
      requiredLabel: 'b',
      gang: true,
    };
    const body = { spec: JSON.stringify({ ms: 10_000 }), phases: [gang] };
    if (!(await cell.submit(`/q1/${newId()}`, body))) {
      return undefined;
    }
    await sleep(1000);
  }
  const accepted = [];
  for (let count = 0; count < JOBS; count += 1) {
    const id = newId();
    const requiredLabel = count % 4 === 0 ? 'b' : 'a';
    const phases = [{ count: 1, cpu: 2000, memMb: 256, estimateMs: TASK_MS, requiredLabel }];
    if (await cell.submit(`/q2/${id}`, { spec: JSON.stringify({ ms: TASK_MS }), phases })) {
      accepted.push({ id, requiredLabel });
    }
    await sleep(200);
  }
  await sleep(FINISH_MS);
  const faults = [];
  for (const { id, requiredLabel } of accepted) {
    const { status, text } = await cell.ask(cell.members[0], 'GET', `/q2/${id}`);
    if (status !== 200 || JSON.parse(text).state !== 'completed') {
      const hasBegun = spansOf(cell.events).some(({ task }) => task.startsWith(id));
      faults.push(
        `job ${id}, which needs the kind ${requiredLabel}, was accepted, is ${status} ${text} and has ` +
          `${hasBegun ? '' : 'not '}begun; no worker has anything at work`,
      );
    }
  }
  return accepted.length < JOBS / 2 ? undefined : faults;
});
