/**
 * Forwards a request to the shard's owner, on this daemon or another one, and retries until the
 * caller's deadline where a repeat is safe.
 */

import { match } from 'ts-pattern';
import { ask } from '@bamboowell/kernel/ask';
import type { Clock } from '@bamboowell/kernel/clock';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { MembersMessage } from '@bamboowell/membership/members-messages';
import type { Counters } from '@bamboowell/metrics/counters';
import { retryCounter, type RetryReason } from '@bamboowell/metrics/names';
import { brandAs, type MemberId, type ShardId } from '@bamboowell/types/ids';
import {
  deadlineAfter,
  earlier,
  hasPassed,
  millisUntil,
  type Deadline,
} from '@bamboowell/types/time';
import {
  refusalOf,
  refused,
  type Reason,
  type Refusal,
  type Result,
} from '@bamboowell/types/verdict';
import type { WireAnswer } from '@bamboowell/wire/connection';
import { DRAINING_CODE } from '@bamboowell/wire/tcp-connection';
import type { LocalShards } from './local-shards.js';
import {
  parseResult,
  SHARD_METHOD,
  type ShardOperation,
  type ForwardedRequest,
} from './peer-messages.js';
import type { RoutingMessage, RoutingTable } from './routing-task.js';

const INITIAL_BACKOFF_MILLIS = 50;
const MAX_BACKOFF_MILLIS = 1_000;
/** How long the routing task may take to answer. */
const TABLE_TIMEOUT_MILLIS = 1_000;
/** The owner answers by the caller's deadline; its answer may take this much longer to arrive. */
const ANSWER_GRACE_MILLIS = 250;

/** Refusals after which another daemon may accept the request, and the reason counted for a retry. */
const RETRY_REASONS: ReadonlyMap<Reason, RetryReason> = new Map<Reason, RetryReason>([
  ['no_owner', 'owner_unknown'],
  ['not_fresh', 'owner_not_fresh'],
  ['owner_changed', 'owner_changed'],
  ['owner_unreachable', 'peer_unreachable'],
  ['shutting_down', 'owner_shutting_down'],
]);

export interface ForwarderParts {
  readonly self: MemberId;
  readonly clock: Clock;
  readonly random: () => number;
  readonly counters: Counters;
  readonly members: MailboxAddress<MembersMessage>;
  readonly routing: MailboxAddress<RoutingMessage>;
  readonly local: LocalShards;
}

export class Forwarder {
  constructor(private readonly parts: ForwarderParts) {}

  /** Reads the routing table. A refusal, not an empty table, if the routing task does not answer. */
  async table(): Promise<Result<RoutingTable>> {
    const { routing, clock } = this.parts;
    const deadline = deadlineAfter(clock.now(), TABLE_TIMEOUT_MILLIS);
    const answer = await ask<RoutingMessage, RoutingTable>(
      routing,
      (reply) => ({ kind: 'read', reply }),
      deadline,
      clock,
    );
    return answer.kind === 'answered'
      ? { kind: 'done', value: answer.value }
      : refused('overloaded', 'too many requests are waiting in this daemon');
  }

  async forward(
    shard: ShardId,
    operation: ShardOperation,
    deadline: Deadline,
  ): Promise<Result<unknown>> {
    let last: Result<unknown> = refused('no_owner', `the shard ${shard} has no owner yet`);
    for (let attempt = 0; ; attempt += 1) {
      last = keepUncertain(last, await this.tryOnce(shard, operation, deadline));
      const reason = retryReason(last, operation);
      if (reason === undefined || !(await this.backOff(attempt, deadline))) {
        return last;
      }
      this.parts.counters.increment(retryCounter(reason));
    }
  }

  private async tryOnce(
    shard: ShardId,
    operation: ShardOperation,
    deadline: Deadline,
  ): Promise<Result<unknown>> {
    const table = await this.table();
    if (table.kind === 'refused') {
      return table;
    }
    const owner = table.value.owners.get(shard)?.member;
    return owner === undefined || owner === this.parts.self
      ? this.parts.local.ask(shard, operation, deadline)
      : this.askMember(
          owner,
          { shard, ask: operation, timeoutMillis: millisUntil(deadline, this.parts.clock.now()) },
          deadline,
        );
  }

  private async askMember(
    member: MemberId,
    params: ForwardedRequest,
    deadline: Deadline,
  ): Promise<Result<unknown>> {
    const { members, clock } = this.parts;
    const answerBy = deadlineAfter(
      clock.now(),
      millisUntil(deadline, clock.now()) + ANSWER_GRACE_MILLIS,
    );
    const answer = await ask<MembersMessage, WireAnswer>(
      members,
      (reply) => ({
        kind: 'request',
        member,
        method: SHARD_METHOD,
        params,
        deadline: answerBy,
        reply,
      }),
      deadlineAfter(clock.now(), millisUntil(answerBy, clock.now()) + ANSWER_GRACE_MILLIS),
      clock,
    );
    if (answer.kind === 'unanswered') {
      return answer.why === 'timeout'
        ? unknownOutcome(member)
        : refused('overloaded', 'too many requests are waiting for other daemons');
    }
    return resultOf(member, answer.value);
  }

  /** Sleeps with full jitter. Resolves to false if the deadline passes first. */
  async backOff(attempt: number, deadline: Deadline): Promise<boolean> {
    const { clock, random } = this.parts;
    if (hasPassed(deadline, clock.now())) {
      return false;
    }
    const ceiling = Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS * 2 ** attempt);
    const wakeAt = deadlineAfter(clock.now(), ceiling * random());
    await clock.sleepUntil(earlier(brandAs<Deadline>(wakeAt), deadline));
    return !hasPassed(deadline, clock.now());
  }
}

function resultOf(member: MemberId, answer: WireAnswer): Result<unknown> {
  return match(answer)
    .returnType<Result<unknown>>()
    .with({ kind: 'answered' }, ({ value }) => parseResult(value) ?? unknownOutcome(member))
    .with({ kind: 'failed', code: DRAINING_CODE }, () =>
      refused('shutting_down', `daemon ${member} is shutting down`),
    )
    .with({ kind: 'failed' }, ({ message }) => ({
      kind: 'refused',
      refusal: refusalOf('may_have_run', 'internal', `daemon ${member} failed: ${message}`),
    }))
    .with({ kind: 'not_sent' }, () =>
      refused('owner_unreachable', `daemon ${member} can't be reached`),
    )
    .with({ kind: 'unknown' }, () => unknownOutcome(member))
    .exhaustive();
}

function unknownOutcome(member: MemberId): Result<never> {
  return {
    kind: 'refused',
    refusal: refusalOf(
      'may_have_run',
      'owner_unreachable',
      `daemon ${member} has not answered; the request may have reached it`,
    ),
  };
}

/** Once an attempt may have run, a later `not_run` of the same request says nothing about it. */
function keepUncertain(before: Result<unknown>, now: Result<unknown>): Result<unknown> {
  if (before.kind === 'done' || now.kind === 'done') {
    return now;
  }
  return before.refusal.verdict === 'may_have_run' && now.refusal.verdict === 'not_run'
    ? before
    : now;
}

/** The reason counted for a retry; undefined if the request may not be retried. */
function retryReason(result: Result<unknown>, operation: ShardOperation): RetryReason | undefined {
  if (result.kind === 'done' || !isSafeToRepeat(result.refusal, operation)) {
    return undefined;
  }
  return RETRY_REASONS.get(result.refusal.reason);
}

/** A submission may be repeated, because its request id prevents a second effect. A call may not. */
function isSafeToRepeat({ verdict }: Refusal, operation: ShardOperation): boolean {
  return verdict === 'not_run' || operation.kind !== 'call';
}
