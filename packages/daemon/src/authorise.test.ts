import test from 'ava';
import { brandAs, type KeyId, type QueueId } from '@bamboowell/types/ids';
import { NEVER, type Deadline, type Instant } from '@bamboowell/types/time';
import type { Result } from '@bamboowell/types/verdict';
import {
  operatorRefusal,
  teamForQueue,
  teamOfSender,
  type AuthorisationContext,
} from './authorise.js';
import { credentials, testConfiguration, hashOf, SECRET } from './router.fixture.js';

function authority(changes: Partial<AuthorisationContext> = {}): AuthorisationContext {
  return {
    configuration: testConfiguration(),
    freshUntil: NEVER,
    operators: [{ id: brandAs<KeyId>('k-first'), secretHash: hashOf(SECRET) }],
    now: brandAs<Instant>(1_000),
    ...changes,
  };
}

function stale(): AuthorisationContext {
  return authority({ freshUntil: brandAs<Deadline>(1_000) });
}

function reasonOf(result: Result<unknown> | undefined): string {
  return result?.kind === 'refused' ? result.refusal.reason : 'fine';
}

const NIGHTLY = brandAs<QueueId>('nightly');
const OPEN = brandAs<QueueId>('open');

test('a key speaks for its team', (t) => {
  t.deepEqual(teamOfSender(credentials('k-holds'), authority()), {
    kind: 'done',
    value: brandAs('holds'),
  });
});

test('a key that is absent, unknown, wrong or withdrawn speaks for nobody', (t) => {
  const reason = (sender: Parameters<typeof teamOfSender>[0]) =>
    reasonOf(teamOfSender(sender, authority()));
  t.is(reason(null), 'key_missing');
  t.is(reason(credentials('k-nobody')), 'key_unknown');
  t.is(reason(credentials('k-holds', 'rose')), 'key_unknown');
  t.is(reason(credentials('k-holds', '')), 'key_unknown');
  t.is(reason(credentials('k-old')), 'key_withdrawn');
  t.is(reason(credentials('k-root')), 'queue_not_open_to_team');
});

test('a withdrawn key with a wrong secret is told nothing of the withdrawal', (t) => {
  t.is(reasonOf(teamOfSender(credentials('k-old', 'rose'), authority())), 'key_unknown');
});

test('no refusal repeats the secret', (t) => {
  const refused = teamOfSender(credentials('k-holds', 'rose-4711'), authority());
  t.notRegex(JSON.stringify(refused), /rose-4711/);
});

test('a queue takes the teams that it names', (t) => {
  t.is(reasonOf(teamForQueue(credentials('k-holds'), NIGHTLY, authority())), 'fine');
  t.is(
    reasonOf(teamForQueue(credentials('k-spares'), NIGHTLY, authority())),
    'queue_not_open_to_team',
  );
  t.is(reasonOf(teamForQueue(null, NIGHTLY, authority())), 'key_missing');
});

test('an unknown queue is told only to a known key', (t) => {
  const nowhere = brandAs<QueueId>('nowhere');
  t.is(reasonOf(teamForQueue(credentials('k-holds'), nowhere, authority())), 'unknown_queue');
  t.is(reasonOf(teamForQueue(null, nowhere, authority())), 'key_missing');
});

test('an open queue asks for no key and no fresh configuration', (t) => {
  const guests = { kind: 'done', value: brandAs('guests') } as const;
  t.deepEqual(teamForQueue(null, OPEN, authority()), guests);
  t.deepEqual(teamForQueue(credentials('k-nobody'), OPEN, stale()), guests);
});

test('a stale configuration vouches for no key', (t) => {
  t.is(reasonOf(teamOfSender(credentials('k-holds'), stale())), 'configuration_stale');
  t.is(reasonOf(teamForQueue(credentials('k-holds'), NIGHTLY, stale())), 'configuration_stale');
  t.is(reasonOf(operatorRefusal(credentials('k-root'), stale())), 'configuration_stale');
});

test('operators are those of the configuration and of the settings', (t) => {
  const reason = (sender: Parameters<typeof operatorRefusal>[0], known = authority()) =>
    reasonOf(operatorRefusal(sender, known));
  t.is(reason(credentials('k-root')), 'fine');
  t.is(reason(credentials('k-first')), 'fine');
  t.is(reason(credentials('k-first'), stale()), 'fine');
  t.is(reason(credentials('k-first', 'rose')), 'key_unknown');
  t.is(reason(credentials('k-holds')), 'not_operator');
  t.is(reason(null), 'key_missing');
});
