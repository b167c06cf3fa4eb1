import { once } from 'node:events';
import { connect, createServer, type AddressInfo } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { deadlineAfter } from '@bamboowell/types/time';
import { SystemClock } from './clock.js';

/** A server that answers a connection and then holds up the process, so that the answer waits. */
async function serverThatHoldsUp(t: ExecutionContext, millis: number) {
  const server = createServer((socket) => {
    socket.write('answer');
    // The bytes reach the other end's socket meanwhile, but the process doesn't read them.
    const until = performance.now() + millis;
    while (performance.now() < until);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  return (server.address() as AddressInfo).port;
}

// Guards against an owner that collapses under load: calls were given up although their answers had
// arrived, their connections were closed and the calls made again.
test('an answer that arrived while the process was held up comes before the deadline of its call', async (t) => {
  const clock = new SystemClock();
  const port = await serverThatHoldsUp(t, 300);
  const events: string[] = [];
  const socket = connect(port, '127.0.0.1');
  const deadline = deadlineAfter(clock.now(), 100);
  const passed = new Promise<void>((resolve) => {
    clock.wakeAt(deadline, () => {
      events.push('deadline');
      resolve();
    });
  });
  socket.once('data', () => events.push('answer'));
  await passed;
  socket.destroy();
  t.deepEqual(events, ['answer', 'deadline']);
});

test('an alarm that was cancelled after it became due is not called', async (t) => {
  const clock = new SystemClock();
  const events: string[] = [];
  const first = clock.wakeAt(deadlineAfter(clock.now(), 10), () => {
    events.push('first');
    second.cancel();
  });
  const second = clock.wakeAt(deadlineAfter(clock.now(), 10), () => events.push('second'));
  await clock.sleepUntil(deadlineAfter(clock.now(), 50));
  first.cancel();
  t.deepEqual(events, ['first']);
});
