/**
 * A service and a long task run on workers of their own, and each loses its worker to a crash twice. No run ends
 * `failed`, and yet both jobs are shown as `failed`, and the service is not started again.
 */

import { fileURLToPath } from 'node:url';
import {
  configOf,
  isTroubled,
  jobId,
  routeOf,
  runCase,
  sleep,
} from '../stand-ins-3/deployment.mjs';

const RECORD = fileURLToPath(new URL('record.txt', import.meta.url));
/** One of eight is down at a time: a share of 0.125, of at most 0.14. */
const WORKERS = 8;
const DOWN_MILLIS = 1500;
const ATTEMPTS = 4;
const WORK_MILLIS = 25_000;
/** More than half of a worker, so that each runs alone. */
const TASK = { count: 1, cpu: 40_000, memMb: 512 };
const SERVICE = { path: `/q1/${jobId(1)}`, id: jobId(1), name: 'the service' };
const BATCH = { path: `/q1/${jobId(2)}`, id: jobId(2), name: 'the long task' };
const CRASHES = [SERVICE, BATCH, SERVICE, BATCH];
const CRASH_INTERVAL_MILLIS = 4000;
const CALM_MILLIS = 20_000;

const config = configOf({ routes: [routeOf('q1', { attempts: ATTEMPTS })] });
await runCase(RECORD, { config }, { members: 3, workers: WORKERS }, async (deployment) => {
  const { history, workers } = deployment;
  const jobs = [
    [SERVICE, { spec: 'lasts', phases: [{ ...TASK, persistent: true }] }],
    [BATCH, { spec: String(WORK_MILLIS), phases: [{ ...TASK, estimateMs: WORK_MILLIS }] }],
  ];
  for (const [{ path }, body] of jobs) {
    if (!(await deployment.submit(path, body))) {
      throw new Error('a job was not accepted');
    }
  }
  const runsOf = ({ id }) => history.filter(({ task }) => task?.startsWith(id));
  const workerOf = ({ id }) =>
    [...workers.values()].find(({ running }) => [...running].some((run) => run.startsWith(id)));
  const returns = [];
  for (const job of CRASHES) {
    await sleep(CRASH_INTERVAL_MILLIS);
    const worker = workerOf(job);
    if (isTroubled && worker !== undefined) {
      deployment.note(`the next crash hits the worker of ${job.name}`);
      returns.push(deployment.crashWorker(worker.id, DOWN_MILLIS));
    }
  }
  await Promise.all(returns);
  await sleep(CALM_MILLIS);
  const broken = [];
  for (const job of [SERVICE, BATCH]) {
    const state = await deployment.state(job.path);
    const count = (event, how) =>
      runsOf(job).filter((each) => each.event === event && (how === undefined || each.how === how))
        .length;
    const ends = `${count('ended', 'failed')} ends failed of ${ATTEMPTS} attempts, ${count('crashed')} runs lost with their worker`;
    deployment.note(`${job.name} is shown as ${state}: ${ends}`);
    if (state === 'failed' && count('ended', 'failed') < ATTEMPTS) {
      broken.push(`LOST: ${job.name} is shown as failed, with ${ends}`);
    }
  }
  if (workerOf(SERVICE) === undefined) {
    broken.push(`LOST: the service is not at work, ${CALM_MILLIS / 1000} s after the last crash`);
  }
  return broken;
});
