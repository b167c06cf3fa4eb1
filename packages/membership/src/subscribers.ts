/** The subscribers of the members task. */

import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { MembersCounter, MembersEvent } from './members-messages.js';

export class Subscribers {
  private readonly addresses: Set<MailboxAddress<MembersEvent>>;

  constructor(
    addresses: Iterable<MailboxAddress<MembersEvent>>,
    private readonly count: (counter: MembersCounter) => void,
  ) {
    this.addresses = new Set(addresses);
  }

  /** Adds a subscriber and sends it a first event. */
  add(subscriber: MailboxAddress<MembersEvent>, first: MembersEvent): void {
    this.addresses.add(subscriber);
    this.send(subscriber, first);
  }

  publish(event: MembersEvent): void {
    for (const subscriber of this.addresses) {
      this.send(subscriber, event);
    }
  }

  private send(subscriber: MailboxAddress<MembersEvent>, event: MembersEvent): void {
    const posted = subscriber.post(event);
    if (posted === 'stopped') {
      this.addresses.delete(subscriber);
    } else if (posted === 'full') {
      this.count('events_dropped');
    }
  }
}
