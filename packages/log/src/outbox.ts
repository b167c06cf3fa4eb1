/** Events on their way to a subscriber whose mailbox may be full. */

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

  /** Posts in order what the subscriber takes; the rest stays. */
  deliver(): void {
    const untaken = this.events.findIndex((event) => this.subscriber.post(event) !== 'accepted');
    this.events = untaken === -1 ? [] : this.events.slice(untaken);
  }
}
