/**
 * Two jobs of one small task a second, whose day began eighteen hours ago, come beside ordinary ones. All processes
 * run out of memory, again and again, and the ordinary jobs that were accepted are not done and not answered for.
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
const TIMED_JOBS = 2;
const SECONDS_OF_DAY = 86_400;
const SECONDS_PASSED = 64_800;
const BEFORE_MILLIS = 8000;
const AFTER_MILLIS = 45_000;

/** One task a second, all day. */
function timedJob() {
  return {
    spec: '200',
    repeatCount: SECONDS_OF_DAY,
    startAtMs: Date.now() - SECONDS_PASSED * 1000,
    intervalMs: 1000,
    phases: [{ count: 1, cpu: 1000, memMb: 100, estimateMs: 200 }],
  };
}

const size = { members: 3, workers: 4 };
await runCase(RECORD, { config: configOf() }, size, async (deployment) => {
  const ordinary = new OrdinaryJobs(deployment, { first: 100 });
  await ordinary.handIn(BEFORE_MILLIS);
  const handedIn = [];
  for (let number = 1; isTroubled && number <= TIMED_JOBS; number += 1) {
    handedIn.push(deployment.submit(`/q1/${jobId(number)}`, timedJob()));
  }
  await ordinary.handIn(AFTER_MILLIS);
  await Promise.all(handedIn);
  const unfinished = await ordinary.unfinished();
  const ends = deployment.ownEnds.length;
  const { accepted } = ordinary;
  deployment.note(`${accepted.length} ordinary jobs accepted, ${unfinished.length} not completed`);
  deployment.note(`processes ended by themselves ${ends} times`);
  const faulty = faultyMachines(deployment);
  return [
    ...unfinished.map((job) => `LOST: accepted job ${job}`),
    ...(faulty.length >= 2 ? [`Fault: three ends or more on ${faulty.join(', ')}`] : []),
  ];
});
