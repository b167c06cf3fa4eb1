/** Sends the state of the cell from one daemon to another while the log is unavailable. */

import { z } from 'zod';
import { ask } from '@bamboowell/kernel/ask';
import type { Clock } from '@bamboowell/kernel/clock';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { MembersMessage } from '@bamboowell/membership/members-messages';
import type { CellSnapshot } from '@bamboowell/state/cell-fold';
import type { MemberId } from '@bamboowell/types/ids';
import { deadlineAfter, MILLIS_PER_SECOND } from '@bamboowell/types/time';
import type { WireAnswer } from '@bamboowell/wire/connection';
import type { CellMessage } from './cell-messages.js';

/** Wire method with which a daemon requests another daemon's state of the cell. */
export const CELL_METHOD = 'cell';

/** How long a daemon waits for a handover. */
const HANDOVER_TIMEOUT_MILLIS = 3 * MILLIS_PER_SECOND;

const list = z.array(z.unknown());
const snapshotSchema = z.looseObject({
  upTo: z.int().min(0),
  version: z.int().min(0),
  teams: list,
  queues: list,
  keys: list,
  dataCentres: list,
  epochs: list,
  holdings: list,
  ceilings: list,
  writers: list,
});

/** Answers other daemons' requests for this daemon's state of the cell. */
export function serveCellSnapshot(
  members: MailboxAddress<MembersMessage>,
  cell: MailboxAddress<CellMessage>,
  clock: Clock,
): void {
  const handler = async (): Promise<unknown> => {
    const deadline = deadlineAfter(clock.now(), HANDOVER_TIMEOUT_MILLIS);
    const answer = await ask<CellMessage, CellSnapshot>(
      cell,
      (reply) => ({ kind: 'snapshot', reply }),
      deadline,
      clock,
    );
    return answer.kind === 'answered' ? answer.value : null;
  };
  members.post({ kind: 'serve', method: CELL_METHOD, handler });
}

/** Requests a member's state of the cell. Undefined without an answer, or if it is malformed. */
export async function requestCellSnapshot(
  members: MailboxAddress<MembersMessage>,
  member: MemberId,
  clock: Clock,
): Promise<CellSnapshot | undefined> {
  const now = clock.now();
  const deadline = deadlineAfter(now, HANDOVER_TIMEOUT_MILLIS);
  const answer = await ask<MembersMessage, WireAnswer>(
    members,
    (reply) => ({ kind: 'request', member, method: CELL_METHOD, params: {}, deadline, reply }),
    deadlineAfter(now, HANDOVER_TIMEOUT_MILLIS + MILLIS_PER_SECOND),
    clock,
  );
  if (answer.kind !== 'answered' || answer.value.kind !== 'answered') {
    return undefined;
  }
  const parsed = snapshotSchema.safeParse(answer.value.value);
  return parsed.success ? (parsed.data as unknown as CellSnapshot) : undefined;
}
