import { createHash } from 'node:crypto';
import test from 'ava';
import { Verdict } from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import { failure, type ServiceHandlers } from '../fixtures/fake-daemon.js';
import { configuration, operatorDaemon } from '../fixtures/operator-daemon.js';
import { run } from '../fixtures/run.js';

test('key grant shows the key once and sends only the hash of its secret', async (t) => {
  const { applied, options } = await operatorDaemon(t);
  const ran = await run(['key', 'grant', '--team', 'labs'], options);
  t.is(ran.code, 0);
  const [, id, secret = ''] = /^(labs-[0-9a-f]{8})\.([\w-]{43})\n$/.exec(ran.stdout) ?? [];
  const secretHash = createHash('sha256').update(secret).digest('hex');
  const [request] = applied;
  t.like(request?.changes[0]?.change, {
    case: 'putKey',
    value: { id, team: 'labs', secretHash, withdrawn: false },
  });
  t.false(JSON.stringify(applied).includes(secret));
  t.false(ran.stderr.includes(secret));
});

test('an operator’s key has no team', async (t) => {
  const { applied, options } = await operatorDaemon(t);
  const ran = await run(['key', 'grant', '--operator', '--id', 'asha', '--json'], options);
  t.like(JSON.parse(ran.stdout), { id: 'asha', team: null, version: 8 });
  t.like(applied[0]?.changes[0]?.change, { value: { id: 'asha', team: '' } });
});

test('a grant is for a team or an operator, and under a new id', async (t) => {
  const { applied, options } = await operatorDaemon(t);
  t.is((await run(['key', 'grant'], options)).code, 1);
  t.is((await run(['key', 'grant', '--operator', '--team', 'labs'], options)).code, 1);
  t.is((await run(['key', 'grant', '--team', 'labs', '--id', 'a.b'], options)).code, 1);
  t.is((await run(['key', 'grant', '--team', 'labs', '--id', 'labs-1'], options)).code, 3);
  t.deepEqual(applied, []);
});

/** Handlers that cause `conflicts` conflicts with other operators before a change is applied. */
function racingOperators(conflicts: number): NonNullable<ServiceHandlers['operator']> {
  let version = 7;
  return {
    getConfiguration: () => ({ configuration: configuration(version), fresh: true }),
    applyChanges: ({ base }) => {
      if (version < 7 + conflicts) {
        version += 1;
        throw failure(Verdict.NOT_RUN, 'configuration_conflict', 'another version is current');
      }
      return { version: base + 1 };
    },
  };
}

test('a key is withdrawn even while other operators change the configuration', async (t) => {
  const { options } = await operatorDaemon(t, racingOperators(3));
  const ran = await run(['key', 'withdraw', 'labs-1'], options);
  t.is(ran.code, 0);
  t.regex(ran.stderr, /version 11 was accepted/);
});

test('a key command gives up after too many conflicts', async (t) => {
  const { options } = await operatorDaemon(t, racingOperators(Infinity));
  t.is((await run(['key', 'withdraw', 'labs-1'], options)).code, 3);
});

test('an unknown key can’t be withdrawn', async (t) => {
  const { applied, options } = await operatorDaemon(t);
  t.is((await run(['key', 'withdraw', 'nobody'], options)).code, 3);
  t.deepEqual(applied, []);
});

test('a withdrawal without an answer says how to check its outcome', async (t) => {
  const { options } = await operatorDaemon(t, {
    applyChanges: () => {
      throw failure(Verdict.MAY_HAVE_RUN, 'outcome_unknown', 'the log did not answer');
    },
  });
  const ran = await run(['key', 'withdraw', 'labs-1'], options);
  t.is(ran.code, 4);
  t.regex(ran.stderr, /bamboowell key list shows the state of key labs-1/);
});

test('key list shows ids and states, never hashes', async (t) => {
  const { options } = await operatorDaemon(t);
  const ran = await run(['key', 'list'], options);
  t.is(ran.stdout, 'labs-1\tlabs\tvalid\nroot\toperators\twithdrawn\n');
  const json = await run(['key', 'list', '--json'], options);
  t.false(json.stdout.includes('aaaa'));
});
