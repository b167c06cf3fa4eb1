/**
 * Members of a cell within one process, for tests, with a manual clock, a VM list that the test
 * sets and in-memory connections.
 */

import type { ExecutionContext } from 'ava';
import { ManualClock } from '@bamboowell/kernel/manual-clock';
import { HEARTBEAT_INTERVAL_MILLIS } from '@bamboowell/ownership/bounds';
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
import type { Address, Vm, VmState } from '@bamboowell/types/vm';
import type { Connection } from '@bamboowell/wire/connection';
import { connectEnds, MemoryConnection } from '@bamboowell/wire/memory-connection';
import { Dialler } from './dialler.js';
import type { Report } from './heartbeat.js';
import type { MembersCounter, MembersEvent, MemberView } from './members-messages.js';
import { MembersTask } from './members-task.js';
import { VmList, type VmListing } from './vm-list.js';

export const REGION = brandAs<RegionId>('r1');
export const SHARD = brandAs<ShardId>('s0');
export const memberOf = (name: string) => brandAs<MemberId>(name);

/** A VM list that returns the last `listing` that was set. */
export class FixedVmList extends VmList {
  listing: VmListing = { kind: 'listed', vms: [] };

  list(): Promise<VmListing> {
    return Promise.resolve(this.listing);
  }
}

export interface Member {
  readonly id: MemberId;
  readonly task: MembersTask;
  readonly events: MembersEvent[];
  readonly counts: Map<MembersCounter, number>;
  /** What its services report as time passes; undefined if they hang. */
  report: Report | undefined;
}

interface MemberChanges {
  readonly incarnation?: string;
  readonly region?: RegionId;
}

/** Members within this process, which can reach each other unless they are isolated. */
export class Cell {
  readonly clock = new ManualClock(1_000_000);
  readonly list = new FixedVmList();
  readonly members = new Map<MemberId, Member>();
  readonly wireBytes: number[] = [];
  readonly isolated = new Set<MemberId>();
  readonly connections: { ends: readonly [MemberId, MemberId]; connection: MemoryConnection }[] =
    [];
  private readonly ports = new Map<number, MemberId>();

  async add(name: string, changes: MemberChanges = {}): Promise<Member> {
    const { incarnation = `${name}-1`, region = REGION } = changes;
    const id = memberOf(name);
    const port = 1 + this.ports.size;
    this.ports.set(port, id);
    this.show(entryVm(name, port, 'live', region));
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
        region,
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

  /** Adds the VM to the list, or replaces its entry. */
  show(vm: Vm): void {
    const vms = this.list.listing.kind === 'listed' ? this.list.listing.vms : [];
    this.list.listing = { kind: 'listed', vms: [...vms.filter((one) => !sameVm(one, vm)), vm] };
  }

  /** Removes the member from the VM list. */
  hide(id: MemberId): void {
    const vms = this.list.listing.kind === 'listed' ? this.list.listing.vms : [];
    const rest = vms.filter((vm) => vm.role !== 'entry' || vm.member !== id);
    this.list.listing = { kind: 'listed', vms: rest };
  }

  /** Advances the clock in small steps and delivers all messages in between. */
  async advanceTime(millis: number, step = HEARTBEAT_INTERVAL_MILLIS / 2): Promise<void> {
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

  /** Drops everything to and from the member from now on, on existing and on new connections. */
  isolate(id: MemberId): void {
    this.isolated.add(id);
    for (const { ends, connection } of this.connections) {
      connection.silent ||= ends.includes(id);
    }
  }

  /** Ends the isolation. Closes the silent connections, as missing pings would over TCP. */
  heal(): void {
    this.isolated.clear();
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
    if (
      to === undefined ||
      target === undefined ||
      this.isolated.has(from) ||
      this.isolated.has(to)
    ) {
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

export function connectionPair(wireBytes: number[]): [MemoryConnection, MemoryConnection] {
  const count = (bytes: number): void => {
    wireBytes.push(bytes);
  };
  const near = new MemoryConnection(count);
  const far = new MemoryConnection(count);
  connectEnds(near, far);
  return [near, far];
}

export function entryVm(name: string, port: number, state: VmState, region = REGION): Vm {
  const dataCentre = brandAs<DataCentreId>('d1');
  const address = { host: '127.0.0.1', port };
  return { role: 'entry', member: memberOf(name), region, dataCentre, address, state };
}

function sameVm(left: Vm, right: Vm): boolean {
  return left.role === 'entry' && right.role === 'entry' && left.member === right.member;
}

export async function settle(): Promise<void> {
  for (let turn = 0; turn < 8; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

export async function cellOf(t: ExecutionContext, names: readonly string[]): Promise<Cell> {
  const cell = new Cell();
  t.teardown(() => cell.stop());
  for (const name of names) {
    await cell.add(name);
  }
  await cell.advanceTime(6000);
  return cell;
}

export function memberIn(cell: Cell, name: string): Member {
  const member = cell.members.get(memberOf(name));
  if (member === undefined) {
    throw new Error(`no member ${name}`);
  }
  return member;
}

export function lastView(member: Member): Extract<MembersEvent, { kind: 'view' }> {
  const view = member.events.findLast((event) => event.kind === 'view');
  if (view === undefined) {
    throw new Error('no view');
  }
  return view;
}

export function viewOn(member: Member, name: string): MemberView | undefined {
  return lastView(member).members.find((one) => one.member === memberOf(name));
}

export function reportOf(changes: Partial<Report> = {}): Report {
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
