/** Queue of events for a subscriber whose mailbox may be full. Merges consecutive rejections. */

import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { StreamEvent } from './stream-messages.js';

export class Outbox<Entry> {
  private events: StreamEvent<Entry>[] = [];

  constructor(private readonly subscriber: MailboxAddress<StreamEvent<Entry>>) {}

  get isEmpty(): boolean {
    return this.events.length === 0;
  }

  add(event: StreamEvent<Entry>): void {
    const last = this.events.at(-1);
    if (event.kind === 'rejected' && last?.kind === 'rejected') {
      const sequences = [...last.sequences, ...event.sequences];
      this.events[this.events.length - 1] = { kind: 'rejected', sequences };
      return;
    }
    this.events.push(event);
  }

  /** Posts events in order until the subscriber refuses one; the rest stay queued. */
  deliver(): void {
    const firstRefused = this.events.findIndex(
      (event) => this.subscriber.post(event) !== 'accepted',
    );
    this.events = firstRefused === -1 ? [] : this.events.slice(firstRefused);
  }
}
