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

/** Ticks once a second up to `until` and returns the members suspected then. */
function suspectsAt(detector: FailureDetector, from: number, until: number): MemberId[] {
  for (let at = from; at < until; at += 1000) {
    detector.tick(instantOf(at));
  }
  return [...detector.suspects(instantOf(until))];
}

test('a silent member is suspected from its deadline until its next heartbeat', (t) => {
  const detector = new FailureDetector(instantOf(0));
  detector.recordHeartbeat(A, instantOf(0));
  detector.recordHeartbeat(B, instantOf(1000));
  t.deepEqual(suspectsAt(detector, 0, SUSPECT_AFTER_MILLIS - 1), []);
  t.deepEqual(suspectsAt(detector, SUSPECT_AFTER_MILLIS, SUSPECT_AFTER_MILLIS), [A]);
  detector.recordHeartbeat(A, instantOf(SUSPECT_AFTER_MILLIS + 1));
  t.deepEqual(suspectsAt(detector, SUSPECT_AFTER_MILLIS, SUSPECT_AFTER_MILLIS + 2), []);
});

test('after a pause, a process suspects nobody until their deadlines have passed again', (t) => {
  const detector = new FailureDetector(instantOf(0));
  detector.recordHeartbeat(A, instantOf(0));
  const woken = 60_000;
  t.true(detector.tick(instantOf(woken)));
  t.deepEqual(suspectsAt(detector, woken, woken + SUSPECT_AFTER_MILLIS - 1), []);
  t.deepEqual(suspectsAt(detector, woken + 3000, woken + SUSPECT_AFTER_MILLIS), [A]);
  t.false(detector.tick(instantOf(woken + SUSPECT_AFTER_MILLIS + PAUSE_THRESHOLD_MILLIS - 1)));
});

test('a claim is unresolved until the fold reaches its epoch, and wins only by its own record', (t) => {
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
  return { self: A, fold, highestReportedEpoch: epochOf(3), suspects: new Set(), ...changes };
}

test('leases are renewed by the owner, and by others once it is suspected or has released the shard', (t) => {
  const renew = { kind: 'renew', epoch: epochOf(3) } as const;
  t.deepEqual(planRenewal(renewalView({ self: B })), renew);
  t.deepEqual(planRenewal(renewalView({ suspects: new Set([B]) })), renew);
  const released = { epoch: epochOf(3), owner: null };
  t.deepEqual(planRenewal(renewalView({ fold: released })), renew);
  t.like(planRenewal(renewalView()), { why: 'owner_alive' });
  t.like(planRenewal(renewalView({ self: B, highestReportedEpoch: epochOf(4) })), {
    why: 'higher_epoch',
  });
  const unowned = { epoch: epochOf(0), owner: null };
  const never = planRenewal(renewalView({ fold: unowned, highestReportedEpoch: epochOf(0) }));
  t.like(never, { why: 'never_owned' });
});

function statementOfB(): ConfigurationStatement {
  const at = instantOf(1000);
  return { member: B, madeAfter: at, logAnswers: false, upTo: offsetOf(7), left: false };
}

/** A member without the log, with configuration up to offset 7 and a statement of b at 10 s. */
function configurationInOutage(changes: Partial<ConfigurationStatement> = {}) {
  const freshness = new ConfigurationFreshness(A);
  freshness.setExpectedMembers([A, B]);
  freshness.recordRead(instantOf(1000), offsetOf(7));
  freshness.recordLogFailure();
  const at = instantOf(10_000);
  freshness.recordStatement({ ...statementOfB(), madeAfter: at, ...changes });
  return freshness;
}

test('configuration is fresh after a read of the log, or by the statements of all members', (t) => {
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

test('configuration is stale if a member has newer, if the log answers a member, or after a pause', (t) => {
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

test('a member that starts without the log is fresh once a peer has sent it the whole configuration', (t) => {
  const freshness = new ConfigurationFreshness(A);
  freshness.setExpectedMembers([B]);
  freshness.recordLogFailure();
  freshness.recordStatement(statementOfB());
  t.like(freshness.status(instantOf(1500)), { why: 'not_read' });
  freshness.recordHandover(offsetOf(7));
  t.is(freshness.status(instantOf(1500)).kind, 'fresh');
});

test('statements of a member from before it restarted or left still count', (t) => {
  const now = instantOf(10_500);
  const restarted = configurationInOutage({ upTo: offsetOf(8) });
  restarted.recordStatement({ ...statementOfB(), madeAfter: instantOf(10_100), upTo: offsetOf(0) });
  t.like(restarted.status(now), { why: 'behind', members: [B] });
  const left = configurationInOutage({ left: true });
  t.is(left.status(instantOf(60 * 60_000)).kind, 'fresh');
});
