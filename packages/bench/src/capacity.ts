/** Slopes of processor time, heap and bytes, from which docs/CAPACITY.md is worked out. */

import { measureCellSlopes } from './cell-slopes.js';
import { measureLogSlopes } from './log-slopes.js';
import { measureMembersSlopes } from './members-slopes.js';
import { measureOwnerSlopes } from './owner-slopes.js';
import { measureVmListSlopes } from './vm-list-slopes.js';

export async function measureCapacity(): Promise<object> {
  return {
    owner: measureOwnerSlopes(),
    log: measureLogSlopes(),
    cell: measureCellSlopes(),
    members: await measureMembersSlopes(),
    vmList: await measureVmListSlopes(),
  };
}
