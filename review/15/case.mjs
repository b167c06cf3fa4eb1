/**
 * A gang of 120 tasks, for which one worker has room, on workers in the other region: each answer takes 60 ms. It is
 * started again and again, and each time some runs wait in vain for the others, so that it never works.
 */

import { fileURLToPath } from 'node:url';
import { configOf, isTroubled, jobId, runCase, sleep } from '../stand-ins-3/deployment.mjs';

const RECORD = fileURLToPath(new URL('record.txt', import.meta.url));
const TASKS = 120;
const WORK_MILLIS = 2000;
/** One way between the regions; without the disruption the workers are in the region of the members. */
const LINK_MILLIS = isTroubled ? 30 : 0;
const GANG_MILLIS = 3000;
const LONGEST_MILLIS = 40_000;
const LOOK_MILLIS = 2000;

const options = {
  config: configOf(),
  workerOptions: { linkMs: LINK_MILLIS, gangMs: GANG_MILLIS },
};
await runCase(RECORD, options, { members: 3, workers: 2 }, async (deployment) => {
  const path = `/q1/${jobId(1)}`;
  deployment.gangs.set(`${jobId(1)}.0.0`, TASKS);
  const step = { count: TASKS, cpu: 500, memMb: 10, estimateMs: WORK_MILLIS, gang: true };
  if (!(await deployment.submit(path, { spec: `gang ${WORK_MILLIS}`, phases: [step] }))) {
    throw new Error('the job was not accepted');
  }
  const isEnd = (each, how) => each.event === 'ended' && each.how === how;
  const count = (how) => deployment.history.filter((each) => isEnd(each, how)).length;
  const until = Date.now() + LONGEST_MILLIS;
  let state;
  while (state !== 'completed' && state !== 'failed' && Date.now() < until) {
    await sleep(LOOK_MILLIS);
    state = await deployment.state(path);
    const ends = ['alone', 'broken', 'stopped', 'done'].map((how) => `${count(how)} ${how}`);
    const runs = Math.max(0, ...deployment.history.map(({ run }) => run ?? 0));
    deployment.note(`job ${state}; run ${runs}; ends: ${ends.join(', ')}`);
  }
  return count('alone') > 0
    ? [
        `GANG: ${count('alone')} runs ended alone, and the job is ${state} after ${LONGEST_MILLIS} ms`,
      ]
    : [];
});
