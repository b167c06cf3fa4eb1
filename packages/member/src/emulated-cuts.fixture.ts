/** Cuts of the network between members, workers and the store; each direction of a path on its own. */

import type { Clock } from '@bamboowell/kernel/clock';
import type { MemberId, WorkerId } from '@bamboowell/types/ids';

/** What a path leads from or to. */
export type NetworkEnd = MemberId | WorkerId | 'store';

export abstract class Cut {
  /** Whether nothing that `from` sends arrives at `to`. */
  abstract stops(from: NetworkEnd, to: NetworkEnd): boolean;

  /** Returns how late a call arrives whose answer this cut stops. */
  answerlessCallMillis(): number {
    return 0;
  }
}

/** Separates one side from all others, which includes members that are started later. */
export class Partition extends Cut {
  private readonly joined = new Set<string>();

  constructor(private readonly side: ReadonlySet<NetworkEnd>) {
    super();
  }

  stops(from: NetworkEnd, to: NetworkEnd): boolean {
    return this.side.has(from) !== this.side.has(to) && !this.joined.has(pathOf(from, to));
  }

  /** Lets the two ends reach each other again; takes effect through `EmulatedCuts.join`. */
  join(left: NetworkEnd, right: NetworkEnd): void {
    this.joined.add(pathOf(left, right));
    this.joined.add(pathOf(right, left));
  }
}

/** Stops what some ends send to others; the other direction works. */
export class OneWayCut extends Cut {
  constructor(
    private readonly from: ReadonlySet<NetworkEnd>,
    private readonly to: ReadonlySet<NetworkEnd>,
    private readonly lateMillis: () => number = () => 0,
  ) {
    super();
  }

  stops(from: NetworkEnd, to: NetworkEnd): boolean {
    return this.from.has(from) && this.to.has(to);
  }

  override answerlessCallMillis(): number {
    return this.lateMillis();
  }
}

export class EmulatedCuts {
  private readonly cuts = new Set<Cut>();
  private readonly listeners = new Set<() => void>();

  add(cut: Cut): void {
    this.cuts.add(cut);
    this.changed();
  }

  remove(cut: Cut): void {
    this.cuts.delete(cut);
    this.changed();
  }

  /** Lets two ends reach each other again that a partition separates. */
  join(partition: Partition, left: NetworkEnd, right: NetworkEnd): void {
    partition.join(left, right);
    this.changed();
  }

  carries(from: NetworkEnd, to: NetworkEnd): boolean {
    return this.cutOf(from, to) === undefined;
  }

  /** Whether both directions work, as a new connection needs. */
  connects(left: NetworkEnd, right: NetworkEnd): boolean {
    return this.carries(left, right) && this.carries(right, left);
  }

  /** Returns how late a call arrives whose answer can't come back. */
  answerlessCallMillis(caller: NetworkEnd, callee: NetworkEnd): number {
    return this.cutOf(callee, caller)?.answerlessCallMillis() ?? 0;
  }

  /** Calls the listener after each change; returns how to stop that. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  /** Resolves once the path carries messages. */
  async restored(from: NetworkEnd, to: NetworkEnd): Promise<void> {
    while (!this.carries(from, to)) {
      await new Promise<void>((resolve) => {
        const stop = this.onChange(() => {
          stop();
          resolve();
        });
      });
    }
  }

  private cutOf(from: NetworkEnd, to: NetworkEnd): Cut | undefined {
    return [...this.cuts].find((cut) => cut.stops(from, to));
  }

  private changed(): void {
    [...this.listeners].forEach((listener) => {
      listener();
    });
  }
}

/** Where a member is attached to the network. */
export interface Attachment {
  readonly member: MemberId;
  readonly cuts: EmulatedCuts;
  /** Of what has left the member's process: it arrives also if that is frozen or dead by then. */
  readonly clock: Clock;
}

function pathOf(from: NetworkEnd, to: NetworkEnd): string {
  return `${from}>${to}`;
}
