import test from 'ava';
import {
  brandAs,
  type Epoch,
  type Incarnation,
  type MemberId,
  type ShardId,
} from '@bamboowell/types/ids';
import type { Instant } from '@bamboowell/types/time';
import { FRESHNESS_WINDOW_MILLIS, HANDOVER_DELAY_MILLIS, MAX_LEASE_MILLIS } from './bounds.js';
import { OwnershipFreshness, type MemberStatement } from './ownership-freshness.js';

const SHARD = brandAs<ShardId>('s0');
const SELF = brandAs<MemberId>('self');
const OTHERS = ['b', 'c'].map((name) => brandAs<MemberId>(name));
const EPOCH = brandAs<Epoch>(3);
const instantOf = (millis: number) => brandAs<Instant>(millis);

/** The owner of epoch 3, which read the log last at 10 s and has heard nobody. */
function ownerAt10s(afterRelease = true): OwnershipFreshness {
  const freshness = new OwnershipFreshness(SELF, SHARD);
  freshness.setExpectedMembers([SELF, ...OTHERS]);
  const at = instantOf(10_000);
  freshness.recordRead(at, { epoch: EPOCH, owner: SELF }, { epoch: EPOCH, afterRelease }, at);
  return freshness;
}

function statement(
  member: MemberId,
  at: number,
  changes: Partial<MemberStatement> = {},
): MemberStatement {
  return {
    member,
    incarnation: brandAs<Incarnation>(`${member}-1`),
    madeAfter: instantOf(at),
    logAnswers: false,
    unresolvedClaims: [],
    epochs: new Map([[SHARD, EPOCH]]),
    left: false,
    ...changes,
  };
}

/** The owner in an outage of the log; all others have said at 20 s that they see it too. */
function ownerInOutage(changes: Partial<MemberStatement> = {}): OwnershipFreshness {
  const freshness = ownerAt10s();
  freshness.recordLogFailure();
  const [first, second] = OTHERS as [MemberId, MemberId];
  freshness.recordStatement(statement(first, 20_000), instantOf(20_500));
  freshness.recordStatement(statement(second, 20_000, changes), instantOf(20_500));
  return freshness;
}

test('an owner is fresh for as long as it has read the log, and the deadline is told', (t) => {
  const freshness = ownerAt10s();
  t.like(freshness.status(instantOf(10_001)), {
    kind: 'fresh',
    freshUntil: 10_000 + FRESHNESS_WINDOW_MILLIS,
    exclusiveFrom: 10_000,
  });
  t.like(freshness.status(instantOf(10_000 + FRESHNESS_WINDOW_MILLIS)), { why: 'log_silent_here' });
});

test('an owner that took a shard over is exclusive only after the handover', (t) => {
  const standing = ownerAt10s(false).status(instantOf(10_001));
  t.like(standing, { kind: 'fresh', exclusiveFrom: 10_000 + HANDOVER_DELAY_MILLIS });
});

test('an owner that releases, is succeeded, or did not claim is no owner', (t) => {
  const released = ownerAt10s();
  released.startRelease();
  const at = instantOf(11_000);
  released.recordRead(at, { epoch: EPOCH, owner: SELF }, { epoch: EPOCH, afterRelease: true }, at);
  t.is(released.status(at).kind, 'not_owner');
  const succeeded = ownerAt10s();
  const next = { epoch: brandAs<Epoch>(4), owner: OTHERS[0] ?? SELF };
  succeeded.recordRead(at, next, undefined, at);
  t.is(succeeded.status(at).kind, 'not_owner');
  const restarted = new OwnershipFreshness(SELF, SHARD);
  restarted.recordRead(at, { epoch: EPOCH, owner: SELF }, undefined, at);
  t.is(restarted.status(at).kind, 'not_owner');
});

test('in an outage that all members see, the owner stays fresh on their word', (t) => {
  const standing = ownerInOutage().status(instantOf(21_000));
  t.like(standing, { kind: 'fresh', freshUntil: 20_000 + FRESHNESS_WINDOW_MILLIS });
});

const OBJECTIONS: readonly [string, Partial<MemberStatement>][] = [
  ['log_answers_member', { logAnswers: true }],
  ['unresolved_claim', { unresolvedClaims: [SHARD] }],
  ['higher_epoch', { epochs: new Map([[SHARD, brandAs<Epoch>(4)]]) }],
  ['member_silent', { madeAfter: instantOf(20_900 - FRESHNESS_WINDOW_MILLIS) }],
  ['member_unsettled', { epochs: new Map() }],
];

for (const [why, changes] of OBJECTIONS) {
  test(`in an outage one member's word makes the owner stale: ${why}`, (t) => {
    t.like(ownerInOutage(changes).status(instantOf(21_000)), { kind: 'stale', why });
  });
}

test('a restarted member that has read nothing is settled after the longest lease', (t) => {
  const freshness = ownerInOutage();
  const [first, second] = OTHERS as [MemberId, MemberId];
  const changes = { incarnation: brandAs<Incarnation>('c-2'), epochs: new Map() };
  const end = 22_000 + MAX_LEASE_MILLIS;
  freshness.recordStatement(statement(second, 21_500, changes), instantOf(22_000));
  freshness.recordStatement(statement(first, end - 10), instantOf(end - 5));
  freshness.recordStatement(statement(second, end - 10, changes), instantOf(end - 5));
  t.like(freshness.status(instantOf(end - 1)), { why: 'member_unsettled' });
  t.is(freshness.status(instantOf(end)).kind, 'fresh');
});

test('a member that has left is not waited for, a silent one is', (t) => {
  const freshness = ownerInOutage({ left: true, madeAfter: instantOf(1000), epochs: new Map() });
  t.is(freshness.status(instantOf(21_000)).kind, 'fresh');
  t.like(ownerInOutage().status(instantOf(60 * 60_000)), { why: 'member_silent' });
});

test('an owner alone in its region does not trust itself in an outage', (t) => {
  const freshness = ownerInOutage();
  freshness.setExpectedMembers([SELF]);
  t.like(freshness.status(instantOf(21_000)), { why: 'alone' });
});

test('an owner that was paused must check again', (t) => {
  const freshness = ownerAt10s();
  freshness.resetAfterPause();
  t.like(freshness.status(instantOf(10_500)), { why: 'not_read' });
  const outage = ownerInOutage();
  outage.resetAfterPause();
  t.is(outage.status(instantOf(21_000)).kind, 'stale');
});
