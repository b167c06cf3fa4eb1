/** How much more of its limit a team may use. */

import { add, fits, isZero, type Resources } from '@bamboowell/types/resources';

/**
 * How many of the tasks may start within the limit. A task that exceeds the limit by itself may start if
 * the team runs nothing else.
 *
 * @param usage what the team's runs take.
 * @param demand of one task.
 */
export function startableWithinLimit(
  usage: Resources,
  limit: Resources,
  demand: Resources,
  wanted: number,
): number {
  const bounds = unlimitedWhereZero(limit);
  let used = add(usage, demand);
  let startable = isZero(usage) ? 1 : 0;
  for (let count = 1; count <= wanted && fits(used, bounds); count += 1) {
    startable = count;
    used = add(used, demand);
  }
  return startable;
}

/** A limit of zero means no limit. */
function unlimitedWhereZero(limit: Resources): Resources {
  const orUnlimited = (amount: number): number => (amount === 0 ? Number.MAX_SAFE_INTEGER : amount);
  return {
    millicores: orUnlimited(limit.millicores),
    memoryMib: orUnlimited(limit.memoryMib),
    accelerators: orUnlimited(limit.accelerators),
    slots: orUnlimited(limit.slots),
  };
}
