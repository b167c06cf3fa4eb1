import test, { type ExecutionContext } from 'ava';
import { ManualClock } from '@bamboowell/kernel/manual-clock';
import { HEARTBEAT_INTERVAL_MILLIS, SUSPECT_AFTER_MILLIS } from '@bamboowell/ownership/bounds';
import {
  brandAs,
  type DataCentreId,
  type Epoch,
  type Incarnation,
  type MemberId,
  type Offset,
  type RegionId,
  type ShardId,
  type Version,
} from '@bamboowell/types/ids';
import { deadlineAfter, type Deadline } from '@bamboowell/types/time';
import type { Address, Vm, VmState } from '@bamboowell/types/vm';
import {
  Connection,
  type CloseReason,
  type Handler,
  type WireAnswer,
} from '@bamboowell/wire/connection';
import { Dialler } from './dialler.js';
import type { Report } from './heartbeat.js';
import type { MembersCounter, MembersEvent, MemberView } from './members-messages.js';
import { MembersTask } from './members-task.js';
import { candidatesOf, expectedMembers, statementOf, votesOf } from './ownership-inputs.js';
import { FORGET_MILLIS } from './peers.js';
import { VmList, type VmListing } from './vm-list.js';

const REGION = brandAs<RegionId>('r1');
const SHARD = brandAs<ShardId>('s0');
const memberOf = (name: string) => brandAs<MemberId>(name);

/** One end of a connection within this process. `silent` ends lose what is sent. */
class MemoryConnection extends Connection {
  readonly ended: Promise<CloseReason>;
  other: MemoryConnection | undefined;
  silent = false;
  private end: (reason: CloseReason) => void = () => undefined;
  private readonly handlers = new Map<string, Handler>();

  constructor(private readonly wireBytes: number[]) {
    super();
    this.ended = new Promise((resolve) => {
      this.end = resolve;
    });
  }

  async request(method: string, params: unknown): Promise<WireAnswer> {
    const handler = this.other?.handlers.get(method);
    return handler === undefined
      ? { kind: 'failed', code: -32601, message: 'no such method' }
      : { kind: 'answered', value: await handler(params) };
  }

  notify(method: string, params: unknown): 'sent' | 'closed' {
    const body = JSON.stringify({ jsonrpc: '2.0', method, params });
    this.wireBytes.push(Buffer.byteLength(body));
    if (this.other === undefined) {
      return 'closed';
    }
    if (!this.silent) {
      const received = JSON.parse(body) as { params: unknown };
      void this.other.handlers.get(method)?.(received.params);
    }
    return 'sent';
  }

  handle(method: string, handler: Handler): void {
    this.handlers.set(method, handler);
  }

  close(): void {
    const other = this.other;
    this.other = undefined;
    this.end('closed');
    other?.close();
  }
}

/** A list that shows what it was last given. */
class FixedVmList extends VmList {
  listing: VmListing = { kind: 'listed', vms: [] };

  list(): Promise<VmListing> {
    return Promise.resolve(this.listing);
  }
}

interface Member {
  readonly id: MemberId;
  readonly task: MembersTask;
  readonly events: MembersEvent[];
  readonly counts: Map<MembersCounter, number>;
  /** What its services report as time passes; none if they hang. */
  report: Report | undefined;
}

/** Members of one region within this process, which reach each other unless they are cut off. */
class Cell {
  readonly clock = new ManualClock(1_000_000);
  readonly list = new FixedVmList();
  readonly members = new Map<MemberId, Member>();
  readonly wireBytes: number[] = [];
  readonly cut = new Set<MemberId>();
  readonly connections: { ends: readonly [MemberId, MemberId]; connection: MemoryConnection }[] =
    [];
  private readonly ports = new Map<number, MemberId>();

  async add(name: string, incarnation = `${name}-1`, extra: Partial<Vm> = {}): Promise<Member> {
    const id = memberOf(name);
    const port = 1 + this.ports.size;
    this.ports.set(port, id);
    this.show(entryVm(name, port, 'live', extra.region));
    const events: MembersEvent[] = [];
    const counts = new Map<MembersCounter, number>();
    const subscriber = {
      post: (event: MembersEvent) => {
        events.push(event);
        return 'accepted' as const;
      },
    };
    const task = new MembersTask(
      {
        member: id,
        incarnation: brandAs<Incarnation>(incarnation),
        region: extra.region ?? REGION,
        dataCentre: brandAs<DataCentreId>('d1'),
        vmList: this.list,
        dialler: this.diallerOf(id),
        random: () => 0.5,
        count: (counter) => counts.set(counter, (counts.get(counter) ?? 0) + 1),
        subscribers: [subscriber],
        handlers: new Map(),
      },
      this.clock,
    );
    const member = { id, task, events, counts, report: reportOf() };
    this.members.set(id, member);
    await task.start();
    return member;
  }

  show(vm: Vm): void {
    const vms = this.list.listing.kind === 'listed' ? this.list.listing.vms : [];
    this.list.listing = { kind: 'listed', vms: [...vms.filter((one) => !sameVm(one, vm)), vm] };
  }

  hide(id: MemberId): void {
    const vms = this.list.listing.kind === 'listed' ? this.list.listing.vms : [];
    const rest = vms.filter((vm) => vm.role !== 'entry' || vm.member !== id);
    this.list.listing = { kind: 'listed', vms: rest };
  }

  /** Lets time pass in small steps, with all messages delivered between them. */
  async pass(millis: number, step = HEARTBEAT_INTERVAL_MILLIS / 2): Promise<void> {
    for (let passed = 0; passed < millis; passed += step) {
      this.clock.advance(Math.min(step, millis - passed));
      this.reportAll();
      await settle();
    }
  }

  reportAll(): void {
    const at = this.clock.now();
    for (const { task, report } of this.members.values()) {
      if (report !== undefined) {
        task.post({ kind: 'report', report, at });
      }
    }
  }

  /** From now on nothing arrives to or from the member, on old connections and new ones. */
  cutOff(id: MemberId): void {
    this.cut.add(id);
    for (const { ends, connection } of this.connections) {
      connection.silent ||= ends.includes(id);
    }
  }

  /** The ends of silent connections notice it, as their pings do. */
  heal(): void {
    this.cut.clear();
    for (const { connection } of this.connections) {
      if (connection.silent) {
        connection.close();
      }
    }
  }

  async stop(): Promise<void> {
    await Promise.all([...this.members.values()].map(({ task }) => task.stop()));
  }

  private diallerOf(from: MemberId): Dialler {
    const open = (address: Address) => this.open(from, address);
    return new (class extends Dialler {
      dial(address: Address): Promise<Connection | undefined> {
        return Promise.resolve(open(address));
      }
    })();
  }

  private open(from: MemberId, address: Address): Connection | undefined {
    const to = this.ports.get(address.port);
    const target = to === undefined ? undefined : this.members.get(to);
    if (to === undefined || target === undefined || this.cut.has(from) || this.cut.has(to)) {
      return undefined;
    }
    const [near, far] = connectionPair(this.wireBytes);
    this.connections.push({ ends: [from, to], connection: near });
    this.connections.push({ ends: [from, to], connection: far });
    if (target.task.post({ kind: 'accepted', connection: far }) !== 'accepted') {
      return undefined;
    }
    return near;
  }
}

function connectionPair(wireBytes: number[]): [MemoryConnection, MemoryConnection] {
  const near = new MemoryConnection(wireBytes);
  const far = new MemoryConnection(wireBytes);
  near.other = far;
  far.other = near;
  return [near, far];
}

function entryVm(name: string, port: number, state: VmState, region = REGION): Vm {
  const dataCentre = brandAs<DataCentreId>('d1');
  const address = { host: '127.0.0.1', port };
  return { role: 'entry', member: memberOf(name), region, dataCentre, address, state };
}

function sameVm(left: Vm, right: Vm): boolean {
  return left.role === 'entry' && right.role === 'entry' && left.member === right.member;
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 8; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

async function cellOf(t: ExecutionContext, names: readonly string[]): Promise<Cell> {
  const cell = new Cell();
  t.teardown(() => cell.stop());
  for (const name of names) {
    await cell.add(name);
  }
  await cell.pass(6000);
  return cell;
}

function memberIn(cell: Cell, name: string): Member {
  const member = cell.members.get(memberOf(name));
  if (member === undefined) {
    throw new Error(`no member ${name}`);
  }
  return member;
}

function lastView(member: Member): Extract<MembersEvent, { kind: 'view' }> {
  const view = member.events.findLast((event) => event.kind === 'view');
  if (view === undefined) {
    throw new Error('no view');
  }
  return view;
}

function viewOn(member: Member, name: string): MemberView | undefined {
  return lastView(member).members.find((one) => one.member === memberOf(name));
}

function reportOf(changes: Partial<Report> = {}): Report {
  return {
    logAnswers: true,
    version: brandAs<Version>(3),
    cellUpTo: brandAs<Offset>(7),
    unresolvedClaims: [],
    epochs: [{ shard: SHARD, epoch: brandAs<Epoch>(2) }],
    owned: [],
    ...changes,
  };
}

test('members connect, one connection a pair, and hear each other with an echo', async (t) => {
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
  await cell.pass(2000);
  const reportAt = cell.clock.now();
  b.report = undefined;
  await cell.pass(2000);
  const heard = a.events.findLast((event) => event.kind === 'heard');
  const statement = heard?.kind === 'heard' ? statementOf(heard.view) : undefined;
  t.like(statement, { logAnswers: false, left: false });
  t.is(statement?.epochs.get(SHARD), brandAs<Epoch>(2));
  t.true(statement !== undefined && statement.at <= reportAt);
  await cell.pass(5000);
  const later = a.events.findLast((event) => event.kind === 'heard');
  t.is(later?.kind === 'heard' ? later.view.heard?.madeAfter : undefined, statement?.at);
});

test('a member that falls silent is suspected by all, and cleared after the cut', async (t) => {
  const cell = await cellOf(t, ['a', 'b', 'c']);
  const [a, c] = [memberIn(cell, 'a'), memberIn(cell, 'c')];
  cell.cutOff(c.id);
  await cell.pass(SUSPECT_AFTER_MILLIS + 2 * HEARTBEAT_INTERVAL_MILLIS);
  t.deepEqual([...lastView(a).suspects], [c.id]);
  t.deepEqual(
    [...(votesOf(lastView(a), { member: a.id, region: REGION }).get(memberOf('b')) ?? [])],
    [c.id],
  );
  t.is(lastView(c).suspects.size, 2);
  await cell.pass(60 * 60_000, HEARTBEAT_INTERVAL_MILLIS);
  cell.heal();
  await cell.pass(20_000);
  t.is(lastView(a).suspects.size, 0);
  t.true(viewOn(c, 'a')?.connected);
});

test('a paused process tells its subscribers and suspects nobody for it', async (t) => {
  const cell = await cellOf(t, ['a', 'b']);
  cell.clock.advance(60_000);
  const a = memberIn(cell, 'a');
  t.true(a.events.every(({ kind }) => kind !== 'paused'));
  await cell.pass(1000);
  t.is(lastView(a).suspects.size, 0);
  t.true(a.events.some(({ kind }) => kind === 'paused'));
});

test('a member that the log does not answer is suspected by those whom it answers', async (t) => {
  const cell = await cellOf(t, ['a', 'b', 'c']);
  const [a, b] = [memberIn(cell, 'a'), memberIn(cell, 'b')];
  b.report = reportOf({ logAnswers: false });
  await cell.pass(SUSPECT_AFTER_MILLIS + 2 * HEARTBEAT_INTERVAL_MILLIS);
  t.deepEqual([...lastView(a).suspects], [b.id]);
  for (const member of cell.members.values()) {
    member.report = reportOf({ logAnswers: false });
  }
  await cell.pass(3 * HEARTBEAT_INTERVAL_MILLIS);
  t.is(lastView(a).suspects.size, 0);
});

test('a lagging list neither hides a live member nor revives a lost one', async (t) => {
  const cell = await cellOf(t, ['a', 'b', 'c']);
  const [a, c] = [memberIn(cell, 'a'), memberIn(cell, 'c')];
  const self = { member: a.id, region: REGION };
  cell.hide(c.id);
  await cell.pass(FORGET_MILLIS + 5000, HEARTBEAT_INTERVAL_MILLIS);
  t.like(viewOn(a, 'c'), { listed: undefined, connected: true, suspected: false });
  t.true(expectedMembers(lastView(a), self).region.includes(c.id));
  cell.cutOff(c.id);
  await c.task.stop();
  await cell.pass(5000);
  t.true(candidatesOf(lastView(a), self).every(({ member, live }) => member !== c.id || !live));
  await cell.pass(FORGET_MILLIS + 5000, HEARTBEAT_INTERVAL_MILLIS);
  t.is(viewOn(a, 'c'), undefined);
});

test('a member that is listed long after it is gone still counts as expected, never as live', async (t) => {
  const cell = await cellOf(t, ['a', 'b']);
  cell.show(entryVm('gone', 99, 'live'));
  await cell.pass(20_000);
  const a = memberIn(cell, 'a');
  const self = { member: a.id, region: REGION };
  t.true(expectedMembers(lastView(a), self).region.includes(memberOf('gone')));
  t.like(
    candidatesOf(lastView(a), self).find(({ member }) => member === memberOf('gone')),
    { live: false },
  );
  t.true((a.counts.get('dials_failed') ?? 0) >= 2);
});

test('a member that others hear is expected before the list shows it', async (t) => {
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

test('a leaving member is passed over, by its own word or by the list', async (t) => {
  const cell = await cellOf(t, ['a', 'b', 'c']);
  const [a, b] = [memberIn(cell, 'a'), memberIn(cell, 'b')];
  const self = { member: a.id, region: REGION };
  b.task.post({ kind: 'leave' });
  cell.show(entryVm('c', 3, 'leaving'));
  await cell.pass(3000);
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
  await cell.add('b', 'b-2');
  await cell.pass(20_000);
  const seen = viewOn(memberIn(cell, 'a'), 'b');
  t.like(seen, { connected: true, suspected: false });
  t.is(seen?.heard?.heartbeat.incarnation, brandAs<Incarnation>('b-2'));
});

test('junk is counted and dropped, and so is a heartbeat under another name', async (t) => {
  const cell = await cellOf(t, ['a', 'b']);
  const a = memberIn(cell, 'a');
  const toA = cell.connections.find(({ connection }) => connection.other !== undefined);
  const heartbeat = viewOn(memberIn(cell, 'a'), 'b')?.heard?.heartbeat;
  const junk: unknown[] = [null, 7, {}, [], { ...heartbeat, sequence: -1 }];
  for (const params of [...junk, { ...heartbeat, member: 'stranger' }]) {
    toA?.connection.other?.notify('heartbeat', params);
    toA?.connection.notify('heartbeat', params);
  }
  await settle();
  t.is(a.counts.get('heartbeats_malformed'), 6);
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
  await cell.pass(10_000);
  const a = memberIn(cell, 'a');
  t.like(viewOn(a, 'b'), { connected: true, suspected: false });
  t.true((a.counts.get('list_unavailable') ?? 0) >= 3);
});
