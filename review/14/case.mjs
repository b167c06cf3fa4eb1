/**
 * Two jobs of 10,000 small tasks are handed in beside ordinary ones. The process that holds the work runs out of
 * memory, and so does each that follows it.
 */

import { fileURLToPath } from 'node:url';
import {
  configOf,
  faultyMachines,
  isTroubled,
  jobId,
  OrdinaryJobs,
  runCase,
} from '../stand-ins-3/deployment.mjs';

const RECORD = fileURLToPath(new URL('record.txt', import.meta.url));
const WORK_MILLIS = 1000;
/** The mean size of a request of the sites. */
const SPEC_BYTES = 2400;
/** A twentieth of a core: the eight workers of 64 cores hold 10,240 of these. */
const LARGE_JOB = {
  spec: `${WORK_MILLIS} `.padEnd(SPEC_BYTES, 'x'),
  phases: [{ count: 10_000, cpu: 50, memMb: 1, estimateMs: WORK_MILLIS }],
};
const BEFORE_MILLIS = 6000;
const AFTER_MILLIS = 85_000;

const size = { members: 3, workers: 8 };
await runCase(RECORD, { config: configOf() }, size, async (deployment) => {
  const ordinary = new OrdinaryJobs(deployment, { first: 100, intervalMillis: 2000 });
  await ordinary.handIn(BEFORE_MILLIS);
  const paths = isTroubled ? [1, 2].map((number) => `/q1/${jobId(number)}`) : [];
  const handedIn = Promise.all(paths.map((path) => deployment.submit(path, LARGE_JOB)));
  await ordinary.handIn(AFTER_MILLIS);
  if (!(await handedIn).every(Boolean)) {
    throw new Error('a large job was not accepted');
  }
  const unfinished = await ordinary.unfinished();
  const started = deployment.history.filter(({ event }) => event === 'started').length;
  const ends = deployment.ownEnds.length;
  const states = await Promise.all(paths.map((path) => deployment.state(path)));
  deployment.note(`${started} starts; large jobs: ${states.join(', ') || 'none'}`);
  deployment.note(
    `${ordinary.accepted.length} ordinary jobs accepted, ${unfinished.length} not completed`,
  );
  deployment.note(`processes ended by themselves ${ends} times: ${deployment.ownEnds.join(', ')}`);
  const faulty = faultyMachines(deployment);
  return [
    ...unfinished.map((job) => `LOST: accepted job ${job}`),
    ...(faulty.length >= 2 ? [`Fault: three ends or more on ${faulty.join(', ')}`] : []),
  ];
});
