import test from 'ava';
import { cores, jobId } from '@bamboowell/jobs/plans.fixture';
import { emulatedCluster, type ClusterOptions } from './emulated-cluster.fixture.js';
import type { JobReply } from './gateway-messages.js';
import { configurationOf, planOf } from './plans.fixture.js';

const OUTAGE_MILLIS = 4200;
const BEFORE_MILLIS = 1000;
const AFTER_MILLIS = 2000;
const SUBMISSION_INTERVAL_MILLIS = 20;
/** How long submissions on their way to the store when it falls silent may be sent to it. */
const NOTICE_MILLIS = 200;

interface Submission {
  readonly job: number;
  /** Counted from the beginning of the outage. */
  readonly sentMillis: number;
  reply: JobReply | undefined;
  replyMillis: number;
}

function outageOptions(): ClusterOptions {
  const configuration = configurationOf();
  const teams = configuration.teams.map((team) => ({ ...team, weight: 200 }));
  const workers = Array.from({ length: 20 }, (_, index) => ({
    name: `w${index}`,
    capacity: cores(8),
  }));
  return { workers, configuration: { ...configuration, teams } };
}

/** A cluster with three members and a steady load of submissions. */
async function loadedCluster(random?: () => number) {
  const options = outageOptions();
  const cluster = emulatedCluster(random === undefined ? options : { ...options, random });
  const names = ['m1', 'm2', 'm3'];
  await Promise.all(names.map((name) => cluster.launch(name)));
  await cluster.run(4000);
  const outageAt = cluster.now() + BEFORE_MILLIS;
  const submissions: Submission[] = [];
  const load = async (millis: number): Promise<void> => {
    const until = cluster.now() + millis;
    while (cluster.now() < until) {
      const job = submissions.length + 1;
      const submission: Submission = {
        job,
        sentMillis: cluster.now() - outageAt,
        reply: undefined,
        replyMillis: Infinity,
      };
      const sentAt = cluster.now();
      submissions.push(submission);
      const name = names[job % names.length] ?? 'm1';
      void cluster.request(name, 'submit', jobId(job), planOf(job)).then((reply) => {
        submission.reply = reply;
        submission.replyMillis = cluster.now() - sentAt;
      });
      await cluster.run(SUBMISSION_INTERVAL_MILLIS);
    }
  };
  return { cluster, outageAt, submissions, load };
}

/** Submits jobs through an outage in which the store accepts calls and stays silent. */
async function outageUnderLoad() {
  const { cluster, outageAt, submissions, load } = await loadedCluster();
  const setMode = (mode: 'up' | 'silent'): void => {
    cluster.members.forEach(({ storeFaults }) => {
      storeFaults.mode = mode;
    });
  };
  await load(BEFORE_MILLIS);
  setMode('silent');
  await load(OUTAGE_MILLIS);
  setMode('up');
  await load(AFTER_MILLIS);
  await cluster.run(6000);
  /** When the first event of this kind was logged after the return of the store. */
  const firstAfterReturn = (event: string): number => {
    const returnAt = outageAt + OUTAGE_MILLIS;
    const times = cluster.log
      .filter((line) => line.includes(`event=${event} `) || line.endsWith(`event=${event}`))
      .map((line) => Number(line.split(' ')[0]) - returnAt);
    return times.find((millis) => millis >= 0) ?? Infinity;
  };
  const outcomes = (from: number, to: number): Record<string, number> => {
    const counts: Record<string, number> = {};
    for (const { reply, sentMillis } of submissions) {
      if (sentMillis >= from && sentMillis < to) {
        const outcome = reply?.kind === 'refused' ? reply.reason : (reply?.kind ?? 'none');
        counts[outcome] = (counts[outcome] ?? 0) + 1;
      }
    }
    return counts;
  };
  return { cluster, submissions, firstAfterReturn, outcomes };
}

// Guards against callers that learn nothing although their jobs were never sent to the store (394 in one outage),
// against starts that are rejected for their tickets (413), and against an owner that is slow to serve again.
test('an outage of the store under load leaves few callers undecided, and the owner serves within a second', async (t) => {
  const { cluster, submissions, firstAfterReturn, outcomes } = await outageUnderLoad();
  const during = outcomes(0, OUTAGE_MILLIS);
  t.log(
    JSON.stringify({
      during,
      afterReturn: outcomes(OUTAGE_MILLIS, OUTAGE_MILLIS + AFTER_MILLIS),
      placedAfterMillis: firstAfterReturn('task.placed'),
      endedAfterMillis: firstAfterReturn('job.ended'),
      rejectedByWorkers: cluster.log.filter((line) => /start.rejected.*no_ticket/.test(line))
        .length,
      ranOut: cluster.log.filter((line) => /start.rejected.*ticket_ran_out/.test(line)).length,
    }),
  );
  t.is(outcomes(NOTICE_MILLIS, OUTAGE_MILLIS).undecided, undefined);
  t.true((during.undecided ?? 0) <= NOTICE_MILLIS / SUBMISSION_INTERVAL_MILLIS);
  t.true((during.store_unavailable ?? 0) > 0);
  t.deepEqual(Object.keys(outcomes(OUTAGE_MILLIS, Infinity)), ['accepted']);
  t.true(firstAfterReturn('task.placed') < 400);
  t.true(firstAfterReturn('job.ended') < 1000);
  t.false(cluster.log.some((line) => /start.rejected.*reason=no_ticket/.test(line)));
  t.deepEqual(cluster.jobs.violations, []);
  // What was refused has never been sent to the store, and what was accepted is done.
  const { records } = cluster.store.topic('work');
  for (const { job, reply } of submissions) {
    if (reply?.kind === 'refused') {
      t.false(records.some(({ key }) => key.includes(jobId(job))));
    } else if (reply?.kind === 'accepted') {
      t.true(cluster.jobs.isDone(jobId(job)));
    }
  }
});

// Guards against lost answers that each hold up all records for 800 ms, and against a slow store whose appends are
// given up before it answers them.
for (const { name, faults, withinMillis } of [
  { name: 'a third of the answers is lost', faults: { lostAnswerRate: 1 / 3 }, withinMillis: 400 },
  { name: 'the store is slow', faults: { latencyMillis: 240 }, withinMillis: 1000 },
]) {
  test(`submissions are accepted in time while ${name}`, async (t) => {
    let seed = 1;
    const random = (): number => {
      seed = (seed * 16_807) % 2_147_483_647;
      return seed / 2_147_483_647;
    };
    const { cluster, submissions, load } = await loadedCluster(random);
    await load(BEFORE_MILLIS);
    cluster.members.forEach(({ storeFaults }) => {
      Object.assign(storeFaults, faults);
    });
    await load(6000);
    await cluster.run(3000);
    const millis = submissions.map(({ replyMillis }) => replyMillis).sort((a, b) => a - b);
    const share = (fraction: number): number =>
      Math.round(millis[Math.floor(fraction * (millis.length - 1))] ?? Infinity);
    t.log(`median ${share(0.5)} ms, 95% ${share(0.95)} ms, longest ${share(1)} ms`);
    t.true(share(0.95) <= withinMillis);
    t.true(submissions.every(({ reply }) => reply?.kind === 'accepted'));
    t.is(cluster.log.filter((line) => line.includes('event=owner.ready')).length, 1);
    t.deepEqual(cluster.jobs.violations, []);
  });
}

// Guards against an owner that takes its unsent submissions with it into a last batch that is never stored.
test('an owner that is told to stop in an outage hands back the submissions that were never sent', async (t) => {
  const { cluster } = await loadedCluster();
  const owner = cluster.ownerName() ?? '';
  const follower = ['m1', 'm2', 'm3'].find((name) => name !== owner) ?? '';
  cluster.members.forEach(({ storeFaults }) => {
    storeFaults.mode = 'silent';
  });
  await cluster.run(1000);
  const reply = cluster.request(follower, 'submit', jobId(1), planOf(1));
  await cluster.run(100);
  const stopped = cluster.shutDown(owner, 1500);
  await cluster.run(4000);
  await stopped;
  t.like(await reply, { kind: 'refused', reason: 'no_owner' });
});
