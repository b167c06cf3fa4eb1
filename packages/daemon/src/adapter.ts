/** Lets a task receive messages of another type. */

import type { MailboxAddress } from '@bamboowell/kernel/mailbox';

/** An address whose messages are wrapped before they are posted to `target`. */
export function wrapMessages<Inner, Outer>(
  target: MailboxAddress<Outer>,
  wrap: (message: Inner) => Outer,
): MailboxAddress<Inner> {
  return { post: (message) => target.post(wrap(message)) };
}
