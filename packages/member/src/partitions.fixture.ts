/** A cluster that runs a job of long tasks, one on each worker, while the network is cut. */

import { cores, jobId } from '@bamboowell/jobs/plans.fixture';
import { emulatedCluster } from './emulated-cluster.fixture.js';
import { configurationOf, planOf, stepOf } from './plans.fixture.js';

const MEMBERS = ['m1', 'm2', 'm3', 'm4', 'm5'];
const WORKERS = ['w1', 'w2', 'w3', 'w4'];
/** A task lasts longer than all leases of an earlier owner. */
const TASK_MILLIS = 20_000;
/** Time for a member to answer a request. */
const ANSWER_MILLIS = 4000;

export type RunningCluster = Awaited<ReturnType<typeof clusterWithLongTasks>>;

/** Every worker has room for the tasks of another one. */
export async function clusterWithLongTasks() {
  const workers = WORKERS.map((name) => ({ name, capacity: cores(4) }));
  const cluster = emulatedCluster({
    workers,
    configuration: configurationOf(),
    endsPollsOfFrozen: true,
  });
  await Promise.all(MEMBERS.map((name) => cluster.launch(name)));
  await cluster.run(800);
  const owner = cluster.ownerName() ?? '';
  const [companion = '', third = '', fourth = '', fifth = ''] = MEMBERS.filter(
    (name) => name !== owner,
  );
  const step = stepOf({
    count: WORKERS.length,
    demand: cores(2, 50),
    estimateMillis: TASK_MILLIS,
  });
  void cluster.request(owner, 'submit', jobId(1), planOf(1, [step]));
  await cluster.run(500);
  return {
    ...cluster,
    owner,
    companion,
    third,
    fourth,
    fifth,
    /** Returns the state of the job as a member reports it. */
    jobStateAt: async (member: string): Promise<string | undefined> => {
      const reply = cluster.request(member, 'query', jobId(1));
      await cluster.run(ANSWER_MILLIS);
      const answer = await reply;
      return answer?.kind === 'state' ? answer.state : answer?.kind;
    },
    /** Returns how often the log has an event so far. */
    countOf: (event: string): number =>
      cluster.log.filter((line) => line.includes(`event=${event} `)).length,
  };
}
