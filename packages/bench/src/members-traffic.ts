/** Measures the cost of heartbeats between members, within and between regions. */

import { Cell, reportOf, settle } from '@bamboowell/membership/members.fixture';
import { brandAs, type Epoch, type RegionId, type ShardId } from '@bamboowell/types/ids';
import { rounded } from './line-fit.js';
import { cpuMicrosOfAsync } from './usage.js';

const WARM_UP_MILLIS = 10_000;
const MEASURED_MILLIS = 20_000;
const MILLIS_PER_SECOND = 1_000;
const SECONDS = MEASURED_MILLIS / MILLIS_PER_SECOND;
/** One shard for each of two data centres. */
const SHARDS_OF_REGION = 2;

export interface MembersFigures {
  readonly regions: number;
  readonly membersOfRegion: number;
  /** Sent by one member to all others. */
  readonly messagesPerSecond: number;
  readonly bytesPerSecond: number;
  readonly bytesEach: number;
  /** CPU time of one member for sending and receiving, without sockets. */
  readonly cpuMicrosPerSecond: number;
}

/** Cells of one and three regions of six members. */
export async function measureMembersTraffic(): Promise<readonly MembersFigures[]> {
  return [await membersFigures(1, 6), await membersFigures(3, 6)];
}

export async function membersFigures(
  regions: number,
  membersOfRegion: number,
): Promise<MembersFigures> {
  const cell = await cellOf(regions, membersOfRegion);
  const members = cell.members.size;
  cell.wireBytes.length = 0;
  const micros = await cpuMicrosOfAsync(() => cell.advanceTime(MEASURED_MILLIS));
  const messages = cell.wireBytes.length;
  const bytes = cell.wireBytes.reduce((sum, one) => sum + one, 0);
  const idle = await cpuMicrosOfAsync(() => idleTurns());
  await cell.stop();
  return {
    regions,
    membersOfRegion,
    messagesPerSecond: rounded(messages / SECONDS / members),
    bytesPerSecond: rounded(bytes / SECONDS / members),
    bytesEach: rounded(bytes / messages),
    cpuMicrosPerSecond: rounded((micros - idle) / SECONDS / members),
  };
}

/** Takes the turns of the event loop that the fixture takes, to subtract their CPU time. */
async function idleTurns(): Promise<void> {
  const step = 500;
  for (let passed = 0; passed < MEASURED_MILLIS; passed += step) {
    await settle();
  }
}

async function cellOf(regions: number, membersOfRegion: number): Promise<Cell> {
  const cell = new Cell();
  for (let index = 0; index < regions * membersOfRegion; index += 1) {
    const region = brandAs<RegionId>(`region-${index % regions}`);
    const name = `entry-vm-${String(index).padStart(2, '0')}`;
    const member = await cell.add(name, { region });
    member.report = reportWith(region, Math.floor(index / regions) < SHARDS_OF_REGION);
  }
  await cell.advanceTime(WARM_UP_MILLIS);
  return cell;
}

function reportWith(region: RegionId, isOwner: boolean) {
  const epochs = Array.from({ length: SHARDS_OF_REGION }, (_, index) => ({
    shard: brandAs<ShardId>(`${region}.data-centre-${index}`),
    epoch: brandAs<Epoch>(100 + index),
  }));
  const load = { running: 8_334, waiting: 300 };
  const owned = isOwner ? epochs.slice(0, 1).map((one) => ({ ...one, ...load })) : [];
  return reportOf({ epochs, owned });
}
