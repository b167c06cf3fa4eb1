import test from 'ava';
import {
  brandAs,
  type Epoch,
  type MemberId,
  type Offset,
  type ShardId,
} from '@bamboowell/types/ids';
import type { Instant } from '@bamboowell/types/time';
import {
  CONFIGURATION_FRESHNESS_WINDOW_MILLIS,
  PAUSE_THRESHOLD_MILLIS,
  SUSPECT_AFTER_MILLIS,
} from './bounds.js';
import { ClaimLedger } from './claim-ledger.js';
import { ConfigurationFreshness, type ConfigurationStatement } from './configuration-freshness.js';
import { planRenewal, type RenewalView } from './lease-renewal.js';
import { FailureDetector } from './failure-detector.js';

const SHARD = brandAs<ShardId>('s0');
const [A, B] = ['a', 'b'].map((name) => brandAs<MemberId>(name)) as [MemberId, MemberId];
const instantOf = (millis: number) => brandAs<Instant>(millis);
const epochOf = (count: number) => brandAs<Epoch>(count);
const offsetOf = (count: number) => brandAs<Offset>(count);

/** Ticks each second up to `until` and returns the suspects then. */
function suspectsAt(suspicion: FailureDetector, from: number, until: number): MemberId[] {
  for (let at = from; at < until; at += 1000) {
    suspicion.tick(instantOf(at));
  }
  return [...suspicion.suspects(instantOf(until))];
}

test('a silent member is suspected at its deadline and cleared when heard', (t) => {
  const suspicion = new FailureDetector(instantOf(0));
  suspicion.recordHeartbeat(A, instantOf(0));
  suspicion.recordHeartbeat(B, instantOf(1000));
  t.deepEqual(suspectsAt(suspicion, 0, SUSPECT_AFTER_MILLIS - 1), []);
  t.deepEqual(suspectsAt(suspicion, SUSPECT_AFTER_MILLIS, SUSPECT_AFTER_MILLIS), [A]);
  suspicion.recordHeartbeat(A, instantOf(SUSPECT_AFTER_MILLIS + 1));
  t.deepEqual(suspectsAt(suspicion, SUSPECT_AFTER_MILLIS, SUSPECT_AFTER_MILLIS + 2), []);
});

test('a process that was paused suspects nobody until they could be heard again', (t) => {
  const suspicion = new FailureDetector(instantOf(0));
  suspicion.recordHeartbeat(A, instantOf(0));
  const woken = 60_000;
  t.true(suspicion.tick(instantOf(woken)));
  t.deepEqual(suspectsAt(suspicion, woken, woken + SUSPECT_AFTER_MILLIS - 1), []);
  t.deepEqual(suspectsAt(suspicion, woken + 3000, woken + SUSPECT_AFTER_MILLIS), [A]);
  t.false(suspicion.tick(instantOf(woken + SUSPECT_AFTER_MILLIS + PAUSE_THRESHOLD_MILLIS - 1)));
});

test('a claim stays unresolved until the fold reaches its epoch, and only our own record wins', (t) => {
  const ledger = new ClaimLedger();
  ledger.recordAppend(SHARD, { epoch: epochOf(2), afterRelease: false });
  ledger.recordFoldedEpoch(SHARD, epochOf(1));
  t.deepEqual(ledger.unresolvedShards(), [SHARD]);
  ledger.recordFoldedEpoch(SHARD, epochOf(2));
  t.deepEqual(ledger.unresolvedShards(), []);
  t.is(ledger.wonClaim(SHARD, epochOf(2)), undefined);
  ledger.recordApplied(SHARD, epochOf(2));
  t.like(ledger.wonClaim(SHARD, epochOf(2)), { afterRelease: false });
});

function renewalView(changes: Partial<RenewalView> = {}): RenewalView {
  const fold = { epoch: epochOf(3), owner: B };
  return { self: A, fold, highestHeard: epochOf(3), suspects: new Set(), ...changes };
}

test('leases are renewed by the owner, and by others once it is suspected or has released', (t) => {
  const renew = { kind: 'renew', epoch: epochOf(3) } as const;
  t.deepEqual(planRenewal(renewalView({ self: B })), renew);
  t.deepEqual(planRenewal(renewalView({ suspects: new Set([B]) })), renew);
  const released = { epoch: epochOf(3), owner: null };
  t.deepEqual(planRenewal(renewalView({ fold: released })), renew);
  t.like(planRenewal(renewalView()), { why: 'owner_lives' });
  t.like(planRenewal(renewalView({ self: B, highestHeard: epochOf(4) })), { why: 'higher_epoch' });
  const unowned = { epoch: epochOf(0), owner: null };
  const never = planRenewal(renewalView({ fold: unowned, highestHeard: epochOf(0) }));
  t.like(never, { why: 'never_owned' });
});

function statementOfB(): ConfigurationStatement {
  const at = instantOf(1000);
  return { member: B, madeAfter: at, logAnswers: false, upTo: offsetOf(7), left: false };
}

/** A member in an outage of the log, with the configuration up to 7, that hears b at 10 s. */
function configurationInOutage(changes: Partial<ConfigurationStatement> = {}) {
  const freshness = new ConfigurationFreshness(A);
  freshness.setExpectedMembers([A, B]);
  freshness.recordRead(instantOf(1000), offsetOf(7));
  freshness.recordLogFailure();
  const at = instantOf(10_000);
  freshness.recordStatement({ ...statementOfB(), madeAfter: at, ...changes });
  return freshness;
}

test('configuration is fresh by the log, or by the word of every member', (t) => {
  const byLog = new ConfigurationFreshness(A);
  byLog.recordRead(instantOf(1000), offsetOf(7));
  t.like(byLog.status(instantOf(2000)), {
    freshUntil: 1000 + CONFIGURATION_FRESHNESS_WINDOW_MILLIS,
  });
  const byMembers = configurationInOutage();
  t.like(byMembers.status(instantOf(10_500)), {
    freshUntil: 10_000 + CONFIGURATION_FRESHNESS_WINDOW_MILLIS,
  });
  const later = instantOf(10_000 + CONFIGURATION_FRESHNESS_WINDOW_MILLIS);
  t.like(byMembers.status(later), { why: 'member_silent', members: [B] });
});

test('configuration is stale behind a member, beside one that the log answers, or after a pause', (t) => {
  const now = instantOf(10_500);
  const behind = configurationInOutage({ upTo: offsetOf(8) });
  t.like(behind.status(now), { why: 'behind', members: [B] });
  behind.recordHandover(offsetOf(8));
  t.is(behind.status(now).kind, 'fresh');
  behind.recordHandover(offsetOf(2));
  t.is(behind.status(now).kind, 'fresh');
  t.like(configurationInOutage({ logAnswers: true }).status(now), { why: 'log_answers_member' });
  behind.resetAfterPause();
  t.is(behind.status(now).kind, 'stale');
});

test('a replaced member that starts in an outage is fresh once a peer handed it everything', (t) => {
  const freshness = new ConfigurationFreshness(A);
  freshness.setExpectedMembers([B]);
  freshness.recordLogFailure();
  freshness.recordStatement(statementOfB());
  t.like(freshness.status(instantOf(1500)), { why: 'not_read' });
  freshness.recordHandover(offsetOf(7));
  t.is(freshness.status(instantOf(1500)).kind, 'fresh');
});

test('what a member told before it restarted or left still counts', (t) => {
  const now = instantOf(10_500);
  const restarted = configurationInOutage({ upTo: offsetOf(8) });
  restarted.recordStatement({ ...statementOfB(), madeAfter: instantOf(10_100), upTo: offsetOf(0) });
  t.like(restarted.status(now), { why: 'behind', members: [B] });
  const left = configurationInOutage({ left: true });
  t.is(left.status(instantOf(60 * 60_000)).kind, 'fresh');
});
