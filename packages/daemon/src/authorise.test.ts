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

function context(changes: Partial<AuthorisationContext> = {}): AuthorisationContext {
  return {
    configuration: testConfiguration(),
    freshUntil: NEVER,
    operators: [{ id: brandAs<KeyId>('k-first'), secretHash: hashOf(SECRET) }],
    now: brandAs<Instant>(1_000),
    ...changes,
  };
}

function staleContext(): AuthorisationContext {
  return context({ freshUntil: brandAs<Deadline>(1_000) });
}

function reasonOf(result: Result<unknown> | undefined): string {
  return result?.kind === 'refused' ? result.refusal.reason : 'fine';
}

const NIGHTLY = brandAs<QueueId>('nightly');
const OPEN = brandAs<QueueId>('open');

test('a key belongs to its team', (t) => {
  t.deepEqual(teamOfSender(credentials('k-holds'), context()), {
    kind: 'done',
    value: brandAs('holds'),
  });
});

test('a missing, unknown, wrong, withdrawn or operator key belongs to no team', (t) => {
  const reason = (sender: Parameters<typeof teamOfSender>[0]) =>
    reasonOf(teamOfSender(sender, context()));
  t.is(reason(null), 'key_missing');
  t.is(reason(credentials('k-nobody')), 'key_unknown');
  t.is(reason(credentials('k-holds', 'rose')), 'key_unknown');
  t.is(reason(credentials('k-holds', '')), 'key_unknown');
  t.is(reason(credentials('k-old')), 'key_withdrawn');
  t.is(reason(credentials('k-root')), 'queue_not_open_to_team');
});

test('a wrong secret for a withdrawn key does not reveal the withdrawal', (t) => {
  t.is(reasonOf(teamOfSender(credentials('k-old', 'rose'), context())), 'key_unknown');
});

test('a refusal does not contain the secret', (t) => {
  const refused = teamOfSender(credentials('k-holds', 'rose-4711'), context());
  t.notRegex(JSON.stringify(refused), /rose-4711/);
});

test('a queue accepts only the teams that it names', (t) => {
  t.is(reasonOf(teamForQueue(credentials('k-holds'), NIGHTLY, context())), 'fine');
  t.is(
    reasonOf(teamForQueue(credentials('k-spares'), NIGHTLY, context())),
    'queue_not_open_to_team',
  );
  t.is(reasonOf(teamForQueue(null, NIGHTLY, context())), 'key_missing');
});

test('only a known key learns that a queue does not exist', (t) => {
  const nowhere = brandAs<QueueId>('nowhere');
  t.is(reasonOf(teamForQueue(credentials('k-holds'), nowhere, context())), 'unknown_queue');
  t.is(reasonOf(teamForQueue(null, nowhere, context())), 'key_missing');
});

test('an open queue requires no key and no fresh configuration', (t) => {
  const guests = { kind: 'done', value: brandAs('guests') } as const;
  t.deepEqual(teamForQueue(null, OPEN, context()), guests);
  t.deepEqual(teamForQueue(credentials('k-nobody'), OPEN, staleContext()), guests);
});

test('keys are refused while the configuration is stale', (t) => {
  t.is(reasonOf(teamOfSender(credentials('k-holds'), staleContext())), 'configuration_stale');
  t.is(
    reasonOf(teamForQueue(credentials('k-holds'), NIGHTLY, staleContext())),
    'configuration_stale',
  );
  t.is(reasonOf(operatorRefusal(credentials('k-root'), staleContext())), 'configuration_stale');
});

test('operator keys come from the configuration and from the settings', (t) => {
  const reason = (sender: Parameters<typeof operatorRefusal>[0], known = context()) =>
    reasonOf(operatorRefusal(sender, known));
  t.is(reason(credentials('k-root')), 'fine');
  t.is(reason(credentials('k-first')), 'fine');
  t.is(reason(credentials('k-first'), staleContext()), 'fine');
  t.is(reason(credentials('k-first', 'rose')), 'key_unknown');
  t.is(reason(credentials('k-holds')), 'not_operator');
  t.is(reason(null), 'key_missing');
});
