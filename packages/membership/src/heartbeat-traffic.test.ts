import test, { type ExecutionContext } from 'ava';
import { MILLIS_PER_SECOND } from '@bamboowell/types/time';
import { brandAs, type Epoch, type RegionId, type ShardId } from '@bamboowell/types/ids';
import { Cell, reportOf } from './members.fixture.js';

/** Budget of a member for control traffic, bytes a second. */
const CONTROL_BYTES_PER_SECOND = 18_000;
const MEASURED_MILLIS = 60_000;

/** A cell with regions of equal size, each with 12 shards that are distributed evenly. */
async function cellOfRegions(t: ExecutionContext, regions: number, size: number): Promise<Cell> {
  const cell = new Cell();
  t.teardown(() => cell.stop());
  for (let index = 0; index < regions * size; index += 1) {
    const region = brandAs<RegionId>(`region-${index % regions}`);
    const member = await cell.add(`entry-vm-${String(index).padStart(2, '0')}`, {
      incarnation: `0f8e2a4c-${String(index).padStart(4, '0')}`,
      region,
    });
    member.report = reportWithShards(region, Math.ceil(12 / size));
  }
  await cell.advanceTime(10_000);
  return cell;
}

function reportWithShards(region: RegionId, ownedCount: number) {
  const epochs = Array.from({ length: 12 }, (_, index) => ({
    shard: brandAs<ShardId>(`${region}.data-centre-1.${index}`),
    epoch: brandAs<Epoch>(100 + index),
  }));
  const owned = epochs.slice(0, ownedCount).map((one) => ({ ...one, running: 1500, waiting: 300 }));
  return reportOf({ epochs, owned });
}

/** Messages and bytes that one member sends a second, on average. */
async function trafficOf(cell: Cell) {
  cell.wireBytes.length = 0;
  await cell.advanceTime(MEASURED_MILLIS);
  const seconds = MEASURED_MILLIS / MILLIS_PER_SECOND;
  const bytes = cell.wireBytes.reduce((sum, one) => sum + one, 0);
  const messages = cell.wireBytes.length;
  return {
    messagesPerSecond: messages / seconds / cell.members.size,
    bytesPerSecond: Math.round(bytes / seconds / cell.members.size),
    bytesPerHeartbeat: Math.round(bytes / messages),
  };
}

for (const [regions, size] of [
  [1, 9],
  [3, 3],
  [2, 9],
  [3, 6],
] as const) {
  test(`heartbeats of ${regions} regions of ${size} stay within half of the budget`, async (t) => {
    const traffic = await trafficOf(await cellOfRegions(t, regions, size));
    t.log(JSON.stringify(traffic));
    t.true(2 * traffic.bytesPerSecond <= CONTROL_BYTES_PER_SECOND);
    const expected = size - 1 + (size * (regions - 1)) / 2;
    t.true(Math.abs(traffic.messagesPerSecond - expected) <= 0.2);
  });
}
