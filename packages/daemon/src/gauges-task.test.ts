import test from 'ava';
import { ManualClock } from '@bamboowell/kernel/manual-clock';
import { MemoryCounters } from '@bamboowell/metrics/counters';
import { deadlineAfter } from '@bamboowell/types/time';
import { GAUGE_INTERVAL_MILLIS, GaugesTask } from './gauges-task.js';
import type { RoutingTable } from './routing-task.js';
import { testConfiguration, OTHER, routingEntryOn, SELF, SHARD } from './router.fixture.js';

async function nextEventLoopTurn(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
}

test('gauges are sent from the routing table at a fixed interval', async (t) => {
  const clock = new ManualClock(1_000);
  const counters = new MemoryCounters();
  const view = { member: OTHER, listed: undefined, connected: true, leaving: false };
  const table: RoutingTable = {
    configuration: testConfiguration(),
    freshUntil: deadlineAfter(clock.now(), 1),
    owners: new Map(),
    local: new Map([[SHARD, { ...routingEntryOn(SELF), running: 4, waiting: 5 }]]),
    members: [
      { ...view, suspected: false, heard: undefined },
      { ...view, suspected: true, heard: undefined },
    ],
  };
  const routing = {
    post: (message: { readonly kind: string }) => {
      if ('reply' in message) {
        (message.reply as (value: RoutingTable) => void)(table);
      }
      return 'accepted' as const;
    },
  };
  const task = new GaugesTask(routing, counters, clock);
  t.teardown(() => task.stop());
  await task.start();
  await nextEventLoopTurn();
  t.is(counters.latest('configuration.version'), 3);
  t.is(counters.latest('configuration.fresh'), 1);
  t.is(counters.latest('shard.owned'), 1);
  t.is(counters.latest('work.running'), 4);
  t.is(counters.latest('work.waiting'), 5);
  t.is(counters.latest('member.reachable'), 1);
  clock.advance(GAUGE_INTERVAL_MILLIS);
  await nextEventLoopTurn();
  t.is(counters.latest('configuration.fresh'), 0);
});
