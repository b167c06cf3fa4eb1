/** Request and reply between tasks. */

import type { Deadline } from '@bamboowell/types/time';
import type { Clock } from './clock.js';
import type { MailboxAddress } from './mailbox.js';

/** Receives the reply to a message. Replies after the first are dropped. */
export type Reply<Value> = (value: Value) => void;

/** Why there is no reply. With `full` and `stopped` the task never received the message. */
export type Unanswered = 'full' | 'stopped' | 'timeout';

export type Answer<Value> =
  | { readonly kind: 'answered'; readonly value: Value }
  | { readonly kind: 'unanswered'; readonly why: Unanswered };

/**
 * Posts the message that `build` makes with a reply function, and waits for the reply until the
 * deadline.
 */
export function ask<Message, Value>(
  address: MailboxAddress<Message>,
  build: (reply: Reply<Value>) => Message,
  deadline: Deadline,
  clock: Clock,
): Promise<Answer<Value>> {
  return new Promise((resolve) => {
    const alarm = clock.wakeAt(deadline, () => {
      resolve({ kind: 'unanswered', why: 'timeout' });
    });
    const reply: Reply<Value> = (value) => {
      alarm.cancel();
      resolve({ kind: 'answered', value });
    };
    const posted = address.post(build(reply));
    if (posted !== 'accepted') {
      alarm.cancel();
      resolve({ kind: 'unanswered', why: posted });
    }
  });
}
