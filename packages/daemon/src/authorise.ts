/** Determines the team or operator that a request's key belongs to. */

import { createHash, timingSafeEqual } from 'node:crypto';
import type { Configuration, Key } from '@bamboowell/types/declarations';
import type { QueueId, TeamId } from '@bamboowell/types/ids';
import { hasPassed, type Deadline, type Instant } from '@bamboowell/types/time';
import { done, refused, type Result } from '@bamboowell/types/verdict';
import type { Credentials, Sender } from '@bamboowell/front/backend';

/** An operator's key from the settings, valid before any configuration exists. */
export interface OperatorKey {
  readonly id: Key['id'];
  readonly secretHash: string;
}

/** The state that decides whether a request is allowed. */
export interface AuthorisationContext {
  readonly configuration: Configuration;
  readonly freshUntil: Deadline;
  readonly operators: readonly OperatorKey[];
  readonly now: Instant;
}

/** Compares in constant time, so that timing reveals nothing about the secret. */
function matchesHash(secret: string, hash: string): boolean {
  const presented = createHash('sha256').update(secret).digest();
  const expected = Buffer.from(hash, 'hex');
  return presented.length === expected.length && timingSafeEqual(presented, expected);
}

function keyOf({ key, secret }: Credentials, { configuration }: AuthorisationContext): Result<Key> {
  const known = configuration.keys.get(key);
  if (known === undefined || !matchesHash(secret, known.secretHash)) {
    return refused('key_unknown', `there is no key ${key} with this secret`, 'authorization');
  }
  return known.withdrawn
    ? refused('key_withdrawn', `key ${key} was withdrawn`, 'authorization')
    : done(known);
}

function freshnessRefusal({ freshUntil, now }: AuthorisationContext): Result<never> | undefined {
  return hasPassed(freshUntil, now)
    ? refused(
        'configuration_stale',
        'this daemon cannot confirm that its configuration is up to date',
      )
    : undefined;
}

/** The team that the sender's key belongs to, or a refusal. */
export function teamOfSender(sender: Sender, context: AuthorisationContext): Result<TeamId> {
  if (sender === null) {
    return refused('key_missing', 'expected a key in the header Authorization', 'authorization');
  }
  const stale = freshnessRefusal(context);
  if (stale !== undefined) {
    return stale;
  }
  const key = keyOf(sender, context);
  if (key.kind === 'refused') {
    return key;
  }
  return key.value.team === null
    ? refused(
        'queue_not_open_to_team',
        `key ${key.value.id} is an operator's and belongs to no team`,
        'authorization',
      )
    : done(key.value.team);
}

/** The team to which work in the queue is charged, or a refusal. An open queue requires no key. */
export function teamForQueue(
  sender: Sender,
  queue: QueueId,
  context: AuthorisationContext,
): Result<TeamId> {
  const declared = context.configuration.queues.get(queue);
  if (declared?.access.kind === 'open') {
    return done(declared.access.team);
  }
  const team = teamOfSender(sender, context);
  if (team.kind === 'refused') {
    return team;
  }
  if (declared === undefined) {
    return refused('unknown_queue', `there is no queue ${queue}`, 'queue');
  }
  return declared.access.teams.includes(team.value)
    ? team
    : refused(
        'queue_not_open_to_team',
        `queue ${queue} is not open to team ${team.value}`,
        'queue',
      );
}

/**
 * The refusal for a sender that is not an operator; undefined for an operator. Operators' keys
 * from the settings need no fresh configuration.
 */
export function operatorRefusal(
  sender: Sender,
  context: AuthorisationContext,
): Result<never> | undefined {
  if (sender === null) {
    return refused(
      'key_missing',
      "expected an operator's key in the header Authorization",
      'authorization',
    );
  }
  const settingsKey = context.operators.find(({ id }) => id === sender.key);
  if (settingsKey !== undefined && matchesHash(sender.secret, settingsKey.secretHash)) {
    return undefined;
  }
  const stale = freshnessRefusal(context);
  if (stale !== undefined) {
    return stale;
  }
  const key = keyOf(sender, context);
  if (key.kind === 'refused') {
    return key;
  }
  return key.value.team === null
    ? undefined
    : refused('not_operator', `key ${key.value.id} is not an operator's`, 'authorization');
}
