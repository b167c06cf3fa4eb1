/** Counts messages and bytes by kind. */

import { rounded } from './line-fit.js';

interface Count {
  messages: number;
  bytes: number;
}

export interface Rate {
  readonly kind: string;
  readonly messagesPerSecond: number;
  readonly bytesPerSecond: number;
  readonly bytesEach: number;
}

export class Traffic {
  private readonly counts = new Map<string, Count>();

  add(kind: string, bytes: number): void {
    const count = this.counts.get(kind) ?? { messages: 0, bytes: 0 };
    count.messages += 1;
    count.bytes += bytes;
    this.counts.set(kind, count);
  }

  countOf(kind: string): Readonly<Count> {
    return this.counts.get(kind) ?? { messages: 0, bytes: 0 };
  }

  clear(): void {
    this.counts.clear();
  }

  rates(seconds: number): Rate[] {
    return [...this.counts].map(([kind, { messages, bytes }]) => ({
      kind,
      messagesPerSecond: rounded(messages / seconds),
      bytesPerSecond: rounded(bytes / seconds),
      bytesEach: rounded(bytes / messages),
    }));
  }

  get messages(): number {
    return this.sumOf(({ messages }) => messages);
  }

  get bytes(): number {
    return this.sumOf(({ bytes }) => bytes);
  }

  private sumOf(part: (count: Count) => number): number {
    return [...this.counts.values()].reduce((sum, count) => sum + part(count), 0);
  }
}

/** Bytes of the JSON line of a notification between processes, without TCP and TLS overhead. */
export function notificationBytes(method: string, params: object): number {
  return Buffer.byteLength(JSON.stringify({ jsonrpc: '2.0', method, params })) + 1;
}
