import test from 'ava';
import { ManualClock } from '@bamboowell/kernel/manual-clock';
import { EventLog } from '@bamboowell/logger/logger';
import type { Fields } from '@bamboowell/logger/line';
import { MachineTask } from './machine-task.js';
import { Traffic } from './traffic.js';

class FieldsLog extends EventLog {
  readonly lines: (readonly [string, Fields])[] = [];

  event(name: string, fields: Fields = {}): void {
    this.lines.push([name, fields]);
  }
}

async function settled(): Promise<void> {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}

test('the figures show the available resources, their use and the lag of timers', async (t) => {
  const clock = new ManualClock(1000);
  const events = new FieldsLog();
  const traffic = new Traffic();
  let cpuMicros = 5_000_000;
  const task = new MachineTask(
    {
      machine: { cores: 0.324, memoryMib: 250, linkMbps: 10 },
      gauges: { cpuMicros: () => cpuMicros, residentBytes: () => 64 * 1024 * 1024 },
      traffic,
      events,
    },
    clock,
  );
  await task.start();
  traffic.track('store', { bytesRead: 900, bytesWritten: 90, once: () => undefined });
  cpuMicros += 162_000;
  for (const millis of [250, 250, 290, 250]) {
    clock.advance(millis);
    await settled();
  }
  t.deepEqual(
    events.lines.map(([name]) => name),
    ['member.figures'],
  );
  t.like(events.lines[0]?.[1], {
    cores: 0.324,
    coresUsed: 0.156,
    lagMillis: 40,
    memoryMib: 250,
    memoryUsedMib: 64,
    linkMbps: 10,
    storeIn: 900,
    storeOut: 90,
    callersIn: 0,
  });
  await task.stop();
});
