/** Takes a member out of service: no new callers, its work handed over, what is in hand answered. */

import { ask } from '@bamboowell/kernel/ask';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { Clock } from '@bamboowell/kernel/clock';
import type { Term } from '@bamboowell/types/job';
import { deadlineAfter, hasPassed, millisUntil, type Deadline } from '@bamboowell/types/time';
import type { GatewayMessage } from './gateway-messages.js';
import type { OwnerMessage } from './owner-messages.js';
import type { OwnershipMessage } from './ownership-messages.js';

/**
 * The work is handed over at least so long before all must be over, milliseconds: the next owner
 * takes half of it where the store is quick, and answers what this member has in hand.
 */
const HAND_OVER_AHEAD_MILLIS = 1000;
/** The word that the work is free is given up after this, milliseconds. */
const RELEASE_MILLIS = 800;
/** The last answers get this long to leave, milliseconds. */
const ANSWER_MILLIS = 200;
/** How often it is looked whether requests are left, milliseconds. */
const LOOK_MILLIS = 100;

export interface Shutdown {
  readonly clock: Clock;
  readonly gate: MailboxAddress<GatewayMessage>;
  readonly owner: MailboxAddress<OwnerMessage>;
  readonly ownership: MailboxAddress<OwnershipMessage>;
  /** New requests may come until then: the platform takes a while to notice. */
  readonly lastRequestsAt: Deadline;
  /** All must be over by then. */
  readonly deadline: Deadline;
}

export async function shutDown(retiring: Shutdown): Promise<void> {
  const { clock, gate, owner, ownership } = retiring;
  gate.post({ kind: 'drain' });
  const patienceMillis = handOverMillis(retiring);
  const by = deadlineAfter(clock.now(), patienceMillis);
  const resigned = await ask<OwnerMessage, Term | undefined>(
    owner,
    (reply) => ({ kind: 'resign', by, reply }),
    deadlineAfter(clock.now(), patienceMillis + ANSWER_MILLIS),
    clock,
  );
  const held = resigned.kind === 'answered' ? resigned.value : undefined;
  await ask<OwnershipMessage, null>(
    ownership,
    (reply) => ({ kind: 'leave', held, reply }),
    deadlineAfter(clock.now(), RELEASE_MILLIS),
    clock,
  );
  await untilIdle(retiring);
  gate.post({ kind: 'finish' });
  await clock.sleepUntil(deadlineAfter(clock.now(), ANSWER_MILLIS));
}

function handOverMillis({ clock, deadline }: Shutdown): number {
  return Math.max(0, millisUntil(deadline, clock.now()) - HAND_OVER_AHEAD_MILLIS);
}

async function untilIdle({ clock, gate, lastRequestsAt, deadline }: Shutdown): Promise<void> {
  while (!hasPassed(deadline, clock.now())) {
    await clock.sleepUntil(deadlineAfter(clock.now(), LOOK_MILLIS));
    const look = deadlineAfter(clock.now(), LOOK_MILLIS);
    const idle = await ask<GatewayMessage, boolean>(
      gate,
      (reply) => ({ kind: 'idle', reply }),
      look,
      clock,
    );
    const isIdle = idle.kind === 'answered' && idle.value;
    if (isIdle && hasPassed(lastRequestsAt, clock.now())) {
      return;
    }
  }
}
