import test from 'ava';
import { run } from '../fixtures/run.js';

const LINES = [
  'event=job.taken at=1000 member=m1 job=a1 queue=q excess=false',
  'event=advice.taken at=1030 member=m1 step=a1.0.0 granted=3',
  'event=task.placed at=1040 member=m1 task=a1.0.0.0 run=1 worker=w1',
  'event=task.ended at=1700 member=m1 task=a1.0.0.0 run=1 worker=w1 end=done',
  'event=job.ended at=1700 member=m1 job=a1 state=completed afterMillis=700',
  'event=request.answered at=1010 member=m2 path=/q/a1 verb=submit outcome=accepted',
].join('\n');

test('a breakdown shows the time of jobs by queue and by window, and counts answers', async (t) => {
  const { code, stdout } = await run(['breakdown'], { stdin: `${LINES}\n` });
  t.is(code, 0);
  t.deepEqual(stdout.trimEnd().split('\n'), [
    'queue\tq\t1\t1\t0\t0\t0\t0\t700\t700\t30\t10\t660\t0\t',
    'second\t0\t1\t1\t0\t0\t0\t0\t700\t700\t30\t10\t660\t0\t',
    'answer\taccepted\t1',
  ]);
});

test('--json prints the same breakdown as JSON', async (t) => {
  const { stdout } = await run(['breakdown', '--json', '--window', '5'], { stdin: LINES });
  t.like(JSON.parse(stdout), {
    queues: [{ queue: 'q', jobs: 1, runMillis: 660 }],
    windows: [{ second: 0, jobs: 1 }],
    answers: { accepted: 1 },
  });
});

test('a missing file exits with 1', async (t) => {
  const { code, stderr } = await run(['breakdown', '/absent/m1.log']);
  t.is(code, 1);
  t.regex(stderr, /can't read \/absent\/m1.log/);
});
