/** Requests that wait for an answer. */

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

  /** Resolves a request with its answer. Later answers to it are dropped. */
  settle(id: number, answer: WireAnswer): void {
    const entry = this.entries.get(id);
    if (entry === undefined) {
      return;
    }
    this.entries.delete(id);
    entry.alarm.cancel();
    entry.resolve(answer);
  }

  /** Resolves all requests as `unknown`: they may have run. */
  abandon(): void {
    for (const id of [...this.entries.keys()]) {
      this.settle(id, { kind: 'unknown' });
    }
  }
}
