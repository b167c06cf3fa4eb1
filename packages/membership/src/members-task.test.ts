import test from 'ava';
import { HEARTBEAT_INTERVAL_MILLIS, SUSPECT_AFTER_MILLIS } from '@bamboowell/ownership/bounds';
import { brandAs, type Epoch, type Incarnation } from '@bamboowell/types/ids';
import { deadlineAfter, type Deadline } from '@bamboowell/types/time';
import type { Handler, WireAnswer } from '@bamboowell/wire/connection';
import {
  cellOf,
  connectionPair,
  entryVm,
  lastView,
  memberIn,
  memberOf,
  REGION,
  reportOf,
  settle,
  SHARD,
  viewOn,
} from './members.fixture.js';
import type { BeatParams } from './heartbeat-schema.js';
import { candidatesOf, expectedMembers, statementOf, votesOf } from './ownership-inputs.js';
import { PEER_EXPIRY_MILLIS } from './peers.js';

test("members connect, with one connection per pair, and echo each other's heartbeats", async (t) => {
  const cell = await cellOf(t, ['a', 'b', 'c']);
  for (const member of cell.members.values()) {
    const view = lastView(member);
    t.is(view.members.filter(({ connected }) => connected).length, 2);
    t.is(view.suspects.size, 0);
    const heard = member.events.findLast((event) => event.kind === 'heard');
    t.truthy(heard?.kind === 'heard' && statementOf(heard.view));
  }
  const open = cell.connections.filter(({ connection }) => connection.other !== undefined);
  t.is(open.length, 2 * 3);
});

test('a statement is as old as its report, however often it is sent', async (t) => {
  const cell = await cellOf(t, ['a', 'b']);
  const a = memberIn(cell, 'a');
  const b = memberIn(cell, 'b');
  b.report = reportOf({ logAnswers: false });
  await cell.advanceTime(2000);
  const reportAt = cell.clock.now();
  b.report = undefined;
  await cell.advanceTime(2000);
  const heard = a.events.findLast((event) => event.kind === 'heard');
  const statement = heard?.kind === 'heard' ? statementOf(heard.view) : undefined;
  t.like(statement, { logAnswers: false, left: false });
  t.is(statement?.epochs.get(SHARD), brandAs<Epoch>(2));
  t.true(statement !== undefined && statement.madeAfter <= reportAt);
  await cell.advanceTime(5000);
  const later = a.events.findLast((event) => event.kind === 'heard');
  t.is(later?.kind === 'heard' ? later.view.heard?.madeAfter : undefined, statement?.madeAfter);
});

test('an isolated member is suspected by all, and no longer once the isolation ends', async (t) => {
  const cell = await cellOf(t, ['a', 'b', 'c']);
  const [a, c] = [memberIn(cell, 'a'), memberIn(cell, 'c')];
  cell.isolate(c.id);
  await cell.advanceTime(SUSPECT_AFTER_MILLIS + 2 * HEARTBEAT_INTERVAL_MILLIS);
  t.deepEqual([...lastView(a).suspects], [c.id]);
  t.deepEqual(
    [...(votesOf(lastView(a), { member: a.id, region: REGION }).get(memberOf('b')) ?? [])],
    [c.id],
  );
  t.is(lastView(c).suspects.size, 2);
  await cell.advanceTime(60 * 60_000, HEARTBEAT_INTERVAL_MILLIS);
  cell.heal();
  await cell.advanceTime(20_000);
  t.is(lastView(a).suspects.size, 0);
  t.true(viewOn(c, 'a')?.connected);
});

test('a process that was paused tells its subscribers and does not suspect others because of it', async (t) => {
  const cell = await cellOf(t, ['a', 'b']);
  cell.clock.advance(60_000);
  const a = memberIn(cell, 'a');
  t.true(a.events.every(({ kind }) => kind !== 'paused'));
  await cell.advanceTime(1000);
  t.is(lastView(a).suspects.size, 0);
  t.true(a.events.some(({ kind }) => kind === 'paused'));
});

test('a member that the log does not answer is suspected by those that the log answers', async (t) => {
  const cell = await cellOf(t, ['a', 'b', 'c']);
  const [a, b] = [memberIn(cell, 'a'), memberIn(cell, 'b')];
  b.report = reportOf({ logAnswers: false });
  await cell.advanceTime(SUSPECT_AFTER_MILLIS + 2 * HEARTBEAT_INTERVAL_MILLIS);
  t.deepEqual([...lastView(a).suspects], [b.id]);
  for (const member of cell.members.values()) {
    member.report = reportOf({ logAnswers: false });
  }
  await cell.advanceTime(3 * HEARTBEAT_INTERVAL_MILLIS);
  t.is(lastView(a).suspects.size, 0);
});

test('a lagging list neither hides a live member nor revives a lost one', async (t) => {
  const cell = await cellOf(t, ['a', 'b', 'c']);
  const [a, c] = [memberIn(cell, 'a'), memberIn(cell, 'c')];
  const self = { member: a.id, region: REGION };
  cell.hide(c.id);
  await cell.advanceTime(PEER_EXPIRY_MILLIS + 5000, HEARTBEAT_INTERVAL_MILLIS);
  t.like(viewOn(a, 'c'), { listed: undefined, connected: true, suspected: false });
  t.true(expectedMembers(lastView(a), self).region.includes(c.id));
  cell.isolate(c.id);
  await c.task.stop();
  await cell.advanceTime(5000);
  t.true(candidatesOf(lastView(a), self).every(({ member, live }) => member !== c.id || !live));
  await cell.advanceTime(PEER_EXPIRY_MILLIS + 5000, HEARTBEAT_INTERVAL_MILLIS);
  t.is(viewOn(a, 'c'), undefined);
});

test('a member that is listed long after it is gone still counts as expected, never as live', async (t) => {
  const cell = await cellOf(t, ['a', 'b']);
  cell.show(entryVm('gone', 99, 'live'));
  await cell.advanceTime(20_000);
  const a = memberIn(cell, 'a');
  const self = { member: a.id, region: REGION };
  t.true(expectedMembers(lastView(a), self).region.includes(memberOf('gone')));
  t.like(
    candidatesOf(lastView(a), self).find(({ member }) => member === memberOf('gone')),
    { live: false },
  );
  t.true((a.counts.get('dials_failed') ?? 0) >= 2);
});

test('a member from which others receive heartbeats is expected before the list shows it', async (t) => {
  const cell = await cellOf(t, ['a', 'b']);
  const a = memberIn(cell, 'a');
  const view = lastView(a);
  const members = view.members.map((one) => ({
    ...one,
    heard: one.heard && {
      ...one.heard,
      heartbeat: { ...one.heard.heartbeat, hears: [memberOf('new')] },
    },
  }));
  const expected = expectedMembers({ ...view, members }, { member: a.id, region: REGION });
  t.deepEqual(expected.region, [memberOf('b'), memberOf('new')]);
});

test('a member counts as leaving if it says so itself or if the list says so', async (t) => {
  const cell = await cellOf(t, ['a', 'b', 'c']);
  const [a, b] = [memberIn(cell, 'a'), memberIn(cell, 'b')];
  const self = { member: a.id, region: REGION };
  b.task.post({ kind: 'leave' });
  cell.show(entryVm('c', 3, 'leaving'));
  await cell.advanceTime(3000);
  const leaving = candidatesOf(lastView(a), self).filter((one) => one.leaving);
  t.deepEqual(leaving.map(({ member }) => member).sort(), [b.id, memberOf('c')]);
  t.true(lastView(memberIn(cell, 'c')).leaving);
  b.task.post({ kind: 'left' });
  await settle();
  t.is(viewOn(a, 'b')?.heard?.heartbeat.phase, 'left');
});

test('a restarted member is seen as a new incarnation on a new connection', async (t) => {
  const cell = await cellOf(t, ['a', 'b']);
  await memberIn(cell, 'b').task.stop();
  cell.members.delete(memberOf('b'));
  cell.hide(memberOf('b'));
  await cell.add('b', { incarnation: 'b-2' });
  await cell.advanceTime(20_000);
  const seen = viewOn(memberIn(cell, 'a'), 'b');
  t.like(seen, { connected: true, suspected: false });
  t.is(seen?.heard?.heartbeat.incarnation, brandAs<Incarnation>('b-2'));
});

test('malformed heartbeats and those under another name are counted and dropped', async (t) => {
  const cell = await cellOf(t, ['a', 'b']);
  const a = memberIn(cell, 'a');
  const toA = cell.connections.find(({ connection }) => connection.other !== undefined);
  const fromB = toA?.connection.other?.lastSent.get('heartbeat') as BeatParams;
  const { beat, details: number } = fromB;
  const junk: unknown[] = [
    ...[null, 7, {}, []],
    { beat: { ...beat, sequence: -1 }, details: number },
    { beat: { ...beat, member: 'stranger' }, details: number },
    { beat, details: number + 1 },
  ];
  for (const params of junk) {
    toA?.connection.other?.notify('heartbeat', params);
    toA?.connection.notify('heartbeat', params);
  }
  toA?.connection.other?.notify('details', { number: 3 });
  toA?.connection.notify('details', { number: 3 });
  await settle();
  t.is(a.counts.get('heartbeats_malformed'), 8);
  t.is(viewOn(a, 'stranger'), undefined);
  t.true(viewOn(a, 'b')?.connected);
});

test('requests reach the handler of the named member, and are not sent to an unknown one', async (t) => {
  const cell = await cellOf(t, ['a', 'b']);
  const a = memberIn(cell, 'a');
  const deadline: Deadline = deadlineAfter(cell.clock.now(), 1000);
  const handler: Handler = (params) => ({ got: params });
  memberIn(cell, 'b').task.post({ kind: 'serve', method: 'echo', handler });
  await settle();
  const call = (name: string) =>
    new Promise<WireAnswer>((reply) => {
      const request = { method: 'echo', params: 1, deadline, reply };
      a.task.post({ kind: 'request', member: memberOf(name), ...request });
    });
  t.deepEqual(await call('b'), { kind: 'answered', value: { got: 1 } });
  t.deepEqual(await call('nobody'), { kind: 'not_sent' });
});

test('an outage of the list changes nothing but a counter', async (t) => {
  const cell = await cellOf(t, ['a', 'b']);
  cell.list.listing = { kind: 'unavailable', detail: 'status 503' };
  await cell.advanceTime(10_000);
  const a = memberIn(cell, 'a');
  t.like(viewOn(a, 'b'), { connected: true, suspected: false });
  t.true((a.counts.get('list_unavailable') ?? 0) >= 3);
});

test('a connection accepts only heartbeats of the member in its certificate', async (t) => {
  const cell = await cellOf(t, ['a', 'b']);
  const a = memberIn(cell, 'a');
  const sent = cell.connections.find(({ connection }) => connection.other !== undefined)?.connection
    .other?.lastSent;
  const connectAs = async (certified: string): Promise<void> => {
    const [near, far] = connectionPair([]);
    a.task.post({ kind: 'accepted', connection: far, certified: memberOf(certified) });
    await settle();
    near.notify('details', sent?.get('details'));
    near.notify('heartbeat', sent?.get('heartbeat'));
    await settle();
  };
  await connectAs('c');
  t.is(a.counts.get('heartbeats_malformed'), 1);
  t.is(a.counts.get('connections_replaced') ?? 0, 0);
  await connectAs('b');
  t.is(a.counts.get('heartbeats_malformed'), 1);
  t.is(a.counts.get('connections_replaced'), 1);
});
