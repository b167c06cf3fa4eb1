/** Lets a task take the messages of another kind of sender. */

import type { MailboxAddress } from '@bamboowell/kernel/mailbox';

/** An address whose messages are wrapped before they are posted to `target`. */
export function wrapMessages<Inner, Outer>(
  target: MailboxAddress<Outer>,
  wrap: (message: Inner) => Outer,
): MailboxAddress<Inner> {
  return { post: (message) => target.post(wrap(message)) };
}
