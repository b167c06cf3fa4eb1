import test from 'ava';
import { ManualClock } from '@bamboowell/kernel/manual-clock';
import { brandAs, type Offset } from '@bamboowell/types/ids';
import { deadlineAfter } from '@bamboowell/types/time';
import { KeepAlive } from '@bamboowell/wire/keep-alive';
import { Election } from './election.js';
import { MEMBER_KEEP_ALIVE } from './owner-silence.js';

/** The owner appends to an idle log, and looks whether that is due, at these intervals. */
const APPEND_MILLIS = 200;
const TICK_MILLIS = 100;
const SLOW_MILLIS = 800;
const STORE_MILLIS = 4;
const OBSERVED_MILLIS = 20_000;

/** Returns numbers from 0 to 1 that depend on the seed only. */
function randomOf(seed: number): () => number {
  let state = seed + 1;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

interface OwnerBehaviour {
  /** How late each of its timers is. */
  readonly lateMillis: () => number;
  /** Until when it stands still, if it does at this time. */
  readonly frozenUntil: (now: number) => number;
}

/** An idle owner and a member connected to it; returns when the member claims the work, if it does. */
function claimAgainst({ lateMillis, frozenUntil }: OwnerBehaviour): number | undefined {
  const clock = new ManualClock(0);
  const election = new Election({ storeMillis: () => 4, takeoverMillis: 0, random: () => 0 });
  election.connected();
  let claimedAt: number | undefined;
  let end = 0;
  let appendedAt = 0;
  const silences = new KeepAlive(
    clock,
    {
      ping: () => undefined,
      silent: () => {
        election.silent(clock.now());
      },
      suspect: (isSuspect) => {
        election.suspect(isSuspect, clock.now());
      },
    },
    MEMBER_KEEP_ALIVE,
  );
  const repeat = (interval: number, act: () => void): void => {
    const at = Math.max(clock.now() + interval + lateMillis(), frozenUntil(clock.now() + interval));
    clock.wakeAt(brandAs(at), () => {
      const until = frozenUntil(clock.now());
      if (until === Infinity) {
        return;
      }
      if (until <= clock.now()) {
        act();
      }
      repeat(until <= clock.now() ? interval : 0, act);
    });
  };
  repeat(MEMBER_KEEP_ALIVE.pingMillis, () => {
    silences.received();
  });
  repeat(TICK_MILLIS, () => {
    if (clock.now() - appendedAt >= APPEND_MILLIS) {
      appendedAt = clock.now();
      end += 1;
    }
  });
  silences.received();
  while (clock.now() < OBSERVED_MILLIS && claimedAt === undefined) {
    clock.advance(1);
    if (election.next(clock.now()) === 'probe') {
      const read = brandAs<Offset>(end);
      clock.wakeAt(deadlineAfter(clock.now(), STORE_MILLIS), () => {
        if (election.logEndRead(read, clock.now()) === 'claim') {
          claimedAt ??= clock.now();
        }
      });
    }
  }
  silences.stop();
  return claimedAt;
}

// Guards against a claim beside an owner that lives: it would cost its members their connections and requests.
test('no work is claimed from an owner whose timers are late by up to 800 ms', (t) => {
  for (let seed = 0; seed < 40; seed += 1) {
    const random = randomOf(seed);
    const lateMillis = (): number => SLOW_MILLIS * random();
    t.is(claimAgainst({ lateMillis, frozenUntil: () => 0 }), undefined, `seed ${seed}`);
  }
});

test('no work is claimed from an owner that stands still for 800 ms again and again', (t) => {
  for (let seed = 0; seed < 40; seed += 1) {
    const period = SLOW_MILLIS + 400 + Math.floor(600 * randomOf(seed)());
    const frozenUntil = (now: number): number =>
      now % period < SLOW_MILLIS ? Math.ceil(now - (now % period) + SLOW_MILLIS) : 0;
    t.is(claimAgainst({ lateMillis: () => 0, frozenUntil }), undefined, `seed ${seed}`);
  }
});

// Guards against work without an owner for longer than needed: the two waits took 1.4 to 1.6 s in turn.
test('the work of a lost owner is claimed within 1.1 s', (t) => {
  for (let seed = 0; seed < 40; seed += 1) {
    const lostAt = 3000 + Math.floor(400 * randomOf(seed)());
    const frozenUntil = (now: number): number => (now >= lostAt ? Infinity : 0);
    const claimedAt = claimAgainst({ lateMillis: () => 0, frozenUntil }) ?? Infinity;
    t.true(claimedAt - lostAt <= 1100, `seed ${seed}: ${claimedAt - lostAt} ms`);
  }
});
