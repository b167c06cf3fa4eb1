import test from 'ava';
import { brandAs, type Offset } from '@bamboowell/types/ids';
import type { Instant } from '@bamboowell/types/time';
import {
  STORE_LATENCY_FACTOR,
  MAX_TAKEOVER_DELAY_MILLIS,
  MAX_STORE_DELAY_MILLIS,
  PROBE_INTERVAL_MILLIS,
  RECOVERY_MILLIS,
  Election,
} from './election.js';

function at(millis: number): Instant {
  return brandAs<Instant>(millis);
}

function offset(value: number): Offset {
  return brandAs<Offset>(value);
}

function electionOf(storeMillis: number | undefined = 0, takeoverMillis = 0) {
  return new Election({ storeMillis: () => storeMillis, takeoverMillis, random: () => 0 });
}

test('vacant work is claimed, first by members close to the store', (t) => {
  const near = electionOf(4);
  const far = electionOf(64);
  near.vacant(at(0));
  far.vacant(at(0));
  t.is(near.next(at(STORE_LATENCY_FACTOR * 4 - 1)), 'none');
  t.is(near.next(at(STORE_LATENCY_FACTOR * 4)), 'claim');
  t.is(far.next(at(STORE_LATENCY_FACTOR * 64 - 1)), 'none');
  t.is(far.next(at(STORE_LATENCY_FACTOR * 64)), 'claim');
});

test('a member with unknown or very high store latency waits longest before a claim', (t) => {
  for (const storeMillis of [undefined, 10_000]) {
    const member = new Election({
      storeMillis: () => storeMillis,
      takeoverMillis: 0,
      random: () => 0,
    });
    member.vacant(at(0));
    t.is(member.next(at(MAX_STORE_DELAY_MILLIS - 1)), 'none');
    t.is(member.next(at(MAX_STORE_DELAY_MILLIS)), 'claim');
  }
});

test('work that another member has claimed meanwhile is not claimed again', (t) => {
  const member = electionOf(64);
  member.vacant(at(0));
  member.claimed();
  t.is(member.next(at(10_000)), 'none');
});

test('a silent owner is replaced only if its log does not advance', (t) => {
  for (const [end, action] of [
    [5, 'claim'],
    [6, 'none'],
  ] as const) {
    const member = electionOf();
    member.connected();
    member.silent(at(0));
    t.is(member.next(at(0)), 'probe');
    t.is(member.logEndRead(offset(5), at(5)), 'none');
    t.is(member.next(at(PROBE_INTERVAL_MILLIS - 1)), 'none');
    t.is(member.next(at(5 + PROBE_INTERVAL_MILLIS)), 'probe');
    t.is(member.logEndRead(offset(end), at(10 + PROBE_INTERVAL_MILLIS)), action);
  }
});

test('a failed probe does not count', (t) => {
  const member = electionOf();
  member.silent(at(0));
  member.next(at(0));
  member.logEndRead(offset(5), at(5));
  member.logEndRead(undefined, at(5 + PROBE_INTERVAL_MILLIS));
  t.is(member.logEndRead(offset(5), at(10 + 2 * PROBE_INTERVAL_MILLIS)), 'none');
  t.is(member.logEndRead(offset(5), at(10 + 3 * PROBE_INTERVAL_MILLIS)), 'claim');
});

test('an owner that cannot write is replaced once the store has answered for a while, and kept if it recovers', (t) => {
  const member = electionOf();
  member.connected();
  member.trouble(true, at(0));
  t.is(member.next(at(0)), 'probe');
  t.is(member.logEndRead(offset(5), at(5)), 'none');
  t.is(member.logEndRead(undefined, at(300)), 'none');
  t.is(member.logEndRead(offset(5), at(800)), 'none');
  t.is(member.logEndRead(offset(5), at(800 + RECOVERY_MILLIS - 1)), 'none');
  t.is(member.logEndRead(offset(5), at(800 + RECOVERY_MILLIS)), 'claim');
  member.trouble(false, at(1300));
  t.is(member.logEndRead(offset(5), at(1600)), 'none');
  t.is(member.next(at(5000)), 'none');
});

// Guards against a change of owner, to a slow machine even, at the very end of an outage of the store for all.
test('after an outage for all, a member on a slow machine leaves more time to the owner and to stronger members', (t) => {
  const weak = electionOf(4, 60_000);
  weak.connected();
  weak.trouble(true, at(0));
  weak.next(at(0));
  t.is(weak.logEndRead(undefined, at(700)), 'none');
  t.is(weak.logEndRead(offset(5), at(800)), 'none');
  t.is(weak.logEndRead(offset(5), at(800 + RECOVERY_MILLIS)), 'none');
  const due = 800 + RECOVERY_MILLIS + MAX_TAKEOVER_DELAY_MILLIS;
  t.is(weak.logEndRead(offset(5), at(due - 1)), 'none');
  t.is(weak.logEndRead(offset(5), at(due)), 'claim');
});

test('members on faster machines claim first, and the delay of slow ones is bounded', (t) => {
  const strong = electionOf(4, 100);
  const weak = electionOf(4, 60_000);
  for (const member of [strong, weak]) {
    member.vacant(at(0));
  }
  const early = STORE_LATENCY_FACTOR * 4;
  t.is(strong.next(at(early + 99)), 'none');
  t.is(strong.next(at(early + 100)), 'claim');
  t.is(weak.next(at(early + MAX_TAKEOVER_DELAY_MILLIS - 1)), 'none');
  t.is(weak.next(at(early + MAX_TAKEOVER_DELAY_MILLIS)), 'claim');
});

test('a member on a slow machine waits longer for the log of a silent owner to advance', (t) => {
  const weak = electionOf(4, 60_000);
  weak.silent(at(0));
  t.is(weak.next(at(0)), 'probe');
  t.is(weak.logEndRead(offset(5), at(5)), 'none');
  t.is(weak.next(at(5 + PROBE_INTERVAL_MILLIS)), 'none');
  const later = 5 + PROBE_INTERVAL_MILLIS + MAX_TAKEOVER_DELAY_MILLIS;
  t.is(weak.next(at(later)), 'probe');
  t.is(weak.logEndRead(offset(5), at(later + 5)), 'claim');
});

// Guards against two waits in a row, for the silence and for the log, which can pass at the same time.
test('a log that is read on suspicion counts as the first read once the owner is silent', (t) => {
  for (const [end, action] of [
    [5, 'claim'],
    [6, 'none'],
  ] as const) {
    const member = electionOf();
    member.connected();
    member.suspect(true, at(0));
    t.is(member.next(at(0)), 'probe');
    t.is(member.logEndRead(offset(5), at(5)), 'none');
    t.is(member.next(at(300)), 'none');
    member.silent(at(400));
    t.is(member.next(at(400)), 'none');
    t.is(member.next(at(5 + PROBE_INTERVAL_MILLIS)), 'probe');
    t.is(member.logEndRead(offset(end), at(10 + PROBE_INTERVAL_MILLIS)), action);
  }
});

// Guards against a claim that rests on a read from before the owner was last heard, or on none.
test('a suspected owner that is heard again is not claimed from, and a failed read on suspicion does not count', (t) => {
  const member = electionOf();
  member.connected();
  member.suspect(true, at(0));
  member.next(at(0));
  member.logEndRead(offset(5), at(5));
  member.suspect(false, at(100));
  t.is(member.nextAt, undefined);
  member.silent(at(500));
  t.is(member.next(at(500)), 'probe');
  t.is(member.logEndRead(offset(5), at(505)), 'none');

  const other = electionOf();
  other.connected();
  other.suspect(true, at(0));
  other.next(at(0));
  other.logEndRead(undefined, at(5));
  t.is(other.nextAt, undefined);
  other.silent(at(500));
  t.is(other.next(at(500)), 'probe');
  t.is(other.logEndRead(offset(5), at(505)), 'none');
});
