import test, { type ExecutionContext } from 'ava';
import {
  Cell,
  memberIn,
  memberOf,
  REGION,
  reportOf,
  SHARD,
} from '@bamboowell/membership/members.fixture';
import { brandAs, type Epoch, type MemberId } from '@bamboowell/types/ids';
import type { Instant } from '@bamboowell/types/time';
import { ClaimPlanner } from './claim-planner.js';

const EPOCH = brandAs<Epoch>(3);

/** A cell that stops with the test; members report that they have read the epoch. */
async function cellOf(t: ExecutionContext, names: readonly string[]): Promise<Cell> {
  const cell = new Cell();
  t.teardown(() => cell.stop());
  for (const name of names) {
    const member = await cell.add(name);
    member.report = reportOf({ epochs: [{ shard: SHARD, epoch: EPOCH }] });
  }
  return cell;
}

/** The planner of a member, which has seen what the member's task has published so far. */
function plannerOf(cell: Cell, name: string): ClaimPlanner {
  const { id: member, events } = memberIn(cell, name);
  const planner = new ClaimPlanner({ self: { member, region: REGION }, shard: SHARD });
  events.forEach((event) => {
    planner.handleMembersEvent(event, cell.clock.now());
  });
  return planner;
}

// Guards against an owner that has just started again and shortens its wait for the leases of earlier owners,
// because it hasn't heard yet that there are other members.
test('an epoch is known to all only after the VM list has been read', (t) => {
  const planner = new ClaimPlanner({
    self: { member: memberOf('a'), region: REGION },
    shard: SHARD,
  });
  t.false(planner.isKnownToAll(EPOCH));
  const at = brandAs<Instant>(1000);
  const view = {
    kind: 'view' as const,
    members: [],
    suspects: new Set<MemberId>(),
    leaving: false,
    at,
  };
  planner.handleMembersEvent({ ...view, isListRead: false }, at);
  t.false(planner.isKnownToAll(EPOCH));
  planner.handleMembersEvent({ ...view, isListRead: true }, at);
  t.true(planner.isKnownToAll(EPOCH));
});

test('a member that is alone in its region knows an epoch for all once it has read the VM list', async (t) => {
  const cell = await cellOf(t, ['a']);
  await cell.advanceTime(4000);
  t.true(plannerOf(cell, 'a').isKnownToAll(EPOCH));
});

test('an epoch is known to all once every listed member has read it', async (t) => {
  const cell = await cellOf(t, ['a', 'b', 'c']);
  memberIn(cell, 'c').report = reportOf();
  await cell.advanceTime(4000);
  t.false(plannerOf(cell, 'a').isKnownToAll(EPOCH));
  memberIn(cell, 'c').report = reportOf({ epochs: [{ shard: SHARD, epoch: EPOCH }] });
  await cell.advanceTime(4000);
  t.true(plannerOf(cell, 'a').isKnownToAll(EPOCH));
});
