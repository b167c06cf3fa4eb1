/** A bounded queue of messages. */

export const DEFAULT_MAILBOX_CAPACITY = 4096;

/** What became of a message that was posted. Only `accepted` messages are ever received. */
export type PostResult = 'accepted' | 'full' | 'stopped';

/** Where messages for a task are posted. Outlives restarts of the task. */
export interface MailboxAddress<Message> {
  post(message: Message): PostResult;
}

export class Mailbox<Message> {
  private messages: Message[] = [];
  private head = 0;

  constructor(readonly capacity: number = DEFAULT_MAILBOX_CAPACITY) {}

  get size(): number {
    return this.messages.length - this.head;
  }

  /** Whether there was room. */
  push(message: Message): boolean {
    if (this.size >= this.capacity) {
      return false;
    }
    this.messages.push(message);
    return true;
  }

  shift(): Message | undefined {
    const message = this.messages[this.head];
    if (message === undefined) {
      return undefined;
    }
    this.head += 1;
    this.compact();
    return message;
  }

  /** Drops the slots of received messages once they are the larger part. */
  private compact(): void {
    if (this.head * 2 > this.messages.length) {
      this.messages = this.messages.slice(this.head);
      this.head = 0;
    }
  }
}
