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
  const atLeast = isZero(usage) ? 1 : 0;
  const counts = DIMENSIONS.map((dimension) => {
    const isUnlimited = limit[dimension] === 0;
    const left = limit[dimension] - usage[dimension];
    const need = demand[dimension];
    return isUnlimited || (need === 0 && left >= 0) ? wanted : left / Math.max(1, need);
  });
  return Math.max(atLeast, Math.floor(Math.min(wanted, ...counts)));
}
