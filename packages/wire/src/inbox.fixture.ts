/** Collects messages in tests, so that they can be awaited one by one. */

import type { MailboxAddress, PostResult } from '@bamboowell/kernel/mailbox';

export class Inbox<Message> implements MailboxAddress<Message> {
  private readonly arrived: Message[] = [];
  private readonly waiting: ((message: Message) => void)[] = [];

  post(message: Message): PostResult {
    const taker = this.waiting.shift();
    if (taker === undefined) {
      this.arrived.push(message);
    } else {
      taker(message);
    }
    return 'accepted';
  }

  /** The next message in the order of arrival. */
  next(): Promise<Message> {
    const message = this.arrived.shift();
    return message === undefined
      ? new Promise((resolve) => this.waiting.push(resolve))
      : Promise.resolve(message);
  }

  /** Messages that have arrived and were not taken by `next` yet. */
  pending(): readonly Message[] {
    return this.arrived;
  }
}
