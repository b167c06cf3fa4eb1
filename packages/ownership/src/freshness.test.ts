import test from 'ava';
import {
  brandAs,
  type Epoch,
  type Incarnation,
  type MemberId,
  type ShardId,
} from '@bamboowell/types/ids';
import type { Instant } from '@bamboowell/types/time';
import { FRESH_MILLIS, HANDOVER_MILLIS, LONGEST_LEASE_MILLIS } from './bounds.js';
import { Freshness, type Statement } from './freshness.js';

const SHARD = brandAs<ShardId>('s0');
const SELF = brandAs<MemberId>('self');
const OTHERS = ['b', 'c'].map((name) => brandAs<MemberId>(name));
const EPOCH = brandAs<Epoch>(3);
const instantOf = (millis: number) => brandAs<Instant>(millis);

/** The owner of epoch 3, which read the log last at 10 s and has heard nobody. */
function ownerAt10s(afterRelease = true): Freshness {
  const freshness = new Freshness(SELF, SHARD);
  freshness.expect([SELF, ...OTHERS]);
  const at = instantOf(10_000);
  freshness.caughtUp(at, { epoch: EPOCH, owner: SELF }, { epoch: EPOCH, afterRelease }, at);
  return freshness;
}

function statement(member: MemberId, at: number, changes: Partial<Statement> = {}): Statement {
  return {
    member,
    incarnation: brandAs<Incarnation>(`${member}-1`),
    at: instantOf(at),
    logAnswers: false,
    unresolvedClaims: [],
    epochs: new Map([[SHARD, EPOCH]]),
    left: false,
    ...changes,
  };
}

/** The owner in an outage of the log; all others have said at 20 s that they see it too. */
function ownerInOutage(changes: Partial<Statement> = {}): Freshness {
  const freshness = ownerAt10s();
  freshness.logUnavailable();
  const [first, second] = OTHERS as [MemberId, MemberId];
  freshness.memberSays(statement(first, 20_000), instantOf(20_500));
  freshness.memberSays(statement(second, 20_000, changes), instantOf(20_500));
  return freshness;
}

test('an owner is fresh for as long as it has read the log, and the deadline is told', (t) => {
  const freshness = ownerAt10s();
  t.like(freshness.standing(instantOf(10_001)), {
    kind: 'fresh',
    freshUntil: 10_000 + FRESH_MILLIS,
    exclusiveFrom: 10_000,
  });
  t.like(freshness.standing(instantOf(10_000 + FRESH_MILLIS)), { why: 'log_silent_here' });
});

test('an owner that took a shard over is exclusive only after the handover', (t) => {
  const standing = ownerAt10s(false).standing(instantOf(10_001));
  t.like(standing, { kind: 'fresh', exclusiveFrom: 10_000 + HANDOVER_MILLIS });
});

test('an owner that releases, is succeeded, or did not claim is no owner', (t) => {
  const released = ownerAt10s();
  released.releasing();
  const at = instantOf(11_000);
  released.caughtUp(at, { epoch: EPOCH, owner: SELF }, { epoch: EPOCH, afterRelease: true }, at);
  t.is(released.standing(at).kind, 'not_owner');
  const succeeded = ownerAt10s();
  const next = { epoch: brandAs<Epoch>(4), owner: OTHERS[0] ?? SELF };
  succeeded.caughtUp(at, next, undefined, at);
  t.is(succeeded.standing(at).kind, 'not_owner');
  const restarted = new Freshness(SELF, SHARD);
  restarted.caughtUp(at, { epoch: EPOCH, owner: SELF }, undefined, at);
  t.is(restarted.standing(at).kind, 'not_owner');
});

test('in an outage that all members see, the owner stays fresh on their word', (t) => {
  const standing = ownerInOutage().standing(instantOf(21_000));
  t.like(standing, { kind: 'fresh', freshUntil: 20_000 + FRESH_MILLIS });
});

const OBJECTIONS: readonly [string, Partial<Statement>][] = [
  ['log_answers_member', { logAnswers: true }],
  ['unresolved_claim', { unresolvedClaims: [SHARD] }],
  ['higher_epoch', { epochs: new Map([[SHARD, brandAs<Epoch>(4)]]) }],
  ['member_silent', { at: instantOf(20_900 - FRESH_MILLIS) }],
  ['member_unsettled', { epochs: new Map() }],
];

for (const [why, changes] of OBJECTIONS) {
  test(`in an outage one member's word makes the owner stale: ${why}`, (t) => {
    t.like(ownerInOutage(changes).standing(instantOf(21_000)), { kind: 'stale', why });
  });
}

test('a restarted member that has read nothing is settled after the longest lease', (t) => {
  const freshness = ownerInOutage();
  const [first, second] = OTHERS as [MemberId, MemberId];
  const changes = { incarnation: brandAs<Incarnation>('c-2'), epochs: new Map() };
  const end = 22_000 + LONGEST_LEASE_MILLIS;
  freshness.memberSays(statement(second, 21_500, changes), instantOf(22_000));
  freshness.memberSays(statement(first, end - 10), instantOf(end - 5));
  freshness.memberSays(statement(second, end - 10, changes), instantOf(end - 5));
  t.like(freshness.standing(instantOf(end - 1)), { why: 'member_unsettled' });
  t.is(freshness.standing(instantOf(end)).kind, 'fresh');
});

test('a member that has left is not waited for, a silent one is', (t) => {
  const freshness = ownerInOutage({ left: true, at: instantOf(1000), epochs: new Map() });
  t.is(freshness.standing(instantOf(21_000)).kind, 'fresh');
  t.like(ownerInOutage().standing(instantOf(60 * 60_000)), { why: 'member_silent' });
});

test('an owner alone in its region does not trust itself in an outage', (t) => {
  const freshness = ownerInOutage();
  freshness.expect([SELF]);
  t.like(freshness.standing(instantOf(21_000)), { why: 'alone' });
});

test('an owner that was paused must check again', (t) => {
  const freshness = ownerAt10s();
  freshness.paused();
  t.like(freshness.standing(instantOf(10_500)), { why: 'not_read' });
  const outage = ownerInOutage();
  outage.paused();
  t.is(outage.standing(instantOf(21_000)).kind, 'stale');
});
