/** Sends requests to this daemon's own shard tasks. */

import { match } from 'ts-pattern';
import { ask } from '@bamboowell/kernel/ask';
import type { Clock } from '@bamboowell/kernel/clock';
import type { MailboxAddress, PostResult } from '@bamboowell/kernel/mailbox';
import type { ShardId } from '@bamboowell/types/ids';
import { deadlineAfter, millisUntil, type Deadline } from '@bamboowell/types/time';
import { refusalOf, refused, type Result, type Verdict } from '@bamboowell/types/verdict';
import type { ShardOperation } from './peer-messages.js';
import type { ShardMessage, ShardsMessage } from './shard-messages.js';

/** A shard's task answers by the deadline; this extra wait ends the request if a fault prevents it. */
const GRACE_MILLIS = 1_000;

export class LocalShards {
  constructor(
    private readonly shards: MailboxAddress<ShardsMessage>,
    private readonly clock: Clock,
  ) {}

  async ask(
    shard: ShardId,
    operation: ShardOperation,
    deadline: Deadline,
  ): Promise<Result<unknown>> {
    const answer = await ask<ShardMessage, Result<unknown>>(
      { post: (message) => this.deliver(shard, message) },
      (reply) => messageOf(operation, deadline, reply),
      deadlineAfter(this.clock.now(), millisUntil(deadline, this.clock.now()) + GRACE_MILLIS),
      this.clock,
    );
    if (answer.kind === 'answered') {
      return answer.value;
    }
    if (answer.why !== 'timeout') {
      return refused('overloaded', 'too many messages are waiting for the shards of this daemon');
    }
    const verdict = unansweredVerdict(operation);
    return {
      kind: 'refused',
      refusal: refusalOf(verdict, 'outcome_unknown', 'the shard has not answered by the deadline'),
    };
  }

  private deliver(shard: ShardId, message: ShardMessage): PostResult {
    const reply = (delivered: boolean): void => {
      if (!delivered) {
        refuseUndelivered(shard, message);
      }
    };
    return this.shards.post({ kind: 'deliver', shard, message, reply });
  }
}

function refuseUndelivered(shard: ShardId, message: ShardMessage): void {
  if ('reply' in message && message.kind !== 'drain') {
    message.reply(
      refused('no_owner', `this daemon does not serve the shard ${shard}, or is overloaded`),
    );
  }
}

function unansweredVerdict(operation: ShardOperation): Verdict {
  return operation.kind === 'submit' || operation.kind === 'call' || operation.kind === 'cancel'
    ? 'may_have_run'
    : 'not_run';
}

function messageOf(
  operation: ShardOperation,
  deadline: Deadline,
  reply: (result: Result<unknown>) => void,
): ShardMessage {
  return match(operation)
    .returnType<ShardMessage>()
    .with({ kind: 'submit' }, { kind: 'call' }, { kind: 'cancel' }, (request) => ({
      kind: 'request',
      request: { ...request, deadline },
      reply,
    }))
    .with({ kind: 'get' }, { kind: 'explain' }, ({ kind, work }) => ({ kind, work, reply }))
    .with({ kind: 'status' }, () => ({ kind: 'status', reply }))
    .exhaustive();
}
