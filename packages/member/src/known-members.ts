/**
 * The members that this one has heard of and where they accept connections. A new owner tells those
 * that don't come by themselves, because they can't read its claim in the store; members of one region
 * find each other here.
 */

import type { MemberId } from '@bamboowell/types/ids';
import type { Address } from '@bamboowell/types/vm';

export interface KnownMember {
  readonly member: MemberId;
  readonly address: Address;
  /** Number of consecutive ports, from the address on, at which it accepts connections. */
  readonly ports: number;
  /** Its region, and the bandwidth of its machine's link; absent from earlier builds. */
  readonly region?: string;
  readonly linkMbps?: number;
}

/** A member is forgotten after this many dials in a row that failed: its machine is gone for good. */
const MAX_FAILED_DIALS = 20;

export class KnownMembers {
  private readonly byId = new Map<MemberId, KnownMember>();
  /** In the order in which they were added or changed, with earlier versions of the same member. */
  private readonly added: KnownMember[] = [];
  private readonly failedDials = new Map<MemberId, number>();

  constructor(private readonly self: MemberId) {}

  /** Number of additions so far; `since` returns the later ones. */
  get additions(): number {
    return this.added.length;
  }

  add(known: KnownMember): void {
    const earlier = this.byId.get(known.member);
    this.failedDials.delete(known.member);
    if (earlier === undefined || !isSame(earlier, known)) {
      this.byId.set(known.member, known);
      this.added.push(known);
    }
  }

  since(additions: number): readonly KnownMember[] {
    return this.added.slice(additions);
  }

  /** The other members of a region. */
  inRegion(region: string): KnownMember[] {
    return [...this.byId.values()].filter(
      (known) => known.region === region && known.member !== this.self,
    );
  }

  /** Up to `count` of the other members that are not connected; the next call returns the next ones. */
  nextUnconnected(connected: ReadonlySet<MemberId>, count: number): KnownMember[] {
    const next = [...this.byId.values()]
      .filter(({ member }) => member !== this.self && !connected.has(member))
      .slice(0, count);
    next.forEach((known) => {
      this.byId.delete(known.member);
      this.byId.set(known.member, known);
    });
    return next;
  }

  dialled({ member }: KnownMember, isConnected: boolean): void {
    const failed = isConnected ? 0 : (this.failedDials.get(member) ?? 0) + 1;
    this.failedDials.set(member, failed);
    if (failed >= MAX_FAILED_DIALS) {
      this.byId.delete(member);
    }
  }
}

function isSame(left: KnownMember, right: KnownMember): boolean {
  return (
    left.address.host === right.address.host &&
    left.address.port === right.address.port &&
    left.ports === right.ports &&
    left.region === right.region &&
    left.linkMbps === right.linkMbps
  );
}
