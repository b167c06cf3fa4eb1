import test from 'ava';
import { brandAs } from '@bamboowell/types/ids';
import type { Instant } from '@bamboowell/types/time';
import { StoreHealth } from './store-health.js';

const at = (millis: number): Instant => brandAs<Instant>(millis);

/** A store that has answered appends after this latency. */
function healthAfter(latencyMillis: number, count = 20): StoreHealth {
  const health = new StoreHealth();
  for (let index = 0; index < count; index += 1) {
    health.sent(at(0));
    health.answered(at(0), undefined, at(latencyMillis));
  }
  return health;
}

// Guards against a lost answer that costs 800 ms, and against repeats of appends that a slow store still answers.
test('the time-out follows the latency within its bounds and grows with each repeat', (t) => {
  t.is(new StoreHealth().appendTimeoutMillis, 800);
  const health = healthAfter(4);
  t.is(health.appendTimeoutMillis, 100);
  health.repeated();
  t.is(health.appendTimeoutMillis, 200);
  health.repeated();
  health.repeated();
  health.repeated();
  t.is(health.appendTimeoutMillis, 800);
  health.answered(at(0), undefined, at(4));
  t.is(health.appendTimeoutMillis, 100);
  const slow = healthAfter(240).appendTimeoutMillis;
  t.true(slow > 600 && slow <= 800, String(slow));
});

test('a silent store is suspect at several times its latency, and away once probes are unanswered too', (t) => {
  const health = healthAfter(4);
  t.is(health.probeDueAt(), undefined);
  health.sent(at(1000));
  t.is(health.state(at(1049)), 'healthy');
  t.is(health.state(at(1050)), 'suspect');
  t.true(health.isProbeDue(at(1050)));
  health.probeSent(at(1050));
  t.false(health.isProbeDue(at(1149)));
  t.true(health.isProbeDue(at(1150)));
  t.is(health.state(at(1400)), 'suspect');
  health.probeSent(at(1150));
  t.is(health.state(at(1349)), 'suspect');
  t.is(health.state(at(1350)), 'away');
  health.answered(at(1000), undefined, at(1360));
  t.is(health.state(at(9000)), 'healthy');
});

// Guards against a store that has become slow by a factor of 60, and is taken for one that is away.
test('a store that has become slow is not away, and its appends are not repeated for an answered probe', (t) => {
  const health = healthAfter(4);
  health.sent(at(1000));
  health.probeSent(at(1050));
  health.probeSent(at(1150));
  t.is(health.state(at(1245)), 'suspect');
  t.false(health.probeAnswered(at(1050), at(1000), at(1290)));
  t.is(health.state(at(1291)), 'healthy');
});

test('an append is repeated for the answer to a probe that was sent later and answered much sooner', (t) => {
  const health = healthAfter(4);
  health.sent(at(1000));
  health.probeSent(at(1050));
  t.true(health.probeAnswered(at(1050), at(1000), at(1054)));
  t.false(health.probeAnswered(at(1050), at(1052), at(1055)));
});

// Guards against repeats of a large append that is still on its way, which double the load of a thin link.
test('silence counts from when an append has reached the store', (t) => {
  const health = healthAfter(4);
  health.sent(at(1500));
  t.is(health.state(at(1549)), 'healthy');
  t.false(health.isProbeDue(at(1549)));
  t.true(health.isProbeDue(at(1550)));
  health.heard(at(1700), at(1560));
  t.is(health.state(at(1749)), 'healthy');
  t.is(health.state(at(1750)), 'suspect');
  t.false(health.probeAnswered(at(1750), at(1800), at(1754)));
});

// Guards against an owner that is short of processor time, takes the store for away since it reads its answers late,
// and stores and starts less than it could.
test('a process that is behind waits longer by that time, and no longer once it has caught up', (t) => {
  const health = healthAfter(4);
  health.observeLag(400);
  health.sent(at(1000));
  t.is(Number(health.probeDueAt()), 1450);
  t.is(health.state(at(1449)), 'healthy');
  t.is(health.appendTimeoutMillis, 500);
  for (let ticks = 0; ticks < 30; ticks += 1) {
    health.observeLag(0);
  }
  t.is(health.state(at(1051)), 'suspect');
});
