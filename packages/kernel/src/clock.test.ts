import test from 'ava';
import { brandAs } from '@bamboowell/types/ids';
import type { Deadline, Instant } from '@bamboowell/types/time';
import { SystemClock } from './clock.js';

/** A clock that runs slower than Node's timers, so that all of them fire early by it. */
class SlowClock extends SystemClock {
  private readonly start = super.now();

  override now(): Instant {
    return brandAs<Instant>(this.start + (super.now() - this.start) * 0.95);
  }
}

test('an alarm never wakes before its deadline, even if timers fire early', async (t) => {
  const clock = new SlowClock();
  const early: number[] = [];
  const wakes = Array.from({ length: 200 }, async (_, index) => {
    const deadline = brandAs<Deadline>(clock.now() + 1 + index * 0.37);
    await clock.sleepUntil(deadline);
    const left = deadline - clock.now();
    if (left > 0) {
      early.push(left);
    }
  });
  await Promise.all(wakes);
  t.deepEqual(early, []);
});

test('a cancelled alarm does not wake', async (t) => {
  const clock = new SystemClock();
  const alarm = clock.wakeAt(brandAs<Deadline>(clock.now() + 5), () => {
    t.fail('it was cancelled');
  });
  alarm.cancel();
  await clock.sleepUntil(brandAs<Deadline>(clock.now() + 20));
  t.pass();
});
