import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { run } from '../fixtures/run.js';

const JOB = '5c0e7a21d94b36f8';
const TAKEN = `event=job.taken at=1000 member=m1 job=${JOB} queue=q excess=false`;
const ENDED = `event=job.ended at=1700 member=m1 job=${JOB} state=failed reason="2 runs failed" afterMillis=700`;

test('a job is explained from standard input', async (t) => {
  const { code, stdout } = await run(['explain', JOB], { stdin: `${ENDED}\n${TAKEN}\n` });
  t.is(code, 0);
  t.deepEqual(stdout.split('\n').slice(0, 3), [
    'line\t0\tm1\tjob.taken\tqueue=q excess=false',
    'line\t700\tm1\tjob.ended\tstate=failed reason=2 runs failed afterMillis=700',
    'finding\tthe job ended as failed 700 ms after it was taken (2 runs failed)',
  ]);
});

test('a job is explained from the files of several members', async (t) => {
  const folder = await mkdtemp(join(tmpdir(), 'bamboowell-'));
  t.teardown(() => rm(folder, { recursive: true }));
  const [first, second] = [join(folder, 'm1.log'), join(folder, 'm2.log')];
  await writeFile(first, `${ENDED}\n`);
  await writeFile(second, `${TAKEN}\n`);
  const { code, stdout } = await run(['explain', JOB, first, second, '--json']);
  t.is(code, 0);
  const { rows } = JSON.parse(stdout) as { rows: { event: string }[] };
  t.deepEqual(
    rows.map(({ event }) => event),
    ['job.taken', 'job.ended'],
  );
});

test('a job that no line names and a missing file exit with 1', async (t) => {
  const unknown = await run(['explain', 'ffff'], { stdin: `${TAKEN}\n` });
  t.is(unknown.code, 1);
  t.regex(unknown.stdout, /no line names the job/);
  const absent = await run(['explain', JOB, '/absent/m1.log']);
  t.is(absent.code, 1);
  t.regex(absent.stderr, /can't read \/absent\/m1.log/);
});
