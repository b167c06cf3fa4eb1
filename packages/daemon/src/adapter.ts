/** Lets a task take the messages of another kind of sender. */

import type { Address } from '@bamboowell/kernel/mailbox';

/** An address whose messages are wrapped before they are posted to `target`. */
export function wrapped<Inner, Outer>(
  target: Address<Outer>,
  wrap: (message: Inner) => Outer,
): Address<Inner> {
  return { post: (message) => target.post(wrap(message)) };
}
