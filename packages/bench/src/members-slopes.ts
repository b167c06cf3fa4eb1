/** Measures traffic and CPU time of heartbeats against the number of members in a region. */

import { fitLine } from './line-fit.js';
import { membersFigures, type MembersFigures } from './members-traffic.js';

const SIZES = [3, 6, 9, 18];

export async function measureMembersSlopes(): Promise<object> {
  await membersFigures(1, 3);
  const figures: MembersFigures[] = [];
  for (const size of SIZES) {
    figures.push(await membersFigures(1, size));
  }
  const fitOf = (select: (one: MembersFigures) => number) =>
    fitLine(figures.map((one) => ({ x: one.membersOfRegion, y: select(one) })));
  return {
    figures,
    bytesPerSecondByMembers: fitOf(({ bytesPerSecond }) => bytesPerSecond),
    cpuMicrosPerSecondByMembers: fitOf(({ cpuMicrosPerSecond }) => cpuMicrosPerSecond),
    threeRegionsOfSix: await membersFigures(3, 6),
  };
}
