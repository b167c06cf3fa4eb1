import test from 'ava';
import { brandAs } from '@bamboowell/types/ids';
import { deadlineAfter, type Deadline } from '@bamboowell/types/time';
import { ask, type Reply } from './ask.js';
import { ManualClock } from './manual-clock.js';
import { MAX_RESTARTS, RESTART_WINDOW_MILLIS, SupervisedTask } from './supervisor.js';
import { Task } from './task.js';

type Message =
  | { kind: 'note'; text: string }
  | { kind: 'crash' }
  | { kind: 'wait'; until: Promise<void> }
  | { kind: 'read'; reply: Reply<string[]> }
  | { kind: 'remind'; at: Deadline };

function notebookTask(clock = new ManualClock(), capacity = 16, journal: string[] = []) {
  return new (class extends Task<Message> {
    private readonly notes: string[] = [];
    protected override onStart(): void {
      journal.push('started');
    }
    protected override onStop(): void {
      journal.push('stopped');
    }
    protected async receive(message: Message): Promise<void> {
      switch (message.kind) {
        case 'note':
          this.notes.push(message.text);
          journal.push(message.text);
          break;
        case 'crash':
          throw new Error('crash');
        case 'wait':
          await message.until;
          break;
        case 'read':
          message.reply([...this.notes]);
          break;
        case 'remind':
          this.postAt(message.at, { kind: 'note', text: 'reminded' });
      }
    }
  })('notebook', clock, capacity);
}

function latch() {
  let open: () => void = () => undefined;
  const opened = new Promise<void>((resolve) => {
    open = resolve;
  });
  return { opened, open };
}

async function settle(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
}

test('handles messages one at a time and in order', async (t) => {
  const clock = new ManualClock();
  const task = notebookTask(clock);
  const { opened, open } = latch();
  await task.start();
  task.post({ kind: 'wait', until: opened });
  task.post({ kind: 'note', text: 'a' });
  task.post({ kind: 'note', text: 'b' });
  const answer = ask<Message, string[]>(
    task,
    (reply) => ({ kind: 'read', reply }),
    deadlineAfter(clock.now(), 10),
    clock,
  );
  open();
  t.deepEqual(await answer, { kind: 'answered', value: ['a', 'b'] });
});

test('a message to a full mailbox is refused at once', async (t) => {
  const clock = new ManualClock();
  const task = notebookTask(clock, 1);
  const { opened, open } = latch();
  await task.start();
  task.post({ kind: 'wait', until: opened });
  await settle();
  t.is(task.post({ kind: 'note', text: 'fits' }), 'accepted');
  t.is(task.post({ kind: 'note', text: 'does not' }), 'full');
  const answer = await ask<Message, string[]>(
    task,
    (reply) => ({ kind: 'read', reply }),
    deadlineAfter(clock.now(), 10),
    clock,
  );
  t.deepEqual(answer, { kind: 'unanswered', why: 'full' });
  open();
});

test('a task stopped while busy handles the messages in its mailbox, then stops', async (t) => {
  const journal: string[] = [];
  const task = notebookTask(new ManualClock(), 16, journal);
  const { opened, open } = latch();
  await task.start();
  task.post({ kind: 'wait', until: opened });
  task.post({ kind: 'note', text: 'last' });
  const stopped = task.stop();
  t.is(task.post({ kind: 'note', text: 'late' }), 'stopped');
  open();
  await stopped;
  t.deepEqual(journal, ['started', 'last', 'stopped']);
});

test('an ask without a reply times out at its deadline', async (t) => {
  const clock = new ManualClock();
  const task = notebookTask(clock);
  const { opened, open } = latch();
  await task.start();
  task.post({ kind: 'wait', until: opened });
  const answer = ask<Message, string[]>(
    task,
    (reply) => ({ kind: 'read', reply }),
    deadlineAfter(clock.now(), 10),
    clock,
  );
  clock.advance(10);
  t.deepEqual(await answer, { kind: 'unanswered', why: 'timeout' });
  open();
});

test('a message posted at a deadline arrives once the deadline has passed', async (t) => {
  const clock = new ManualClock();
  const journal: string[] = [];
  const task = notebookTask(clock, 16, journal);
  await task.start();
  task.post({ kind: 'remind', at: brandAs<Deadline>(50) });
  await settle();
  clock.advance(49);
  await settle();
  t.deepEqual(journal, ['started']);
  clock.advance(1);
  await settle();
  t.deepEqual(journal, ['started', 'reminded']);
});

test('a supervisor restarts a failed task under the same address', async (t) => {
  const clock = new ManualClock();
  const journal: string[] = [];
  const events: string[] = [];
  const supervised = new SupervisedTask<Message>(() => notebookTask(clock, 16, journal), clock, {
    restarted: () => events.push('restarted'),
    gaveUp: () => events.push('gave up'),
  });
  await supervised.start();
  supervised.post({ kind: 'crash' });
  await settle();
  t.is(supervised.post({ kind: 'note', text: 'after' }), 'accepted');
  await settle();
  t.deepEqual(events, ['restarted']);
  t.deepEqual(journal, ['started', 'stopped', 'started', 'after']);
});

test('a supervisor gives up on a task that fails too often, not on one that fails now and then', async (t) => {
  const clock = new ManualClock();
  const events: string[] = [];
  const supervised = new SupervisedTask<Message>(() => notebookTask(clock), clock, {
    restarted: () => events.push('restarted'),
    gaveUp: () => events.push('gave up'),
  });
  await supervised.start();
  supervised.post({ kind: 'crash' });
  await settle();
  clock.advance(RESTART_WINDOW_MILLIS);
  for (let failure = 0; failure <= MAX_RESTARTS; failure += 1) {
    supervised.post({ kind: 'crash' });
    await settle();
  }
  t.is(events.filter((event) => event === 'restarted').length, 1 + MAX_RESTARTS);
  t.is(events.at(-1), 'gave up');
  t.is(supervised.post({ kind: 'note', text: 'lost' }), 'stopped');
});

test('a restarted task receives the lasting messages again, and no others', async (t) => {
  const clock = new ManualClock();
  const journal: string[] = [];
  const watcher = { restarted: () => undefined, gaveUp: () => undefined };
  const supervised = new SupervisedTask<Message>(
    () => notebookTask(clock, 16, journal),
    clock,
    watcher,
    (message) => message.kind === 'note' && message.text === 'lasting',
  );
  await supervised.start();
  supervised.post({ kind: 'note', text: 'lasting' });
  supervised.post({ kind: 'note', text: 'once' });
  supervised.post({ kind: 'crash' });
  await settle();
  t.deepEqual(journal, ['started', 'lasting', 'once', 'stopped', 'started', 'lasting']);
});
