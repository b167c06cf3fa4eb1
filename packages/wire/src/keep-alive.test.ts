import test from 'ava';
import { Clock, type Alarm } from '@bamboowell/kernel/clock';
import { ManualClock } from '@bamboowell/kernel/manual-clock';
import { brandAs } from '@bamboowell/types/ids';
import type { Deadline, Instant } from '@bamboowell/types/time';
import { KeepAlive, SILENCE_MILLIS } from './keep-alive.js';

/** A clock whose alarms can fire late, like those of a process that was paused. */
class LateClock extends Clock {
  private current = 0;
  private waiting: (() => void)[] = [];

  now(): Instant {
    return brandAs<Instant>(this.current);
  }

  wakeAt(_deadline: Deadline, wake: () => void): Alarm {
    this.waiting.push(wake);
    return { cancel: () => undefined };
  }

  /** Advances the time first, then fires all alarms. */
  jump(millis: number): void {
    this.current += millis;
    const waiting = this.waiting;
    this.waiting = [];
    waiting.forEach((wake) => {
      wake();
    });
  }
}

function startKeepAlive() {
  const clock = new LateClock();
  const events: string[] = [];
  const keepAlive = new KeepAlive(clock, {
    ping: () => events.push('ping'),
    silent: () => events.push('silent'),
  });
  return { clock, events, keepAlive };
}

test('a process that was paused itself does not consider the other end silent', (t) => {
  const { clock, events } = startKeepAlive();
  clock.jump(SILENCE_MILLIS * 3);
  t.deepEqual(events, ['ping']);
  clock.jump(1000);
  clock.jump(1000);
  clock.jump(1000);
  t.deepEqual(events, ['ping', 'ping', 'ping', 'ping']);
  clock.jump(1000);
  t.is(events.at(-1), 'silent');
});

test('other times apply at once: fewer pings, and silence that counts later', (t) => {
  const clock = new ManualClock();
  const events: string[] = [];
  const listener = { ping: () => events.push('ping'), silent: () => events.push('silent') };
  const keepAlive = new KeepAlive(clock, listener, { pingMillis: 300, silenceMillis: 1100 });
  keepAlive.setTimes({ pingMillis: 1000, silenceMillis: 3500 });
  for (let elapsed = 0; elapsed < 3400; elapsed += 100) {
    clock.advance(100);
  }
  t.deepEqual(events, ['ping', 'ping', 'ping']);
  clock.advance(100);
  t.is(events.at(-1), 'silent');
});
