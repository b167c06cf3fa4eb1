/**
 * The orders to one worker that wait to be sent, and how many may be under way at a time. Each order under way
 * takes a connection, and new ones are priced: so there are only as many as deliver what waits soon enough at the
 * link's round trip.
 */

import type { Branded } from '@bamboowell/types/ids';

/** Orders that may be under way at a time however few wait. */
export const MIN_ORDERS_UNDER_WAY = 2;
/** Most orders that may be under way at a time: a worker bears 64 connections, of several owners in turn. */
export const MAX_ORDERS_UNDER_WAY = 16;
/** Most orders that may be under way to all workers: each takes a descriptor, of which a process has some 4,000. */
const MAX_ORDERS_TO_ALL = 1500;
/** What waits is to be delivered within this, milliseconds. */
const DELIVERY_MILLIS = 500;
/** Lower bound of the estimated round trip, milliseconds: worker and owner take time for an order, too. */
const MIN_ROUND_TRIP_MILLIS = 1;
/**
 * The shortest round trip is that of this many answers at least, and of twice as many at most: longer ones show
 * how busy the owner is, and more connections would not help it.
 */
const ROUND_TRIP_SAMPLES = 16;

export type OrderKind = 'start' | 'stop';

/** How many orders may be under way to each of so many workers. */
export function maxOrdersUnderWay(workers: number): number {
  const share = Math.floor(MAX_ORDERS_TO_ALL / Math.max(1, workers));
  return Math.min(MAX_ORDERS_UNDER_WAY, Math.max(MIN_ORDERS_UNDER_WAY, share));
}

/** Names an order within its link. */
export type OrderKey = Branded<string, 'OrderKey'>;

export class OrderQueue {
  private readonly stops = new Set<OrderKey>();
  private readonly starts = new Set<OrderKey>();
  private underWayCount = 0;
  /** How many orders may be under way now. */
  private window = MIN_ORDERS_UNDER_WAY;
  private readonly roundTrip = new ShortestRoundTrip();

  /** @param maxUnderWay returns how many orders may be under way at a time. */
  constructor(private readonly maxUnderWay: () => number) {}

  get waitingCount(): number {
    return this.stops.size + this.starts.size;
  }

  get underWay(): number {
    return this.underWayCount;
  }

  /** How many orders the link delivers within so many milliseconds, with as many under way as may be. */
  deliverableWithin(millis: number): number {
    return Math.floor((this.maxUnderWay() * millis) / this.roundTrip.millis);
  }

  /** The starts that wait, the one that has waited longest first. */
  get waitingStarts(): readonly OrderKey[] {
    return [...this.starts];
  }

  add(kind: OrderKind, key: OrderKey): void {
    (kind === 'stop' ? this.stops : this.starts).add(key);
  }

  /** Returns whether the order was waiting. */
  remove(key: OrderKey): boolean {
    return this.stops.delete(key) || this.starts.delete(key);
  }

  /** Takes the order that is to be sent now, stops first; undefined if none waits or too many are under way. */
  take(): OrderKey | undefined {
    this.adaptWindow();
    if (this.underWayCount >= this.window) {
      return undefined;
    }
    const [key] = this.stops.size > 0 ? this.stops : this.starts;
    if (key !== undefined) {
      this.remove(key);
      this.underWayCount += 1;
    }
    return key;
  }

  /** An order that was taken has been answered or given up, or was not sent after all. */
  release(): void {
    this.underWayCount -= 1;
  }

  recordRoundTrip(millis: number): void {
    this.roundTrip.record(millis);
  }

  /** The window grows with what waits, and shrinks only once all is delivered: its connections are open already. */
  private adaptWindow(): void {
    const outstanding = this.waitingCount + this.underWayCount;
    const needed = Math.ceil((outstanding * this.roundTrip.millis) / DELIVERY_MILLIS);
    const least = outstanding === 0 ? MIN_ORDERS_UNDER_WAY : this.window;
    this.window = Math.min(this.maxUnderWay(), Math.max(least, needed));
  }
}

/** The shortest of the latest round trips. */
class ShortestRoundTrip {
  private earlier = Number.POSITIVE_INFINITY;
  private current = Number.POSITIVE_INFINITY;
  private samples = 0;

  get millis(): number {
    const shortest = Math.min(this.earlier, this.current);
    return Number.isFinite(shortest)
      ? Math.max(MIN_ROUND_TRIP_MILLIS, shortest)
      : MIN_ROUND_TRIP_MILLIS;
  }

  record(millis: number): void {
    if (this.samples === ROUND_TRIP_SAMPLES) {
      this.earlier = this.current;
      this.current = Number.POSITIVE_INFINITY;
      this.samples = 0;
    }
    this.current = Math.min(this.current, millis);
    this.samples += 1;
  }
}
