/** Measures how CPU time, heap and bytes grow with size, as the basis of docs/CAPACITY.md. */

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
