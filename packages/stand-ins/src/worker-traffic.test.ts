import test from 'ava';
import { MemoryMeter } from '@bamboowell/wire/meter';
import { openConnection, type Teardown } from '@bamboowell/wire/wire.fixture';
import { OwnerClient, startParams, startWorker } from './worker.fixture.js';

const RENEW_MILLIS = 3000;
const ROUNDS = 20;

/** A work id as long as real ones. */
const WORK = '01JE8Z5C9V3W7K2M4N6P8R0T1X';

const KINDS_OUT = ['attach', 'start', 'renew', 'stop', 'throttle', 'forget', 'ping'];
const KINDS_IN = ['attached', 'started', 'start_refused', 'ended', 'usage', 'ping'];

interface Cost {
  readonly messages: number;
  readonly bytes: number;
}

function costOf(meter: MemoryMeter, direction: 'in' | 'out', kind: string): Cost {
  return {
    messages: meter.read(`wire.messages_${direction}.${kind}`),
    bytes: meter.read(`wire.message_bytes_${direction}.${kind}`),
  };
}

/** Meters a minute of renewals with so many running attempts, each started and stopped once. */
async function minuteWith(t: Teardown, attempts: number): Promise<MemoryMeter> {
  const worker = await startWorker(t, 64);
  const meter = new MemoryMeter();
  const owner = new OwnerClient(
    await openConnection(t, worker.clock, worker.address, meter),
    worker.clock,
  );
  const { workerNow } = await owner.attach(1);
  const ids = Array.from({ length: attempts }, (_, index) => `${WORK}/${index}#1`);
  for (const attempt of ids) {
    owner.send('start', startParams(attempt, workerNow));
  }
  for (let round = 1; round <= ROUNDS; round += 1) {
    const leaseUntil = workerNow + round * RENEW_MILLIS + 60_000;
    owner.send('renew', { epoch: 1, leaseUntil });
    await owner.advanceTime(RENEW_MILLIS);
  }
  for (const attempt of ids) {
    owner.send('stop', { epoch: 1, attempt, checkpoint: false });
  }
  owner.send('forget', { epoch: 1, attempts: ids });
  await owner.request('ping');
  return meter;
}

test('renewals and heartbeats do not grow with the number of attempts', async (t) => {
  const few = await minuteWith(t, 1);
  const many = await minuteWith(t, 32);
  t.deepEqual(costOf(many, 'out', 'renew'), costOf(few, 'out', 'renew'));
  t.is(costOf(many, 'out', 'renew').messages, ROUNDS);
  t.is(costOf(many, 'in', 'usage').messages, costOf(few, 'in', 'usage').messages);
  // Each attempt's usage is listed once in the minute, as it does not change.
  const listed = costOf(many, 'in', 'usage').bytes - costOf(few, 'in', 'usage').bytes;
  const entry = JSON.stringify({ attempt: `${WORK}/10#1`, millicores: 1000, memoryMib: 100 });
  t.true(listed <= 31 * (entry.length + 1));
  const idle = costOf(await minuteWith(t, 0), 'in', 'usage');
  t.log(`in usage of an idle worker: ${idle.messages} messages, ${idle.bytes} bytes`);
  for (const kind of KINDS_OUT) {
    const { messages, bytes } = costOf(many, 'out', kind);
    t.log(`out ${kind}: ${messages} messages, ${bytes} bytes`);
  }
  for (const kind of KINDS_IN) {
    const { messages, bytes } = costOf(many, 'in', kind);
    t.log(`in ${kind}: ${messages} messages, ${bytes} bytes`);
  }
});
