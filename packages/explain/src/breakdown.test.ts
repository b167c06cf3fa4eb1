import test from 'ava';
import { breakdownOf } from './breakdown.js';
import { EventsByJob } from './events-by-job.js';
import { JOB, logLine, completedJobLines } from './log.fixture.js';

/** The lines of a completed job with another id, shifted in time. */
function shiftedJobLines(id: string, shiftMillis: number): string[] {
  return completedJobLines().map((line) =>
    line
      .replaceAll(JOB, id)
      .replace(/at=(\d+)/, (_, at: string) => `at=${Number(at) + shiftMillis}`),
  );
}

function breakdown(lines: readonly string[]) {
  const events = new EventsByJob();
  lines.forEach((line) => {
    events.add(line);
  });
  return breakdownOf(events.jobs, 2);
}

test('jobs are counted by queue and by the window in which they were taken', (t) => {
  const { byQueue, byWindow } = breakdown([
    ...shiftedJobLines('a1', 0),
    ...shiftedJobLines('a2', 1900),
    ...shiftedJobLines('a3', 4100),
  ]);
  t.deepEqual([...byQueue.keys()], ['q']);
  t.like(byQueue.get('q'), {
    jobs: 3,
    completed: 3,
    halfMillis: 701,
    adviceMillis: 30,
    roomMillis: 20,
    runMillis: 650,
    lostMillis: 0,
  });
  t.deepEqual(
    [...byWindow].map(([second, { jobs }]) => [second, jobs]),
    [
      [0, 2],
      [4, 1],
    ],
  );
});

test('open, failed and cancelled jobs, lost runs and answers are counted', (t) => {
  const taken = (job: string) => logLine(0, 'm1', 'job.taken', { job, queue: 'q', excess: true });
  const ended = (job: string, state: string) => logLine(90, 'm1', 'job.ended', { job, state });
  const task = 'b1.0.0.0';
  const { byQueue, answers } = breakdown([
    ...['b1', 'b2', 'b3'].map(taken),
    ended('b2', 'failed'),
    ended('b3', 'cancelled'),
    logLine(10, 'm1', 'task.placed', { task, run: 1, worker: 'w1' }),
    logLine(20, 'm1', 'run.lost', { task, run: 1, reason: 'lapsed' }),
    logLine(30, 'm1', 'task.placed', { task, run: 2, worker: 'w1' }),
    logLine(40, 'm1', 'task.ended', { task, run: 2, end: 'failed' }),
    logLine(5, 'm2', 'request.answered', { path: '/q/b1', outcome: 'accepted' }),
    logLine(5, 'm2', 'request.answered', { path: '/q/b9', outcome: 'no_owner' }),
    logLine(5, 'm2', 'owner.ready', { term: 1 }),
  ]);
  const group = byQueue.get('q');
  t.like(group, { jobs: 3, completed: 0, failed: 1, cancelled: 1, open: 1, excess: 3 });
  t.deepEqual(
    [...(group?.lostRuns ?? [])],
    [
      ['lapsed', 1],
      ['failed', 1],
    ],
  );
  t.deepEqual(
    [...answers],
    [
      ['accepted', 1],
      ['no_owner', 1],
    ],
  );
});
