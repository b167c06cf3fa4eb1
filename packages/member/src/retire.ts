/** Takes a member out of service: no new callers, its work handed over, what is in hand answered. */

import { ask } from '@bamboowell/kernel/ask';
import type { Address as MailAddress } from '@bamboowell/kernel/mailbox';
import type { Clock } from '@bamboowell/kernel/clock';
import type { Term } from '@bamboowell/types/job';
import { deadlineAfter, hasPassed, type Deadline } from '@bamboowell/types/time';
import type { GateMessage } from './gate-messages.js';
import type { OwnerMessage } from './owner-messages.js';
import type { OwnershipMessage } from './ownership-messages.js';

/** Handing the work over is given up after this, milliseconds. */
const HAND_OVER_MILLIS = 800;
/** The last answers get this long to leave, milliseconds. */
const ANSWER_MILLIS = 200;
/** How often it is looked whether requests are left, milliseconds. */
const LOOK_MILLIS = 100;

export interface Retiring {
  readonly clock: Clock;
  readonly gate: MailAddress<GateMessage>;
  readonly owner: MailAddress<OwnerMessage>;
  readonly ownership: MailAddress<OwnershipMessage>;
  /** New requests may come until then: the platform takes a while to notice. */
  readonly lastRequestsAt: Deadline;
  /** All must be over by then. */
  readonly deadline: Deadline;
}

export async function retire(retiring: Retiring): Promise<void> {
  const { clock, gate, owner, ownership } = retiring;
  gate.post({ kind: 'drain' });
  const limit = deadlineAfter(clock.now(), HAND_OVER_MILLIS);
  const resigned = await ask<OwnerMessage, Term | undefined>(
    owner,
    (reply) => ({ kind: 'resign', reply }),
    limit,
    clock,
  );
  const held = resigned.kind === 'answered' ? resigned.value : undefined;
  await ask<OwnershipMessage, null>(
    ownership,
    (reply) => ({ kind: 'leave', held, reply }),
    limit,
    clock,
  );
  await untilIdle(retiring);
  gate.post({ kind: 'finish' });
  await clock.sleepUntil(deadlineAfter(clock.now(), ANSWER_MILLIS));
}

async function untilIdle({ clock, gate, lastRequestsAt, deadline }: Retiring): Promise<void> {
  while (!hasPassed(deadline, clock.now())) {
    await clock.sleepUntil(deadlineAfter(clock.now(), LOOK_MILLIS));
    const look = deadlineAfter(clock.now(), LOOK_MILLIS);
    const idle = await ask<GateMessage, boolean>(
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
