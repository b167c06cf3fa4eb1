/** Decides for whom a request speaks. */

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

/** What is known when a request comes in. */
export interface AuthorisationContext {
  readonly configuration: Configuration;
  readonly freshUntil: Deadline;
  readonly operators: readonly OperatorKey[];
  readonly now: Instant;
}

/** Compares in constant time, so that the time taken tells nothing of the secret. */
function matches(secret: string, hash: string): boolean {
  const given = createHash('sha256').update(secret).digest();
  const kept = Buffer.from(hash, 'hex');
  return given.length === kept.length && timingSafeEqual(given, kept);
}

function keyOf({ key, secret }: Credentials, { configuration }: AuthorisationContext): Result<Key> {
  const known = configuration.keys.get(key);
  if (known === undefined || !matches(secret, known.secretHash)) {
    return refused('key_unknown', `there is no key ${key} with this secret`, 'authorization');
  }
  return known.withdrawn
    ? refused('key_withdrawn', `key ${key} was withdrawn`, 'authorization')
    : done(known);
}

function freshnessProblem({ freshUntil, now }: AuthorisationContext): Result<never> | undefined {
  return hasPassed(freshUntil, now)
    ? refused('configuration_stale', 'this daemon cannot show that its configuration is the latest')
    : undefined;
}

/** The team that the key speaks for, or a refusal. */
export function teamOfSender(sender: Sender, authority: AuthorisationContext): Result<TeamId> {
  if (sender === null) {
    return refused('key_missing', 'expected a key in the header Authorization', 'authorization');
  }
  const stale = freshnessProblem(authority);
  if (stale !== undefined) {
    return stale;
  }
  const key = keyOf(sender, authority);
  if (key.kind === 'refused') {
    return key;
  }
  return key.value.team === null
    ? refused(
        'queue_not_open_to_team',
        `key ${key.value.id} is an operator's and speaks for no team`,
        'authorization',
      )
    : done(key.value.team);
}

/** The team that work in the queue counts for. An open queue asks for no key. */
export function teamForQueue(
  sender: Sender,
  queue: QueueId,
  authority: AuthorisationContext,
): Result<TeamId> {
  const declared = authority.configuration.queues.get(queue);
  if (declared?.access.kind === 'open') {
    return done(declared.access.team);
  }
  const team = teamOfSender(sender, authority);
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

/** Whether the sender is an operator. Keys from the settings need no fresh configuration. */
export function operatorRefusal(
  sender: Sender,
  authority: AuthorisationContext,
): Result<never> | undefined {
  if (sender === null) {
    return refused(
      'key_missing',
      "expected an operator's key in the header Authorization",
      'authorization',
    );
  }
  const fixed = authority.operators.find(({ id }) => id === sender.key);
  if (fixed !== undefined && matches(sender.secret, fixed.secretHash)) {
    return undefined;
  }
  const stale = freshnessProblem(authority);
  if (stale !== undefined) {
    return stale;
  }
  const key = keyOf(sender, authority);
  if (key.kind === 'refused') {
    return key;
  }
  return key.value.team === null
    ? undefined
    : refused('not_operator', `key ${key.value.id} is not an operator's`, 'authorization');
}
