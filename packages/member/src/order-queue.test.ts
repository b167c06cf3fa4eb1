import test from 'ava';
import { brandAs } from '@bamboowell/types/ids';
import {
  MAX_ORDERS_UNDER_WAY,
  OrderQueue,
  maxOrdersUnderWay,
  type OrderKey,
} from './order-queue.js';

function keyOf(name: string): OrderKey {
  return brandAs<OrderKey>(name);
}

interface Worker {
  /** Time that a call and its answer take on their way, milliseconds. */
  readonly wayMillis: number;
  /** Time that the worker takes for one order after the other, milliseconds. */
  readonly orderMillis: number;
}

interface Delivery {
  /** How often each order was sent. */
  readonly sent: ReadonlyMap<string, number>;
  readonly mostUnderWay: number;
  readonly millis: number;
}

/** Delivers so many starts, added at once, to a worker. */
function deliver(count: number, { wayMillis, orderMillis }: Worker): Delivery {
  const queue = new OrderQueue(() => MAX_ORDERS_UNDER_WAY);
  queue.recordRoundTrip(wayMillis + orderMillis);
  for (let number = 0; number < count; number += 1) {
    queue.add('start', keyOf(`start ${number}`));
  }
  const sent = new Map<string, number>();
  let answersAt: { readonly at: number; readonly sentAt: number }[] = [];
  let mostUnderWay = 0;
  let isFreeAt = 0;
  let now = 0;
  const sendAll = (): void => {
    for (let key = queue.take(); key !== undefined; key = queue.take()) {
      sent.set(key, (sent.get(key) ?? 0) + 1);
      isFreeAt = Math.max(isFreeAt, now + wayMillis / 2) + orderMillis;
      answersAt.push({ at: isFreeAt + wayMillis / 2, sentAt: now });
      mostUnderWay = Math.max(mostUnderWay, queue.underWay);
    }
  };
  sendAll();
  while (answersAt.length > 0) {
    const next = answersAt.reduce((first, each) => (each.at < first.at ? each : first));
    answersAt = answersAt.filter((each) => each !== next);
    now = next.at;
    queue.release();
    queue.recordRoundTrip(now - next.sentAt);
    sendAll();
  }
  return { sent, mostUnderWay, millis: now };
}

// Guards against owners that run out of memory by orders that wait for a connection and their copies.
test('however many orders wait and however slow the worker is, few are under way and each is sent once', (t) => {
  const ways = [1, 60, 400];
  const orders = [0.2, 5, 100];
  for (const worker of ways.flatMap((wayMillis) =>
    orders.map((orderMillis) => ({ wayMillis, orderMillis })),
  )) {
    const { sent, mostUnderWay } = deliver(2000, worker);
    t.is(sent.size, 2000, JSON.stringify(worker));
    t.true([...sent.values()].every((times) => times === 1));
    t.true(mostUnderWay <= MAX_ORDERS_UNDER_WAY);
  }
});

// Guards against gangs whose first tasks end alone because two orders at a time reach a worker far away.
test('a long way takes more orders under way, so that a wide gang is delivered well within three seconds', (t) => {
  const { millis, mostUnderWay } = deliver(120, { wayMillis: 60, orderMillis: 0.5 });
  t.true(millis <= 1000, `${millis} ms`);
  t.true(mostUnderWay > 2);
});

test('few orders, or a short way, take no more than two connections', (t) => {
  t.is(deliver(8, { wayMillis: 60, orderMillis: 0.5 }).mostUnderWay, 2);
  t.is(deliver(100, { wayMillis: 1, orderMillis: 0.5 }).mostUnderWay, 2);
});

test('answers that are late because the owner is busy take no further connections', (t) => {
  const queue = new OrderQueue(() => MAX_ORDERS_UNDER_WAY);
  queue.recordRoundTrip(2);
  for (let number = 0; number < 40; number += 1) {
    queue.recordRoundTrip(number % 20 === 0 ? 2 : 500);
    queue.add('start', keyOf(`start ${number}`));
  }
  const taken = Array.from({ length: 10 }, () => queue.take()).filter((key) => key !== undefined);
  t.is(taken.length, 2);
});

test('a link that has become longer is noticed', (t) => {
  const queue = new OrderQueue(() => MAX_ORDERS_UNDER_WAY);
  queue.recordRoundTrip(2);
  t.is(queue.deliverableWithin(1000), (MAX_ORDERS_UNDER_WAY * 1000) / 2);
  for (let number = 0; number < 70; number += 1) {
    queue.recordRoundTrip(100);
  }
  t.is(queue.deliverableWithin(1000), (MAX_ORDERS_UNDER_WAY * 1000) / 100);
});

test('stops go before starts, and what is withdrawn is not sent', (t) => {
  const queue = new OrderQueue(() => MAX_ORDERS_UNDER_WAY);
  queue.add('start', keyOf('start 1'));
  queue.add('start', keyOf('start 2'));
  queue.add('stop', keyOf('stop 3'));
  t.true(queue.remove(keyOf('start 1')));
  t.false(queue.remove(keyOf('start 1')));
  t.deepEqual(
    [queue.take(), queue.take(), queue.take()],
    [keyOf('stop 3'), keyOf('start 2'), undefined],
  );
});

test('with many workers fewer orders may be under way to each, but two', (t) => {
  t.is(maxOrdersUnderWay(1), MAX_ORDERS_UNDER_WAY);
  t.is(maxOrdersUnderWay(33), MAX_ORDERS_UNDER_WAY);
  t.is(maxOrdersUnderWay(378), 3);
  t.is(maxOrdersUnderWay(6800), 2);
});
