import test from 'ava';
import { connectOwner, resourcesFor, startParams, startWorker } from './worker.fixture.js';

test('commands of a lower epoch are refused once a higher one was seen', async (t) => {
  const worker = await startWorker(t);
  const old = await connectOwner(t, worker);
  const { workerNow } = await old.attach(1);
  old.send('start', startParams('w/0#1', workerNow));
  await old.waitFor('started');
  const next = await connectOwner(t, worker);
  t.like(await next.attach(2), { attempts: [{ attempt: 'w/0#1', state: { kind: 'running' } }] });
  old.send('start', startParams('w/1#1', workerNow));
  t.deepEqual((await old.waitFor('start_refused')).params, { attempt: 'w/1#1', why: 'fenced' });
  old.send('stop', { epoch: 1, attempt: 'w/0#1', checkpoint: false });
  t.deepEqual((await old.waitFor('fenced')).params, { epoch: 2 });
  old.send('attach', { epoch: 1, shard: 's', member: 'm' });
  t.deepEqual((await old.waitFor('fenced')).params, { epoch: 2 });
  const { runs } = await next.inspect();
  t.is(runs.length, 1);
  t.is(runs[0]?.endedAt, undefined);
});

test('a start after its deadline is refused, and stays refused', async (t) => {
  const owner = await connectOwner(t, await startWorker(t));
  const { workerNow } = await owner.attach(1);
  const refused = { attempt: 'w/0#1', why: 'late' };
  owner.send('start', startParams('w/0#1', workerNow, { startBy: workerNow }));
  t.deepEqual((await owner.waitFor('start_refused')).params, refused);
  owner.send('start', startParams('w/0#1', workerNow));
  t.deepEqual((await owner.waitFor('start_refused')).params, refused);
  t.deepEqual((await owner.inspect()).runs, []);
});

test('a slow start that comes after the deadline is refused', async (t) => {
  const owner = await connectOwner(t, await startWorker(t));
  const { workerNow } = await owner.attach(1);
  await owner.switch({ slowStartMillis: 2000 });
  owner.send('start', startParams('w/0#1', workerNow));
  await owner.advanceTime(2000);
  t.like((await owner.waitFor('start_refused')).params, { why: 'late' });
});

test('an attempt is stopped at the end of its lease, which a renewal extends', async (t) => {
  const owner = await connectOwner(t, await startWorker(t));
  const { workerNow } = await owner.attach(1);
  owner.send('start', startParams('w/0#1', workerNow, { leaseUntil: workerNow + 2000 }));
  owner.send('renew', { epoch: 1, leaseUntil: workerNow + 4000 });
  owner.send('renew', { epoch: 1, leaseUntil: workerNow + 3000 });
  await owner.advanceTime(3500);
  t.is((await owner.inspect()).runs[0]?.endedAt, undefined);
  await owner.advanceTime(500);
  t.deepEqual((await owner.waitFor('ended')).params, {
    attempt: 'w/0#1',
    outcome: { kind: 'stopped' },
  });
  t.is(Number((await owner.inspect()).runs[0]?.endedAt), workerNow + 4000);
});

test('an outcome is kept until it is forgotten', async (t) => {
  const owner = await connectOwner(t, await startWorker(t));
  const { workerNow } = await owner.attach(1);
  owner.send('start', startParams('w/0#1', workerNow, { payload: 'echo' }));
  await owner.advanceTime(1);
  t.like((await owner.waitFor('ended')).params, { outcome: { kind: 'succeeded', answer: 'echo' } });
  const ended = { attempt: 'w/0#1', state: { kind: 'ended', outcome: { answer: 'echo' } } };
  t.like(await owner.attach(1), { attempts: [ended] });
  owner.send('forget', { epoch: 1, attempts: ['w/0#1'] });
  t.like(await owner.attach(1), { attempts: [] });
  t.is((await owner.attach(1)).attempts.length, 0);
});

test('a restarted worker has a new incarnation and runs nothing', async (t) => {
  const first = await connectOwner(t, await startWorker(t));
  const second = await connectOwner(t, await startWorker(t));
  const { workerNow } = await first.attach(1);
  first.send('start', startParams('w/0#1', workerNow));
  const before = await first.inspect();
  const after = await second.inspect();
  t.is(before.runs.length, 1);
  t.not(after.incarnation, before.incarnation);
  t.deepEqual(after.runs, []);
});

test('an attempt that does not fit is refused, and the end of another one frees its resources', async (t) => {
  const owner = await connectOwner(t, await startWorker(t, 2));
  const { workerNow } = await owner.attach(1);
  owner.send('start', startParams('w/0#1', workerNow, { demand: resourcesFor(2) }));
  owner.send('start', startParams('w/1#1', workerNow));
  t.deepEqual((await owner.waitFor('start_refused')).params, { attempt: 'w/1#1', why: 'no_room' });
  owner.send('stop', { epoch: 1, attempt: 'w/0#1', checkpoint: false });
  owner.send('start', startParams('w/2#1', workerNow));
  t.deepEqual((await owner.waitFor('started')).params, { attempt: 'w/2#1' });
});

test('an attempt id starts at most once', async (t) => {
  const owner = await connectOwner(t, await startWorker(t));
  const { workerNow } = await owner.attach(1);
  const start = startParams('w/0#1', workerNow);
  owner.send('start', start);
  owner.send('start', start);
  owner.send('stop', { epoch: 1, attempt: 'w/0#1', checkpoint: false });
  owner.send('start', start);
  t.is((await owner.inspect()).runs.length, 1);
});

test('a stop that comes before its start keeps the attempt from starting', async (t) => {
  const owner = await connectOwner(t, await startWorker(t));
  const { workerNow } = await owner.attach(1);
  owner.send('stop', { epoch: 1, attempt: 'w/0#1', checkpoint: false });
  t.like((await owner.waitFor('ended')).params, { outcome: { kind: 'never_started' } });
  owner.send('start', startParams('w/0#1', workerNow));
  await owner.waitFor('start_refused');
  t.deepEqual((await owner.inspect()).runs, []);
});

test('an attempt that resumes from a checkpoint runs only the rest', async (t) => {
  const owner = await connectOwner(t, await startWorker(t));
  const { workerNow } = await owner.attach(1);
  const payload = JSON.stringify({ millis: 3000, answer: 'sum' });
  owner.send('start', startParams('w/0#1', workerNow, { payload }));
  await owner.advanceTime(2000);
  owner.send('stop', { epoch: 1, attempt: 'w/0#1', checkpoint: true });
  const { outcome } = (await owner.waitFor('ended')).params as { outcome: { checkpoint: string } };
  t.deepEqual(JSON.parse(outcome.checkpoint), { ranMillis: 2000 });
  const startBy = workerNow + 60_000;
  const { checkpoint } = outcome;
  owner.send('start', startParams('w/0#2', workerNow, { payload, checkpoint, startBy }));
  await owner.advanceTime(1000);
  t.like((await owner.waitFor('ended')).params, { outcome: { kind: 'succeeded', answer: 'sum' } });
});

test('a cut answer carries the digest of the whole one, and is whole when it is reported again', async (t) => {
  const owner = await connectOwner(t, await startWorker(t));
  const { workerNow } = await owner.attach(1);
  await owner.switch({ cutAnswers: 1 });
  owner.send('start', startParams('w/0#1', workerNow, { payload: 'answer' }));
  await owner.advanceTime(1);
  t.like((await owner.waitFor('ended')).params, { outcome: { answer: 'ans', bytes: 6 } });
  t.like(await owner.request('report_again', { attempt: 'w/0#1' }), { answer: 'answer', bytes: 6 });
  t.like(await owner.request('report_again', { attempt: 'w/9#1' }), { kind: 'failed' });
});

test('existing connections can fall silent while new ones work', async (t) => {
  const worker = await startWorker(t);
  const control = await connectOwner(t, worker);
  const old = await connectOwner(t, worker);
  await old.attach(1);
  await control.switch({ silent: true });
  old.send('attach', { epoch: 1, shard: 's', member: 'm' });
  const next = await connectOwner(t, worker);
  await next.attach(2);
  await control.advanceTime(3500);
  t.deepEqual(
    old.notifications.pending().filter(({ method }) => method === 'attached'),
    [],
  );
  await control.advanceTime(1000);
  t.is(await old.connection.ended, 'silent');
});

test('a frozen worker does nothing, and first stops lapsed attempts when it resumes', async (t) => {
  const worker = await startWorker(t);
  const control = await connectOwner(t, worker);
  const owner = await connectOwner(t, worker);
  const { workerNow } = await owner.attach(1);
  const payload = JSON.stringify({ millis: 2000, answer: 'sum' });
  owner.send('start', startParams('w/0#1', workerNow, { payload, leaseUntil: workerNow + 1000 }));
  await owner.waitFor('started');
  await control.switch({ frozen: true });
  await control.advanceTime(3000);
  t.is((await control.inspect()).runs[0]?.endedAt, undefined);
  await control.switch({ frozen: false });
  t.like((await owner.waitFor('ended')).params, { outcome: { kind: 'stopped' } });
});

test('a frozen worker sends nothing on new connections either', async (t) => {
  const worker = await startWorker(t);
  const control = await connectOwner(t, worker);
  await control.switch({ frozen: true });
  const owner = await connectOwner(t, worker);
  owner.send('attach', { epoch: 1, shard: 's', member: 'm' });
  await control.advanceTime(4500);
  t.is(await owner.connection.ended, 'silent');
  t.deepEqual(owner.notifications.pending(), []);
});

test('a start of a higher epoch fences lower ones', async (t) => {
  const owner = await connectOwner(t, await startWorker(t));
  const { workerNow } = await owner.attach(1);
  owner.send('start', startParams('w/0#1', workerNow, { epoch: 2 }));
  await owner.waitFor('started');
  owner.send('stop', { epoch: 1, attempt: 'w/0#1', checkpoint: false });
  t.deepEqual((await owner.waitFor('fenced')).params, { epoch: 2 });
});

test('usage reports lag by a heartbeat and list only changes', async (t) => {
  const owner = await connectOwner(t, await startWorker(t));
  const { workerNow } = await owner.attach(1);
  const usage = { millicores: 1500, memoryMib: 250 };
  const payload = JSON.stringify({ millis: 600_000, usage });
  owner.send('start', startParams('w/0#1', workerNow, { payload }));
  await owner.advanceTime(3000);
  const throttled = { millicores: 1000, memoryMib: 100 };
  owner.send('throttle', { epoch: 1, attempt: 'w/0#1' });
  await owner.advanceTime(2000);
  const reports = [];
  for (let count = 0; count < 5; count += 1) {
    const { params } = await owner.waitFor('usage');
    reports.push((params as { attempts?: object[] }).attempts);
  }
  t.deepEqual(reports, [
    undefined,
    [{ attempt: 'w/0#1', ...usage }],
    undefined,
    undefined,
    [{ attempt: 'w/0#1', ...throttled }],
  ]);
});

test('a leaving worker reports it and refuses starts', async (t) => {
  const owner = await connectOwner(t, await startWorker(t));
  const { workerNow } = await owner.attach(1);
  await owner.switch({ leaving: true });
  owner.send('start', startParams('w/0#1', workerNow));
  t.deepEqual((await owner.waitFor('start_refused')).params, { attempt: 'w/0#1', why: 'leaving' });
  await owner.advanceTime(1000);
  t.like((await owner.waitFor('usage')).params, { leaving: true });
});

test('a worker that fails everything fails, and start reports can be dropped', async (t) => {
  const owner = await connectOwner(t, await startWorker(t));
  const { workerNow } = await owner.attach(1);
  await owner.switch({ failEverything: true, dropStartReports: true });
  owner.send('start', startParams('w/0#1', workerNow));
  await owner.advanceTime(1);
  t.like(await owner.notifications.next(), {
    method: 'ended',
    params: { attempt: 'w/0#1', outcome: { kind: 'failed' } },
  });
});

test('malformed commands and unknown switches change nothing', async (t) => {
  const owner = await connectOwner(t, await startWorker(t));
  await owner.attach(1);
  owner.send('start', { epoch: 1, attempt: 'w/0#1' });
  t.like(await owner.request('switches', { absent: true }), { kind: 'failed' });
  t.deepEqual((await owner.inspect()).runs, []);
});
