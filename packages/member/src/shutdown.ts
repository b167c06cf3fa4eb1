/** Shuts a member down gracefully: drains callers, hands the work over and answers pending requests. */

import { ask } from '@bamboowell/kernel/ask';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { Clock } from '@bamboowell/kernel/clock';
import type { Term } from '@bamboowell/types/job';
import { deadlineAfter, hasPassed, millisUntil, type Deadline } from '@bamboowell/types/time';
import type { GatewayMessage } from './gateway-messages.js';
import type { OwnerMessage } from './owner-messages.js';
import type { OwnershipMessage } from './ownership-messages.js';

/**
 * The work is handed over at least this long before the deadline of the shutdown. With a fast store
 * the next owner needs half of it to take the work over; the rest is for answering the requests that
 * are pending at this member.
 */
const HANDOVER_MARGIN_MILLIS = 1000;
/** Timeout for recording that the work has been released. */
const RELEASE_TIMEOUT_MILLIS = 800;
/** Time for the last answers to be sent. */
const FLUSH_MILLIS = 200;
/** Interval at which pending requests are checked. */
const IDLE_CHECK_INTERVAL_MILLIS = 100;

/** The tasks and deadlines of a shutdown. */
export interface Shutdown {
  readonly clock: Clock;
  readonly gateway: MailboxAddress<GatewayMessage>;
  readonly owner: MailboxAddress<OwnerMessage>;
  readonly ownership: MailboxAddress<OwnershipMessage>;
  /** New requests may arrive until then: the platform takes a while to notice that the member drains. */
  readonly lastRequestsAt: Deadline;
  /** When the shutdown must be complete. */
  readonly deadline: Deadline;
}

export async function shutDown(shutdown: Shutdown): Promise<void> {
  const { clock, gateway, owner, ownership } = shutdown;
  gateway.post({ kind: 'drain' });
  const resignMillis = handOverMillis(shutdown);
  const by = deadlineAfter(clock.now(), resignMillis);
  const resigned = await ask<OwnerMessage, Term | undefined>(
    owner,
    (reply) => ({ kind: 'resign', by, reply }),
    deadlineAfter(clock.now(), resignMillis + FLUSH_MILLIS),
    clock,
  );
  const held = resigned.kind === 'answered' ? resigned.value : undefined;
  await ask<OwnershipMessage, null>(
    ownership,
    (reply) => ({ kind: 'leave', held, reply }),
    deadlineAfter(clock.now(), RELEASE_TIMEOUT_MILLIS),
    clock,
  );
  await untilIdle(shutdown);
  gateway.post({ kind: 'finish' });
  await clock.sleepUntil(deadlineAfter(clock.now(), FLUSH_MILLIS));
}

function handOverMillis({ clock, deadline }: Shutdown): number {
  return Math.max(0, millisUntil(deadline, clock.now()) - HANDOVER_MARGIN_MILLIS);
}

async function untilIdle({ clock, gateway, lastRequestsAt, deadline }: Shutdown): Promise<void> {
  while (!hasPassed(deadline, clock.now())) {
    await clock.sleepUntil(deadlineAfter(clock.now(), IDLE_CHECK_INTERVAL_MILLIS));
    const checkDeadline = deadlineAfter(clock.now(), IDLE_CHECK_INTERVAL_MILLIS);
    const idle = await ask<GatewayMessage, boolean>(
      gateway,
      (reply) => ({ kind: 'idle', reply }),
      checkDeadline,
      clock,
    );
    const isIdle = idle.kind === 'answered' && idle.value;
    if (isIdle && hasPassed(lastRequestsAt, clock.now())) {
      return;
    }
  }
}
