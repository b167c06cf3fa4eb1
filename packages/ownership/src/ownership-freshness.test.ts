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

/** The owner of epoch 3, which last read the log at 10 s and has no statements of others. */
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

/** The owner without the log. All others stated at 20 s that the log doesn't answer them either. */
function ownerInOutage(changes: Partial<MemberStatement> = {}): OwnershipFreshness {
  const freshness = ownerAt10s();
  freshness.recordLogFailure();
  const [first, second] = OTHERS as [MemberId, MemberId];
  freshness.recordStatement(statement(first, 20_000), instantOf(20_500));
  freshness.recordStatement(statement(second, 20_000, changes), instantOf(20_500));
  return freshness;
}

test('an owner is fresh for a fixed time after it read the log, and reports the deadline', (t) => {
  const freshness = ownerAt10s();
  t.like(freshness.status(instantOf(10_001)), {
    kind: 'fresh',
    freshUntil: 10_000 + FRESHNESS_WINDOW_MILLIS,
    exclusiveFrom: 10_000,
  });
  t.like(freshness.status(instantOf(10_000 + FRESHNESS_WINDOW_MILLIS)), { why: 'log_silent_here' });
});

test('an owner that took over a shard is exclusive only after the handover delay', (t) => {
  const status = ownerAt10s(false).status(instantOf(10_001));
  t.like(status, { kind: 'fresh', exclusiveFrom: 10_000 + HANDOVER_DELAY_MILLIS });
});

test('a member is not the owner after a release, after a later claim, or without a claim of its own', (t) => {
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

test('while the log answers no member, the owner stays fresh by their statements', (t) => {
  const status = ownerInOutage().status(instantOf(21_000));
  t.like(status, { kind: 'fresh', freshUntil: 20_000 + FRESHNESS_WINDOW_MILLIS });
});

const OBJECTIONS: readonly [string, Partial<MemberStatement>][] = [
  ['log_answers_member', { logAnswers: true }],
  ['unresolved_claim', { unresolvedClaims: [SHARD] }],
  ['higher_epoch', { epochs: new Map([[SHARD, brandAs<Epoch>(4)]]) }],
  ['member_silent', { madeAfter: instantOf(20_900 - FRESHNESS_WINDOW_MILLIS) }],
  ['member_unsettled', { epochs: new Map() }],
];

for (const [why, changes] of OBJECTIONS) {
  test(`without the log, one member's statement makes the owner stale: ${why}`, (t) => {
    t.like(ownerInOutage(changes).status(instantOf(21_000)), { kind: 'stale', why });
  });
}

test('a restarted member that has read nothing stops blocking the owner after the maximum lease', (t) => {
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

test('the owner does without statements of a member that has left, but not of a silent one', (t) => {
  const freshness = ownerInOutage({ left: true, madeAfter: instantOf(1000), epochs: new Map() });
  t.is(freshness.status(instantOf(21_000)).kind, 'fresh');
  t.like(ownerInOutage().status(instantOf(60 * 60_000)), { why: 'member_silent' });
});

test('an owner alone in its region is stale without the log', (t) => {
  const freshness = ownerInOutage();
  freshness.setExpectedMembers([SELF]);
  t.like(freshness.status(instantOf(21_000)), { why: 'alone' });
});

test('an owner that was paused is stale until it has new evidence', (t) => {
  const freshness = ownerAt10s();
  freshness.resetAfterPause();
  t.like(freshness.status(instantOf(10_500)), { why: 'not_read' });
  const outage = ownerInOutage();
  outage.resetAfterPause();
  t.is(outage.status(instantOf(21_000)).kind, 'stale');
});
