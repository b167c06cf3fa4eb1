import test from 'ava';
import { brandAs, type Epoch } from '@bamboowell/types/ids';
import { NEVER } from '@bamboowell/types/time';
import { OwnerHarness, owningHarness, workOf } from './owner.fixture.js';
import { DEFAULT_OWNER_SETTINGS, withMaxClockDrift } from './settings.js';

const { leaseMillis, outageRenewalMillis } = DEFAULT_OWNER_SETTINGS;
/** Clocks of members differ by up to this over 4 s (docs/design/ownership.md). */
const DRIFT_MILLIS = 100;
const DRIFT_WINDOW_MILLIS = 4000;

/** A new owner of a shard in which an earlier one has placed work on a worker that isn't reached. */
function succeedingHarness(): OwnerHarness {
  const earlier = owningHarness();
  earlier.submit(workOf({ idempotent: true }));
  const harness = new OwnerHarness('e2/1/1');
  harness.step({ kind: 'restored', snapshot: earlier.owner.fold.snapshot() });
  harness.step({ kind: 'authority', authority: { freshUntil: NEVER, mayRenew: true } });
  harness.step({ kind: 'workers', vms: [harness.listedWorker()] });
  harness.step({ kind: 'claim', epoch: brandAs<Epoch>(2), votes: [] });
  return harness;
}

function taskStateOf(harness: OwnerHarness): string | undefined {
  return harness.owner.fold.get(workOf().id)?.tasks[0]?.state.kind;
}

// Guards against a new owner that starts work again while an earlier one, whose clock is slower, still renews its
// leases during an outage of the log.
test('work on an unreachable worker stays placed until an earlier owner with a slow clock can renew no more', (t) => {
  const harness = succeedingHarness();
  const slowMillis = (outageRenewalMillis * DRIFT_MILLIS) / DRIFT_WINDOW_MILLIS;
  harness.advance(outageRenewalMillis + slowMillis + leaseMillis);
  t.is(taskStateOf(harness), 'placed');
  harness.advance(withMaxClockDrift(leaseMillis) - leaseMillis);
  t.is(taskStateOf(harness), 'waiting');
});
