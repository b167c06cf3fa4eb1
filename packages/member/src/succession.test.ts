import test from 'ava';
import { brandAs, type Offset } from '@bamboowell/types/ids';
import type { Instant } from '@bamboowell/types/time';
import { ANSWERS_WAITED, LONGEST_WAIT_MILLIS, LOOK_GAP_MILLIS, Succession } from './succession.js';

function at(millis: number): Instant {
  return brandAs<Instant>(millis);
}

function offset(value: number): Offset {
  return brandAs<Offset>(value);
}

function succession(storeMillis: number | undefined = 0) {
  return new Succession({ storeMillis: () => storeMillis, random: () => 0 });
}

test('vacant work is claimed, by members near the store first', (t) => {
  const near = succession(4);
  const far = succession(64);
  near.vacant(at(0));
  far.vacant(at(0));
  t.is(near.next(at(ANSWERS_WAITED * 4 - 1)), 'none');
  t.is(near.next(at(ANSWERS_WAITED * 4)), 'claim');
  t.is(far.next(at(ANSWERS_WAITED * 64 - 1)), 'none');
  t.is(far.next(at(ANSWERS_WAITED * 64)), 'claim');
});

test('a member that can not tell how far the store is waits longest, as one that is very far', (t) => {
  for (const storeMillis of [undefined, 10_000]) {
    const member = new Succession({ storeMillis: () => storeMillis, random: () => 0 });
    member.vacant(at(0));
    t.is(member.next(at(LONGEST_WAIT_MILLIS - 1)), 'none');
    t.is(member.next(at(LONGEST_WAIT_MILLIS)), 'claim');
  }
});

test('work that another member has claimed meanwhile is not claimed', (t) => {
  const member = succession(64);
  member.vacant(at(0));
  member.claimed();
  t.is(member.next(at(10_000)), 'none');
});

test('a silent owner whose log stands still is replaced, and one whose log moves is not', (t) => {
  for (const [end, action] of [
    [5, 'claim'],
    [6, 'none'],
  ] as const) {
    const member = succession();
    member.connected();
    member.silent(at(0));
    t.is(member.next(at(0)), 'look');
    t.is(member.looked(offset(5), at(5)), 'none');
    t.is(member.next(at(LOOK_GAP_MILLIS - 1)), 'none');
    t.is(member.next(at(5 + LOOK_GAP_MILLIS)), 'look');
    t.is(member.looked(offset(end), at(10 + LOOK_GAP_MILLIS)), action);
  }
});

test('a look that fails proves nothing', (t) => {
  const member = succession();
  member.silent(at(0));
  member.next(at(0));
  member.looked(offset(5), at(5));
  member.looked(undefined, at(5 + LOOK_GAP_MILLIS));
  t.is(member.looked(offset(5), at(10 + 2 * LOOK_GAP_MILLIS)), 'none');
  t.is(member.looked(offset(5), at(10 + 3 * LOOK_GAP_MILLIS)), 'claim');
});

test('an owner that cannot write is replaced by a member that reads well, and kept if it recovers', (t) => {
  const member = succession();
  member.connected();
  member.trouble(true, at(0));
  t.is(member.looked(offset(5), at(0)), 'none');
  t.is(member.looked(undefined, at(400)), 'none');
  t.is(member.looked(offset(5), at(800)), 'none');
  t.is(member.looked(offset(5), at(1200)), 'claim');
  member.trouble(false, at(1300));
  t.is(member.looked(offset(5), at(1600)), 'none');
  t.is(member.next(at(5000)), 'none');
});
