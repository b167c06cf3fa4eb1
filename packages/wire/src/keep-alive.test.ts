import test from 'ava';
import { Clock, type Alarm } from '@bamboowell/kernel/clock';
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
