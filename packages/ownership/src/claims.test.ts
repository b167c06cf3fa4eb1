import test from 'ava';
import { brandAs, type Epoch, type MemberId, type ShardId } from '@bamboowell/types/ids';
import type { Instant } from '@bamboowell/types/time';
import { CLAIM_STAGGER_MILLIS } from './bounds.js';
import { ClaimSchedule, planClaim, type Candidate, type ClaimView } from './claims.js';
import { claimOrder, assignShards } from './shard-assignment.js';

const shardOf = (name: string) => brandAs<ShardId>(name);
const memberOf = (name: string) => brandAs<MemberId>(name);
const instantOf = (millis: number) => brandAs<Instant>(millis);
const SHARD = shardOf('s0');

function members(count: number): MemberId[] {
  return Array.from({ length: count }, (_, index) => memberOf(`m${index}`));
}

function candidates(names: readonly MemberId[], changes: Partial<Candidate> = {}): Candidate[] {
  return names.map((member) => ({ member, live: true, leaving: false, ...changes }));
}

function votesOf(voters: readonly MemberId[], suspect: MemberId) {
  return new Map(voters.map((voter) => [voter, new Set([suspect])]));
}

/** The view of the member that is first in the claim order of a released shard, out of three. */
function claimView(changes: Partial<ClaimView> = {}): ClaimView {
  const region = members(3);
  return {
    self: claimOrder(SHARD, [SHARD], region)[0] ?? memberOf('none'),
    shard: SHARD,
    shards: [SHARD],
    fold: { epoch: brandAs<Epoch>(4), owner: null },
    foldIsFresh: true,
    claimedBySelf: false,
    claimUnresolved: false,
    candidates: candidates(region),
    voters: { region, witnesses: [] },
    votes: new Map(),
    claimableSince: instantOf(1000),
    now: instantOf(1000),
    ...changes,
  };
}

test('the first member in the claim order claims a released shard at once, the next one later', (t) => {
  const [first, second] = claimOrder(SHARD, [SHARD], members(3));
  t.truthy(first);
  t.deepEqual(planClaim(claimView()), { kind: 'claim', epoch: brandAs<Epoch>(5), votes: [] });
  const self = second ?? memberOf('none');
  const waits = planClaim(claimView({ self }));
  t.like(waits, { kind: 'wait', why: 'turn', until: 1000 + CLAIM_STAGGER_MILLIS });
  const later = planClaim(claimView({ self, now: instantOf(1000 + CLAIM_STAGGER_MILLIS) }));
  t.is(later.kind, 'claim');
});

test('no claim is made on a stale view, with an unresolved claim, or while leaving', (t) => {
  const leaving = claimView();
  const own = leaving.candidates.map((one) => ({ ...one, leaving: one.member === leaving.self }));
  t.like(planClaim(claimView({ foldIsFresh: false })), { why: 'not_fresh' });
  t.like(planClaim(claimView({ claimUnresolved: true })), { why: 'unresolved' });
  t.like(planClaim(claimView({ candidates: own })), { why: 'leaving' });
});

test('leaving and silent members are left out of the claim order', (t) => {
  const region = members(3);
  const [first, second] = claimOrder(SHARD, [SHARD], region);
  const self = second ?? memberOf('none');
  for (const change of [{ leaving: true }, { live: false }]) {
    const view = claimView({ self });
    const changed = view.candidates.map((one) =>
      one.member === first ? { ...one, ...change } : one,
    );
    t.is(planClaim(claimView({ self, candidates: changed })).kind, 'claim');
  }
});

test('an owner that has not released its shard loses it only if a majority suspects it', (t) => {
  const region = members(5);
  const [self, owner, third, fourth] = region as [MemberId, MemberId, MemberId, MemberId];
  const fold = { epoch: brandAs<Epoch>(4), owner };
  const voters = { region, witnesses: [] };
  const view = { self, fold, voters, candidates: candidates(region), now: instantOf(99_000) };
  t.like(planClaim(claimView(view)), { why: 'owned' });
  const minority = votesOf([self, third], owner);
  t.like(planClaim(claimView({ ...view, votes: minority })), { why: 'no_majority' });
  const majority = votesOf([self, third, fourth], owner);
  t.like(planClaim(claimView({ ...view, votes: majority })), { kind: 'claim' });
});

test('an incomplete list of members does not turn a minority into a majority', (t) => {
  const [self, owner, witness] = members(3) as [MemberId, MemberId, MemberId];
  const view = {
    self,
    fold: { epoch: brandAs<Epoch>(4), owner },
    candidates: candidates([self]),
    votes: votesOf([self], owner),
  };
  const alone = { ...view, voters: { region: [self], witnesses: [] } };
  t.like(planClaim(claimView(alone)), { why: 'no_majority' });
  const watched = { ...view, voters: { region: [self, owner], witnesses: [witness] } };
  t.like(planClaim(claimView(watched)), { why: 'no_majority' });
  const outvoted = { ...watched, votes: votesOf([self, witness], owner) };
  t.is(planClaim(claimView(outvoted)).kind, 'claim');
});

test('a restarted owner claims its shard again and names itself as the voter', (t) => {
  const { self } = claimView();
  const fold = { epoch: brandAs<Epoch>(4), owner: self };
  t.like(planClaim(claimView({ fold })), { kind: 'claim', votes: [self] });
  t.like(planClaim(claimView({ fold, claimedBySelf: true })), { why: 'owned' });
});

test('the stagger counts from the instant at which the shard became claimable', (t) => {
  const [, second] = claimOrder(SHARD, [SHARD], members(3));
  const self = second ?? memberOf('none');
  const schedule = new ClaimSchedule();
  const at = (millis: number) => schedule.plan(claimView({ self, now: instantOf(millis) })).kind;
  t.is(at(5000), 'wait');
  t.is(at(5000 + CLAIM_STAGGER_MILLIS - 1), 'wait');
  t.is(at(5000 + CLAIM_STAGGER_MILLIS), 'claim');
});

test('shards are assigned evenly, and few move when a member leaves', (t) => {
  const shards = Array.from({ length: 36 }, (_, index) => shardOf(`s${index}`));
  const before = assignShards(shards, members(9));
  const counts = members(9).map((one) => [...before.values()].filter((owner) => owner === one));
  t.deepEqual([...new Set(counts.map(({ length }) => length))], [4]);
  const after = assignShards(shards, members(8));
  const moved = shards.filter((shard) => before.get(shard) !== after.get(shard));
  t.true(moved.length <= 18, `${moved.length} of 36 moved`);
});
