/** Requests that wait for their answers. */

import type { Alarm } from '@bamboowell/kernel/clock';
import type { WireAnswer } from './connection.js';

interface Entry {
  readonly resolve: (answer: WireAnswer) => void;
  readonly alarm: Alarm;
}

export class OutstandingRequests {
  private readonly entries = new Map<number, Entry>();

  get size(): number {
    return this.entries.size;
  }

  add(id: number, resolve: (answer: WireAnswer) => void, alarm: Alarm): void {
    this.entries.set(id, { resolve, alarm });
  }

  has(id: unknown): boolean {
    return typeof id === 'number' && this.entries.has(id);
  }

  /** Gives the request its one answer. Answers after the first are dropped. */
  settle(id: number, answer: WireAnswer): void {
    const entry = this.entries.get(id);
    if (entry === undefined) {
      return;
    }
    this.entries.delete(id);
    entry.alarm.cancel();
    entry.resolve(answer);
  }

  /** Ends all requests. Whether they ran is unknown. */
  abandon(): void {
    for (const id of [...this.entries.keys()]) {
      this.settle(id, { kind: 'unknown' });
    }
  }
}
