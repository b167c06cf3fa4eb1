import { EventEmitter } from 'node:events';
import test from 'ava';
import { Traffic, type CountedSocket } from './traffic.js';

function socketOf(bytesRead: number, bytesWritten: number) {
  const events = new EventEmitter();
  const socket = {
    bytesRead,
    bytesWritten,
    once: (event: 'close', listener: () => void) => events.once(event, listener),
  } satisfies CountedSocket;
  return { socket, close: () => events.emit('close') };
}

test('bytes are counted once per endpoint, even after the socket has closed', (t) => {
  const traffic = new Traffic();
  const store = socketOf(100, 10);
  const workers = socketOf(7, 70);
  traffic.track('store', store.socket);
  traffic.track('workers', workers.socket);
  const first = traffic.takeCounts();
  t.deepEqual(first.get('store'), { received: 100, sent: 10 });
  t.deepEqual(first.get('workers'), { received: 7, sent: 70 });
  t.deepEqual(first.get('callers'), { received: 0, sent: 0 });
  store.socket.bytesRead = 150;
  store.close();
  const second = traffic.takeCounts();
  t.deepEqual(second.get('store'), { received: 50, sent: 0 });
  t.deepEqual(traffic.takeCounts().get('store'), { received: 0, sent: 0 });
});
