import test from 'ava';
import type { AttemptId, Epoch } from '@bamboowell/types/ids';
import { brandAs } from '@bamboowell/types/ids';
import type { WorkerReport } from '@bamboowell/types/worker-messages';
import { MAX_FRAME_BYTES } from '@bamboowell/wire/frames';
import { SILENCE_MILLIS } from '@bamboowell/wire/keep-alive';
import { farDeadline, deferred } from '@bamboowell/wire/wire.fixture';
import { digestOf } from './digest.js';
import { MAX_WAITING_REPORTS } from './remote-worker.js';
import {
  attachOf,
  attached,
  attachedOf,
  scripted,
  scriptedBlockable,
  startOf,
  succeededOf,
} from './remote-worker.fixture.js';

const DAMAGED = { kind: 'failed', detail: 'answer damaged' };

function endedOf(attempt: string, outcome: object): object {
  return { attempt, outcome };
}

test('commands are refused until the worker is attached', async (t) => {
  const script = await scripted(t);
  t.like(script.link.send(startOf('w/0#1')), {
    kind: 'refused',
    refusal: { verdict: 'not_run', reason: 'worker_lost' },
  });
  const connection = await attached(script);
  t.deepEqual(script.link.send(startOf('w/0#1')), { kind: 'done', value: null });
  t.like(await script.commands.next(), { method: 'start', params: { attempt: 'w/0#1' } });
  connection.notify('started', { attempt: 'w/0#1' });
  t.deepEqual(await script.reports.next(), {
    kind: 'started',
    worker: 'worker-1',
    attempt: 'w/0#1',
  } as WorkerReport);
});

test('the answer to attach is reported with the worker and its clock', async (t) => {
  const script = await scripted(t);
  script.link.send(attachOf(1));
  const { connection } = await script.commands.next();
  const outcome = succeededOf('whole');
  const state = { kind: 'ended', outcome };
  const demand = { millicores: 1, memoryMib: 1, accelerators: 0, slots: 1 };
  const attempts = [{ attempt: 'w/0#1', demand, state }];
  connection.notify('attached', attachedOf({ attempts }));
  t.like(await script.reports.next(), {
    kind: 'attached',
    worker: 'worker-1',
    incarnation: 'incarnation-1',
    workerNow: 1000,
    attempts: [
      {
        attempt: 'w/0#1',
        state: { kind: 'ended', outcome: { kind: 'succeeded', answer: 'whole' } },
      },
    ],
  });
});

test('a lost connection is reported, opened again and attached with the last attach', async (t) => {
  const script = await scripted(t);
  const first = await attached(script, 1);
  script.link.send(attachOf(2));
  await script.commands.next();
  first.close();
  t.deepEqual(await script.reports.next(), {
    kind: 'detached',
    worker: 'worker-1',
    incarnation: 'incarnation-1',
  } as WorkerReport);
  t.like(script.link.send(startOf('w/0#1')), { kind: 'refused' });
  script.clock.advance(1000);
  const again = await script.commands.next();
  t.not(again.connection, first);
  t.like(again, { method: 'attach', params: { epoch: 2 } });
});

test('a start that cannot be sent is reported as not sent', async (t) => {
  const script = await scripted(t);
  await attached(script);
  const tooLarge = startOf('w/0#1', 'x'.repeat(MAX_FRAME_BYTES));
  t.like(script.link.send(tooLarge), { kind: 'done' });
  t.like(await script.reports.next(), {
    kind: 'start_refused',
    attempt: 'w/0#1',
    why: 'not_sent',
  });
});

test('a start whose outcome is unknown is reported only by detached', async (t) => {
  const script = await scripted(t);
  const connection = await attached(script);
  script.link.send(startOf('w/0#1'));
  await script.commands.next();
  connection.close();
  t.like(await script.reports.next(), { kind: 'detached' });
  script.clock.advance(1000);
  (await script.commands.next()).connection.notify('attached', attachedOf());
  t.like(await script.reports.next(), { kind: 'attached' });
});

test('a start that was accepted while the connection ended is not sent on the next one', async (t) => {
  const { script, blockable } = await scriptedBlockable(t);
  const connection = await attached(script);
  const gate = deferred<undefined>();
  const ended = blockable.blockFromDisconnectUntil(gate.value);
  connection.close();
  await ended;
  t.like(script.link.send(startOf('w/0#1')), { kind: 'done' });
  gate.resolve(undefined);
  t.like(await script.reports.next(), { kind: 'detached' });
  t.like(await script.reports.next(), { kind: 'start_refused', why: 'not_sent' });
  script.clock.advance(1000);
  const again = await script.commands.next();
  t.is(again.method, 'attach');
  again.connection.notify('attached', attachedOf());
  await script.reports.next();
  script.link.send(startOf('w/1#1'));
  t.like(await script.commands.next(), { method: 'start', params: { attempt: 'w/1#1' } });
});

test('a repeated start is never reported as not sent while the first one is unanswered', async (t) => {
  const { script, blockable } = await scriptedBlockable(t);
  const connection = await attached(script);
  script.link.send(startOf('w/0#1'));
  await script.commands.next();
  const gate = deferred<undefined>();
  const ended = blockable.blockFromDisconnectUntil(gate.value);
  connection.close();
  await ended;
  t.like(script.link.send(startOf('w/0#1')), { kind: 'done' });
  gate.resolve(undefined);
  t.like(await script.reports.next(), { kind: 'detached' });
  t.like(script.link.send(startOf('w/0#1')), { kind: 'done' });
  t.like(script.link.send(startOf('w/1#1')), { kind: 'refused' });
  script.clock.advance(1000);
  const again = await script.commands.next();
  again.connection.notify('attached', attachedOf({ workerNow: 1 }));
  t.like(await script.reports.next(), { kind: 'attached' });
});

test('a silent worker is detached, and a new connection is opened', async (t) => {
  const script = await scripted(t);
  await attached(script);
  script.clock.advance(SILENCE_MILLIS);
  t.like(await script.reports.next(), { kind: 'detached' });
  script.clock.advance(1000);
  t.like(await script.commands.next(), { method: 'attach' });
});

test('a worker that does not answer attach gets a new connection', async (t) => {
  const script = await scripted(t);
  script.link.send(attachOf(1));
  const { connection } = await script.commands.next();
  script.clock.advance(3000);
  await connection.ended;
  t.is(script.meter.read('worker.attach_timeout'), 1);
});

test('malformed messages are counted and dropped', async (t) => {
  const script = await scripted(t);
  const connection = await attached(script);
  connection.notify('started', { attempt: 5 });
  connection.notify('ended', { attempt: 'w/0#1', outcome: { kind: 'exploded' } });
  connection.notify('usage', null);
  connection.notify('started', { attempt: 'w/1#1' });
  t.like(await script.reports.next(), { kind: 'started', attempt: 'w/1#1' });
  t.is(script.meter.read('worker.junk.started'), 1);
  t.is(script.meter.read('worker.junk.ended'), 1);
  t.is(script.meter.read('worker.junk.usage'), 1);
});

test('another worker at the address is not attached', async (t) => {
  const script = await scripted(t);
  script.link.send(attachOf(1));
  const { connection } = await script.commands.next();
  const { profile } = attachedOf() as { profile: object };
  connection.notify('attached', attachedOf({ profile: { ...profile, id: 'worker-2' } }));
  await connection.ended;
  t.is(script.meter.read('worker.wrong_worker'), 1);
  t.deepEqual(script.reports.pending(), []);
});

test('a damaged answer is requested again and reported undamaged', async (t) => {
  const asked: unknown[] = [];
  const script = await scripted(t, {
    onAccept: (accepted) => {
      accepted.handle('report_again', (params) => {
        asked.push(params);
        return succeededOf('whole');
      });
    },
  });
  const connection = await attached(script);
  connection.notify('ended', endedOf('w/0#1', succeededOf('whole', 'who')));
  connection.notify('ended', endedOf('w/1#1', succeededOf('next')));
  t.like(await script.reports.next(), {
    attempt: 'w/0#1',
    outcome: { kind: 'succeeded', answer: 'whole' },
  });
  t.like(await script.reports.next(), { attempt: 'w/1#1' });
  t.deepEqual(asked, [{ attempt: 'w/0#1' }]);
});

test('an answer of the right length with another digest is damaged; damaged twice, it is a failure', async (t) => {
  const script = await scripted(t, {
    onAccept: (accepted) => {
      accepted.handle('report_again', () => succeededOf('whole', 'whale'));
    },
  });
  const connection = await attached(script);
  connection.notify('ended', endedOf('w/0#1', succeededOf('whole', 'whale')));
  t.like(await script.reports.next(), { attempt: 'w/0#1', outcome: DAMAGED });
  t.is(script.meter.read('worker.damaged_answers'), 1);
  t.is(script.meter.read('worker.damaged_twice'), 1);
});

test('a truncated checkpoint is never reported', async (t) => {
  const script = await scripted(t, {
    onAccept: (accepted) => {
      accepted.handle('report_again', () => {
        throw new Error('not kept');
      });
    },
  });
  const connection = await attached(script);
  const outcome = { kind: 'checkpointed', checkpoint: 'sav', ...digestOf('saved') };
  connection.notify('ended', endedOf('w/0#1', outcome));
  t.like(await script.reports.next(), { attempt: 'w/0#1', outcome: DAMAGED });
});

test('a worker that does not report an outcome again is detached', async (t) => {
  const begun = deferred<null>();
  const script = await scripted(t, {
    onAccept: (accepted) => {
      accepted.handle('report_again', () => {
        begun.resolve(null);
        return new Promise(() => undefined);
      });
    },
  });
  const connection = await attached(script);
  connection.notify('ended', endedOf('w/0#1', succeededOf('whole', 'who')));
  await begun.value;
  script.clock.advance(3000);
  t.like(await script.reports.next(), { kind: 'detached' });
});

test('reading continues while an answer is requested again', async (t) => {
  const script = await scripted(t, {
    onAccept: (accepted) => {
      accepted.handle('report_again', () => {
        for (let index = 0; index < MAX_WAITING_REPORTS * 2; index += 1) {
          accepted.notify('started', { attempt: `w/${index}#2` });
        }
        return succeededOf('whole');
      });
    },
  });
  const connection = await attached(script);
  connection.notify('ended', endedOf('w/0#1', succeededOf('whole', 'who')));
  t.like(await script.reports.next(), {
    attempt: 'w/0#1',
    outcome: { kind: 'succeeded', answer: 'whole' },
  });
});

test('a worker that saw a higher epoch is reported, and nothing more is sent to it', async (t) => {
  const script = await scripted(t);
  const connection = await attached(script, 1);
  connection.notify('fenced', { epoch: 2 });
  t.like(await script.reports.next(), { kind: 'fenced', epoch: 2 });
  t.like(script.link.send(startOf('w/0#1')), { kind: 'refused' });
  t.like(script.link.send(attachOf(3)), { kind: 'done' });
  t.like(await script.commands.next(), { method: 'attach', params: { epoch: 3 } });
});

test('reading pauses while reports wait for space in the mailbox, and none is lost', async (t) => {
  let isFull = false;
  const script = await scripted(t, {
    wrapReports: (reports) => ({
      post: (report) => (isFull ? 'full' : reports.post(report)),
    }),
  });
  const connection = await attached(script);
  isFull = true;
  const count = MAX_WAITING_REPORTS * 4;
  for (let index = 0; index < count; index += 1) {
    connection.notify('started', { attempt: `w/${index}#1` });
  }
  // Commands still go out while reports wait.
  script.link.send({
    kind: 'forget',
    epoch: brandAs<Epoch>(1),
    attempts: [brandAs<AttemptId>('w/0#1')],
  });
  t.like(await script.commands.next(), { method: 'forget' });
  t.deepEqual(script.reports.pending(), []);
  const received = script.meter.read('wire.messages_in.started');
  t.true(received <= MAX_WAITING_REPORTS, `${received} were read`);
  isFull = false;
  script.clock.advance(20);
  const attempts: string[] = [];
  while (attempts.length < count) {
    const report = await script.reports.next();
    attempts.push((report as { attempt: string }).attempt);
  }
  t.deepEqual(
    attempts,
    Array.from({ length: count }, (_, index) => `w/${index}#1`),
  );
});

test('usage that leaves out empty fields is reported with all fields', async (t) => {
  const script = await scripted(t);
  const connection = await attached(script);
  connection.notify('usage', { workerNow: 5 });
  t.deepEqual(await script.reports.next(), {
    kind: 'usage',
    worker: 'worker-1',
    workerNow: 5,
    attempts: [],
    leaving: false,
  } as unknown as WorkerReport);
});

test('counts what is sent and received by method', async (t) => {
  const script = await scripted(t);
  const connection = await attached(script);
  script.link.send(startOf('w/0#1'));
  await script.commands.next();
  await connection.request('ping', null, farDeadline(script.clock));
  t.is(script.meter.read('wire.messages_out.start'), 1);
  t.is(script.meter.read('wire.messages_in.attached'), 1);
  t.true(script.meter.read('wire.message_bytes_out.start') > 100);
});
