/** Slopes of processor time, heap and bytes, from which docs/CAPACITY.md is worked out. */

import { measureOwnerSlopes } from './owner-slopes.js';

export async function measureCapacity(): Promise<object> {
  return Promise.resolve({ owner: measureOwnerSlopes() });
}
