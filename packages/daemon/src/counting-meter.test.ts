import test from 'ava';
import { MemoryCounters } from '@bamboowell/metrics/counters';
import { Traffic } from '@bamboowell/wire/traffic';
import { CountingMeter } from './counting-meter.js';

function meterHarness() {
  const counters = new MemoryCounters();
  return { counters, meter: new CountingMeter('worker', counters) };
}

test('the traffic of a connection is counted by link, direction and kind', (t) => {
  const { counters, meter } = meterHarness();
  const traffic = new Traffic(meter);
  traffic.read(100);
  traffic.sent('start', 40);
  traffic.sent('start', 2);
  traffic.received('ended', 30);
  traffic.notSent('start', 'congested');
  traffic.event('ended.silent');
  const link = { link: 'worker' };
  t.is(counters.count('wire.bytes', { ...link, direction: 'in' }), 100);
  t.is(counters.count('wire.bytes', { ...link, direction: 'out' }), 42);
  t.is(counters.count('wire.messages', { ...link, direction: 'out', kind: 'start' }), 2);
  t.is(counters.count('wire.message_bytes', { ...link, direction: 'in', kind: 'ended' }), 30);
  t.is(counters.count('wire.not_sent', { ...link, why: 'congested', kind: 'start' }), 1);
  t.is(counters.count('wire.events', { ...link, event: 'ended.silent' }), 1);
});

test('events of a worker are counted, other names are not', (t) => {
  const { counters, meter } = meterHarness();
  meter.count('worker.refused.start', 3);
  meter.count('weather.rain', 1);
  t.deepEqual([...counters.snapshot()], [['worker.events', 3]]);
  t.is(counters.count('worker.events', { event: 'refused.start' }), 3);
});
