import test from 'ava';
import {
  brandAs,
  type Epoch,
  type MemberId,
  type Offset,
  type ShardId,
} from '@bamboowell/types/ids';
import type { Instant } from '@bamboowell/types/time';
import { CONFIGURATION_FRESH_MILLIS, PAUSE_MILLIS, SUSPECT_AFTER_MILLIS } from './bounds.js';
import { ClaimLedger } from './claim-ledger.js';
import { ConfigurationFreshness, type ConfigurationStatement } from './configuration-freshness.js';
import { planRenewal, type RenewalView } from './lease-renewal.js';
import { Suspicion } from './suspicion.js';

const SHARD = brandAs<ShardId>('s0');
const [A, B] = ['a', 'b'].map((name) => brandAs<MemberId>(name)) as [MemberId, MemberId];
const instantOf = (millis: number) => brandAs<Instant>(millis);
const epochOf = (count: number) => brandAs<Epoch>(count);
const offsetOf = (count: number) => brandAs<Offset>(count);

/** Ticks each second up to `until` and returns the suspects then. */
function suspectsAt(suspicion: Suspicion, from: number, until: number): MemberId[] {
  for (let at = from; at < until; at += 1000) {
    suspicion.tick(instantOf(at));
  }
  return [...suspicion.suspects(instantOf(until))];
}

test('a silent member is suspected at its deadline and cleared when heard', (t) => {
  const suspicion = new Suspicion(instantOf(0));
  suspicion.heard(A, instantOf(0));
  suspicion.heard(B, instantOf(1000));
  t.deepEqual(suspectsAt(suspicion, 0, SUSPECT_AFTER_MILLIS - 1), []);
  t.deepEqual(suspectsAt(suspicion, SUSPECT_AFTER_MILLIS, SUSPECT_AFTER_MILLIS), [A]);
  suspicion.heard(A, instantOf(SUSPECT_AFTER_MILLIS + 1));
  t.deepEqual(suspectsAt(suspicion, SUSPECT_AFTER_MILLIS, SUSPECT_AFTER_MILLIS + 2), []);
});

test('a process that was paused suspects nobody until they could be heard again', (t) => {
  const suspicion = new Suspicion(instantOf(0));
  suspicion.heard(A, instantOf(0));
  const woken = 60_000;
  t.true(suspicion.tick(instantOf(woken)));
  t.deepEqual(suspectsAt(suspicion, woken, woken + SUSPECT_AFTER_MILLIS - 1), []);
  t.deepEqual(suspectsAt(suspicion, woken + 3000, woken + SUSPECT_AFTER_MILLIS), [A]);
  t.false(suspicion.tick(instantOf(woken + SUSPECT_AFTER_MILLIS + PAUSE_MILLIS - 1)));
});

test('a claim stays unresolved until the fold reaches its epoch, and only our own record wins', (t) => {
  const ledger = new ClaimLedger();
  ledger.appended(SHARD, { epoch: epochOf(2), afterRelease: false });
  ledger.reached(SHARD, epochOf(1));
  t.deepEqual(ledger.unresolved(), [SHARD]);
  ledger.reached(SHARD, epochOf(2));
  t.deepEqual(ledger.unresolved(), []);
  t.is(ledger.wonClaim(SHARD, epochOf(2)), undefined);
  ledger.applied(SHARD, epochOf(2));
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
  return { member: B, at, logAnswers: false, upTo: offsetOf(7), left: false };
}

/** A member in an outage of the log, with the configuration up to 7, that hears b at 10 s. */
function configurationInOutage(changes: Partial<ConfigurationStatement> = {}) {
  const freshness = new ConfigurationFreshness(A);
  freshness.expect([A, B]);
  freshness.caughtUp(instantOf(1000), offsetOf(7));
  freshness.logUnavailable();
  const at = instantOf(10_000);
  freshness.memberSays({ ...statementOfB(), at, ...changes });
  return freshness;
}

test('configuration is fresh by the log, or by the word of every member', (t) => {
  const byLog = new ConfigurationFreshness(A);
  byLog.caughtUp(instantOf(1000), offsetOf(7));
  t.like(byLog.standing(instantOf(2000)), { freshUntil: 1000 + CONFIGURATION_FRESH_MILLIS });
  const byMembers = configurationInOutage();
  t.like(byMembers.standing(instantOf(10_500)), {
    freshUntil: 10_000 + CONFIGURATION_FRESH_MILLIS,
  });
  const later = instantOf(10_000 + CONFIGURATION_FRESH_MILLIS);
  t.like(byMembers.standing(later), { why: 'member_silent', members: [B] });
});

test('configuration is stale behind a member, beside one that the log answers, or after a pause', (t) => {
  const now = instantOf(10_500);
  const behind = configurationInOutage({ upTo: offsetOf(8) });
  t.like(behind.standing(now), { why: 'behind', members: [B] });
  behind.handedOver(offsetOf(8));
  t.is(behind.standing(now).kind, 'fresh');
  behind.handedOver(offsetOf(2));
  t.is(behind.standing(now).kind, 'fresh');
  t.like(configurationInOutage({ logAnswers: true }).standing(now), { why: 'log_answers_member' });
  behind.paused();
  t.is(behind.standing(now).kind, 'stale');
});

test('a replaced member that starts in an outage is fresh once a peer handed it everything', (t) => {
  const freshness = new ConfigurationFreshness(A);
  freshness.expect([B]);
  freshness.logUnavailable();
  freshness.memberSays(statementOfB());
  t.like(freshness.standing(instantOf(1500)), { why: 'not_read' });
  freshness.handedOver(offsetOf(7));
  t.is(freshness.standing(instantOf(1500)).kind, 'fresh');
});

test('what a member told before it restarted or left still counts', (t) => {
  const now = instantOf(10_500);
  const restarted = configurationInOutage({ upTo: offsetOf(8) });
  restarted.memberSays({ ...statementOfB(), at: instantOf(10_100), upTo: offsetOf(0) });
  t.like(restarted.standing(now), { why: 'behind', members: [B] });
  const left = configurationInOutage({ left: true });
  t.is(left.standing(instantOf(60 * 60_000)).kind, 'fresh');
});
