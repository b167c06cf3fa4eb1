import test, { type ExecutionContext } from 'ava';
import { ConfigurationFreshness } from '@bamboowell/ownership/configuration-freshness';
import { OwnershipFreshness } from '@bamboowell/ownership/ownership-freshness';
import { brandAs, type Epoch, type Offset, type RegionId } from '@bamboowell/types/ids';
import { Cell, lastView, reportOf, REGION, SHARD, type Member } from './members.fixture.js';
import { configurationStatementOf, expectedMembers, statementOf } from './ownership-inputs.js';

const OTHER_REGION = brandAs<RegionId>('r2');
const STEP_MILLIS = 250;
const OUTAGE_STEPS = (5 * 60_000) / STEP_MILLIS;

/** Two regions of three, in which every member reports that the log does not answer. */
async function cellInOutage(t: ExecutionContext): Promise<Cell> {
  const cell = new Cell();
  t.teardown(() => cell.stop());
  for (const name of ['a', 'b', 'c', 'd', 'e', 'f']) {
    const member = await cell.add(name, { region: name < 'd' ? REGION : OTHER_REGION });
    member.report = reportOf({ logAnswers: false });
  }
  await cell.advanceTime(10_000);
  return cell;
}

/** The decisions of one member, which owns the shard and last read the log before the outage. */
function decisionsOf(cell: Cell, member: Member) {
  const epoch = brandAs<Epoch>(2);
  const now = cell.clock.now();
  const owner = new OwnershipFreshness(member.id, SHARD);
  const configuration = new ConfigurationFreshness(member.id);
  owner.recordRead(now, { epoch, owner: member.id }, { epoch, afterRelease: true }, now);
  configuration.recordRead(now, brandAs<Offset>(7));
  owner.recordLogFailure();
  configuration.recordLogFailure();
  return { owner, configuration };
}

/** Feeds what the member's task has published since the last call into the decisions. */
function feed(cell: Cell, member: Member, decisions: ReturnType<typeof decisionsOf>): void {
  const expected = expectedMembers(lastView(member), { member: member.id, region: REGION });
  decisions.owner.setExpectedMembers(expected.region);
  decisions.configuration.setExpectedMembers(expected.cell);
  for (const event of member.events.splice(0)) {
    if (event.kind === 'heard') {
      const statement = statementOf(event.view);
      const configurationStatement = configurationStatementOf(event.view);
      if (statement !== undefined) {
        decisions.owner.recordStatement(statement, event.at);
      }
      if (configurationStatement !== undefined) {
        decisions.configuration.recordStatement(configurationStatement);
      }
    } else if (event.kind === 'view') {
      member.events.push(event);
    }
  }
}

test('during an outage of the log that all members see, heartbeats keep owner and configuration fresh', async (t) => {
  const cell = await cellInOutage(t);
  const [member] = [...cell.members.values()] as [Member];
  const decisions = decisionsOf(cell, member);
  for (let step = 0; step < OUTAGE_STEPS; step += 1) {
    await cell.advanceTime(STEP_MILLIS, STEP_MILLIS);
    feed(cell, member, decisions);
    const now = cell.clock.now();
    t.is(decisions.owner.status(now).kind, 'fresh');
    t.is(decisions.configuration.status(now).kind, 'fresh');
  }
});

test('an isolated member of another region ends the freshness of the configuration, but not of the owner', async (t) => {
  const cell = await cellInOutage(t);
  const [member, , , remote] = [...cell.members.values()] as [Member, Member, Member, Member];
  const decisions = decisionsOf(cell, member);
  cell.isolate(remote.id);
  for (let step = 0; step < 40; step += 1) {
    await cell.advanceTime(STEP_MILLIS, STEP_MILLIS);
    feed(cell, member, decisions);
  }
  const now = cell.clock.now();
  t.is(decisions.owner.status(now).kind, 'fresh');
  t.like(decisions.configuration.status(now), { why: 'member_silent', members: [remote.id] });
});
