/** Request and reply between tasks. */

import type { Deadline } from '@bamboowell/types/time';
import type { Clock } from './clock.js';
import type { MailboxAddress } from './mailbox.js';

/** Takes the one reply to a message. Replies after the first are dropped. */
export type Reply<Value> = (value: Value) => void;

/** Why there is no reply. A message that was `full` or `stopped` was never received. */
export type Unanswered = 'full' | 'stopped' | 'timeout';

export type Answer<Value> =
  | { readonly kind: 'answered'; readonly value: Value }
  | { readonly kind: 'unanswered'; readonly why: Unanswered };

/** Posts the message that `build` makes around a reply and waits for that reply. */
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
