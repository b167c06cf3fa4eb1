/** A bounded queue of messages. */

export const DEFAULT_MAILBOX_CAPACITY = 4096;

/** Result of posting a message. The task receives only `accepted` messages. */
export type PostResult = 'accepted' | 'full' | 'stopped';

/** Where messages for a task are posted. It stays valid when the task is restarted. */
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

  /** Adds a message; returns `false` if the mailbox is full. */
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

  /** Frees the slots of received messages once they are more than half of the array. */
  private compact(): void {
    if (this.head * 2 > this.messages.length) {
      this.messages = this.messages.slice(this.head);
      this.head = 0;
    }
  }
}
