/**
 * Among ordinary jobs there is a scheduled one whose occurrences come one after the other, each as wide as
 * the widest job of the site. All accepted jobs have to go on (LOST).
 */

import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { IS_DISTURBED, newId, route, runCase, sleep, spansOf, tenant } from '../stand-ins/cell.mjs';

const WORKERS = 8;
const WIDTH = 60;
const OCCURRENCES = 90;
const INTERVAL_MS = 400;
const LONG_TASK_MS = 90_000;
const TRAFFIC_MS = 55_000;
const BETWEEN_MS = 250;
/** `finish_s`, after which every accepted job is asked for. */
const FINISH_MS = 14_000;
/** A job with a task whose turn has come may have nothing at work for 3 s. */
const IDLE_MS = 3000;
const TASK_MS = 640;

await runCase(dirname(fileURLToPath(import.meta.url)), async (cell) => {
  const ids = Array.from({ length: WORKERS }, (_, index) => `i-7f3a91c${index + 1}`);
  await cell.open({ workers: ids.map((id) => ({ id })), routes: [route()], tenants: [tenant] });
  const accepted = new Map();
  const send = async () => {
    const id = newId();
    const phases = [
      { count: 2, cpu: 2000, memMb: 256, estimateMs: TASK_MS },
      { count: 2, cpu: 2000, memMb: 256, estimateMs: TASK_MS, after: [0] },
    ];
    if (await cell.submit(`/q1/${id}`, { spec: JSON.stringify({ ms: TASK_MS }), phases })) {
      accepted.set(id, Date.now());
    }
  };
  const traffic = setInterval(() => void send(), BETWEEN_MS);
  await sleep(5000);
  if (IS_DISTURBED) {
    const phases = [{ count: WIDTH, cpu: 20, memMb: 8, estimateMs: LONG_TASK_MS }];
    const isAccepted = await cell.submit(`/q1/${newId()}`, {
      spec: JSON.stringify({ ms: LONG_TASK_MS }),
      phases,
      repeatCount: OCCURRENCES,
      startAtMs: Date.now() + INTERVAL_MS,
      intervalMs: INTERVAL_MS,
    });
    cell.record(`the scheduled job is ${isAccepted ? '' : 'not '}accepted`);
    if (!isAccepted) {
      clearInterval(traffic);
      return [];
    }
  }
  await sleep(TRAFFIC_MS);
  clearInterval(traffic);
  await sleep(FINISH_MS);
  cell.record(`accepted ${accepted.size} ordinary jobs`);
  const faults = [];
  const spans = spansOf(cell.events);
  for (const [id, acceptedAt] of accepted) {
    const { status, text } = await cell.ask(cell.members[0], 'GET', `/q1/${id}`);
    const ends = spans.filter(({ task }) => task.startsWith(id)).map(({ to }) => to);
    const idleMs = Date.now() - Math.max(acceptedAt, ...ends);
    if (status !== 200) {
      faults.push(`job ${id} was accepted, and a GET for it is answered with ${status}`);
    } else if (JSON.parse(text).state !== 'completed' && idleMs > IDLE_MS) {
      faults.push(
        `job ${id} was accepted, is ${text}, and nothing of it has been at work for ${idleMs} ms`,
      );
    }
  }
  cell.record(`the store refused ${cell.store.refusedAppends} appends`);
  return accepted.size < 10 ? undefined : faults;
});
