/** How much more of its limit a team may use. */

import { DIMENSIONS, isZero, type Resources } from '@bamboowell/types/resources';

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
  let startable = wanted;
  for (const dimension of DIMENSIONS) {
    const left = limit[dimension] - usage[dimension];
    const need = demand[dimension];
    const isUnlimited = limit[dimension] === 0 || (need === 0 && left >= 0);
    startable = isUnlimited ? startable : Math.min(startable, Math.floor(left / Math.max(1, need)));
  }
  return Math.max(isZero(usage) ? 1 : 0, startable);
}
