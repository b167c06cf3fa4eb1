import { createHash } from 'node:crypto';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { create } from '@bufbuild/protobuf';
import test, { type ExecutionContext } from 'ava';
import {
  ConfigurationSchema,
  Verdict,
  type ApplyChangesRequest,
  type Configuration,
} from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import { failure, fakeDaemon, type Answers } from '../fixtures/fake-daemon.js';
import { HastyClock, run, type Surroundings } from '../fixtures/run.js';

const LABS = { id: 'labs', share: 3, limit: { cores: 1, memoryGib: 1 } };

/** A folder with one file of declarations. */
async function declarationsFolder(t: ExecutionContext, content: unknown): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'bamboowell-'));
  t.teardown(() => rm(folder, { recursive: true }));
  const text = typeof content === 'string' ? content : JSON.stringify(content);
  await writeFile(join(folder, 'all.json'), text);
  return folder;
}

function configuration(version: number): Configuration {
  return create(ConfigurationSchema, {
    version,
    teams: [{ id: 'labs', share: 2, limit: { millicores: 1000, memoryMib: 1024 } }],
    queues: [{ id: 'holds', openFor: 'labs', maxWaiting: 5 }],
    keys: [
      { id: 'labs-1', team: 'labs', secretHash: 'a'.repeat(64) },
      { id: 'root', secretHash: 'b'.repeat(64), withdrawn: true },
    ],
    dataCentres: [{ id: 'nairobi-1', region: 'nairobi' }],
  });
}

/** A daemon that has a configuration at version 7 and applies changes. */
async function operatorDaemon(
  t: ExecutionContext,
  operator: NonNullable<Answers['operator']> = {},
) {
  const applied: ApplyChangesRequest[] = [];
  const daemon = await fakeDaemon({
    operator: {
      getConfiguration: () => ({ configuration: configuration(7), fresh: true }),
      applyChanges: (request) => {
        applied.push(request);
        return { version: request.base + 1 };
      },
      ...operator,
    },
  });
  t.teardown(daemon.close);
  const surroundings: Surroundings = { daemons: [daemon.address] };
  return { applied, surroundings };
}

const DECLARED = {
  teams: [LABS],
  queues: [{ id: 'holds', openFor: 'labs', maxWaiting: 5 }],
  dataCentres: [{ id: 'nairobi-1', region: 'nairobi' }],
};

const AS_CONFIGURED = { ...DECLARED, teams: [{ ...LABS, share: 2 }] };

test('plan shows the changes and applies none', async (t) => {
  const { applied, surroundings } = await operatorDaemon(t);
  const ran = await run(['plan', await declarationsFolder(t, DECLARED)], surroundings);
  t.is(ran.code, 0);
  t.is(ran.stdout, '~ team labs: share 2 -> 3\n');
  t.is(ran.stderr, '1 changes to version 7\n');
  t.deepEqual(applied, []);
});

test('plan says when the daemon may be behind', async (t) => {
  const { surroundings } = await operatorDaemon(t, {
    getConfiguration: () => ({ configuration: configuration(7), fresh: false }),
  });
  const ran = await run(['plan', await declarationsFolder(t, DECLARED)], surroundings);
  t.regex(ran.stderr, /can’t show that this version is the latest/);
});

test('diff exits with 2 if there is a difference and with 0 if there is none', async (t) => {
  const { surroundings } = await operatorDaemon(t);
  const differing = await run(['diff', await declarationsFolder(t, DECLARED)], surroundings);
  t.is(differing.code, 2);
  const same = await run(['diff', await declarationsFolder(t, AS_CONFIGURED)], surroundings);
  t.deepEqual([same.code, same.stdout], [0, '']);
});

test('wrong declarations exit with 1, name file and path, and ask no daemon', async (t) => {
  const folder = await declarationsFolder(t, { teams: [{ ...LABS, share: 0 }] });
  const ran = await run(['apply', folder]);
  t.is(ran.code, 1);
  t.regex(ran.stderr, /all\.json:1:\d+: teams\[0\]\.share: expected a whole number .* found 0/);
  const json = await run(['apply', folder, '--json']);
  t.is(json.code, 1);
  t.is((JSON.parse(json.stdout) as { problems: string[] }).problems.length, 1);
  const malformed = await run(['apply', await declarationsFolder(t, '{')]);
  t.deepEqual([malformed.code, malformed.stderr.includes('all.json:1:2')], [1, true]);
});

test('apply sends the changes with the version that they are based on', async (t) => {
  const { applied, surroundings } = await operatorDaemon(t);
  const ran = await run(['apply', await declarationsFolder(t, DECLARED)], surroundings);
  t.is(ran.code, 0);
  t.regex(ran.stderr, /version 8 was accepted/);
  t.is(applied.length, 1);
  t.like(applied[0], {
    base: 7,
    changes: [{ change: { case: 'putTeam', value: { id: 'labs', share: 3 } } }],
  });
});

test('apply sends nothing if all is as declared', async (t) => {
  const { applied, surroundings } = await operatorDaemon(t);
  const ran = await run(['apply', await declarationsFolder(t, AS_CONFIGURED)], surroundings);
  t.is(ran.code, 0);
  t.deepEqual(applied, []);
});

test('a conflict shows both versions and exits with 3', async (t) => {
  let version = 7;
  const { surroundings } = await operatorDaemon(t, {
    getConfiguration: () => ({ configuration: configuration(version), fresh: true }),
    applyChanges: () => {
      version = 9;
      throw failure(Verdict.NOT_RUN, 'configuration_conflict', 'another version is current');
    },
  });
  const ran = await run(['apply', await declarationsFolder(t, DECLARED)], surroundings);
  t.is(ran.code, 3);
  t.regex(ran.stderr, /based on version 7, but version 9 is current/);
});

test('an apply without an answer exits with 4', async (t) => {
  const { surroundings } = await operatorDaemon(t, {
    applyChanges: () => {
      throw failure(Verdict.MAY_HAVE_RUN, 'outcome_unknown', 'the log did not answer');
    },
  });
  t.is((await run(['apply', await declarationsFolder(t, DECLARED)], surroundings)).code, 4);
});

/** Enforcement that one member confirms at the `confirmedAt`th question. */
function enforcement(confirmedAt: number): NonNullable<Answers['operator']> {
  let questions = 0;
  return {
    getEnforcement: ({ version }) => {
      questions += 1;
      const everywhere = questions >= confirmedAt;
      return {
        everywhere,
        members: [
          { member: 'entry-1', version, reachable: true },
          { member: 'entry-2', version: everywhere ? version : version - 1, reachable: true },
          { member: 'entry-3', version, reachable: everywhere },
        ],
      };
    },
  };
}

test('apply --wait goes on until the version is in force everywhere', async (t) => {
  const { surroundings } = await operatorDaemon(t, enforcement(3));
  const ran = await run(['apply', await declarationsFolder(t, DECLARED), '--wait'], {
    ...surroundings,
    clock: new HastyClock(),
    isTerminal: true,
  });
  t.is(ran.code, 0);
  t.regex(ran.stderr, /version 8 is not confirmed by entry-2, entry-3/);
  t.regex(ran.stderr, /version 8 is in force everywhere/);
});

test('apply --wait names those that have not confirmed and exits with 4', async (t) => {
  const { surroundings } = await operatorDaemon(t, enforcement(Infinity));
  const args = ['apply', await declarationsFolder(t, DECLARED), '--wait', '--json'];
  const ran = await run(args, { ...surroundings, clock: new HastyClock() });
  t.is(ran.code, 4);
  t.like(JSON.parse(ran.stdout), {
    base: 7,
    version: 8,
    enforcement: { kind: 'pending', members: ['entry-2', 'entry-3'] },
  });
});

test('export writes declarations that give no changes, and replaces none unasked', async (t) => {
  const { surroundings } = await operatorDaemon(t);
  const folder = join(await declarationsFolder(t, {}), 'exported');
  t.is((await run(['export', folder], surroundings)).code, 0);
  t.false((await readFile(join(folder, 'teams.json'), 'utf8')).includes('secret'));
  t.is((await run(['diff', folder], surroundings)).code, 0);
  const again = await run(['export', folder], surroundings);
  t.is(again.code, 1);
  t.regex(again.stderr, /exists already/);
  t.is((await run(['export', folder, '--force'], surroundings)).code, 0);
});

test('key grant shows the key once and sends only the hash of its secret', async (t) => {
  const { applied, surroundings } = await operatorDaemon(t);
  const ran = await run(['key', 'grant', '--team', 'labs'], surroundings);
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
  const { applied, surroundings } = await operatorDaemon(t);
  const ran = await run(['key', 'grant', '--operator', '--id', 'asha', '--json'], surroundings);
  t.like(JSON.parse(ran.stdout), { id: 'asha', team: null, version: 8 });
  t.like(applied[0]?.changes[0]?.change, { value: { id: 'asha', team: '' } });
});

test('a grant is for a team or an operator, and under a new id', async (t) => {
  const { applied, surroundings } = await operatorDaemon(t);
  t.is((await run(['key', 'grant'], surroundings)).code, 1);
  t.is((await run(['key', 'grant', '--operator', '--team', 'labs'], surroundings)).code, 1);
  t.is((await run(['key', 'grant', '--team', 'labs', '--id', 'a.b'], surroundings)).code, 1);
  t.is((await run(['key', 'grant', '--team', 'labs', '--id', 'labs-1'], surroundings)).code, 3);
  t.deepEqual(applied, []);
});

/** Conflicts with other operators before the change is applied. */
function racingOperators(conflicts: number): NonNullable<Answers['operator']> {
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

test('a key is withdrawn also while other operators change the configuration', async (t) => {
  const { surroundings } = await operatorDaemon(t, racingOperators(3));
  const ran = await run(['key', 'withdraw', 'labs-1'], surroundings);
  t.is(ran.code, 0);
  t.regex(ran.stderr, /version 11 was accepted/);
});

test('a key command gives up after too many conflicts', async (t) => {
  const { surroundings } = await operatorDaemon(t, racingOperators(Infinity));
  t.is((await run(['key', 'withdraw', 'labs-1'], surroundings)).code, 3);
});

test('a key that is not known can’t be withdrawn', async (t) => {
  const { applied, surroundings } = await operatorDaemon(t);
  t.is((await run(['key', 'withdraw', 'nobody'], surroundings)).code, 3);
  t.deepEqual(applied, []);
});

test('a withdrawal without an answer says how to find out', async (t) => {
  const { surroundings } = await operatorDaemon(t, {
    applyChanges: () => {
      throw failure(Verdict.MAY_HAVE_RUN, 'outcome_unknown', 'the log did not answer');
    },
  });
  const ran = await run(['key', 'withdraw', 'labs-1'], surroundings);
  t.is(ran.code, 4);
  t.regex(ran.stderr, /bamboowell key list tells what became of key labs-1/);
});

test('key list shows ids and states, never hashes', async (t) => {
  const { surroundings } = await operatorDaemon(t);
  const ran = await run(['key', 'list'], surroundings);
  t.is(ran.stdout, 'labs-1\tlabs\tvalid\nroot\toperators\twithdrawn\n');
  const json = await run(['key', 'list', '--json'], surroundings);
  t.false(json.stdout.includes('aaaa'));
});

function statusAnswers(): NonNullable<Answers['operator']> {
  return {
    getStatus: () => ({
      member: 'entry-1',
      version: 7,
      fresh: true,
      members: [{ member: 'entry-2', version: 6, reachable: false }],
      shards: ['nairobi-1', 'nairobi-2'].map((shard) => ({
        shard,
        owner: shard === 'nairobi-1' ? 'entry-1' : '',
        epoch: 4,
        fresh: true,
        waiting: 2,
        running: 1,
        teams: [{ team: 'labs', running: { millicores: 250 }, waiting: 2 }],
        workers: [{ worker: `${shard}-w`, state: 'quarantined', capacity: { slots: 8 } }],
      })),
    }),
  };
}

test('status sums up teams over shards and shows what is missing', async (t) => {
  const { surroundings } = await operatorDaemon(t, statusAnswers());
  const ran = await run(['status'], surroundings);
  t.is(ran.code, 0);
  const rows = ran.stdout.split('\n').map((line) => line.split('\t'));
  const rowsOf = (name: string) => rows.filter(([first]) => first === name);
  t.deepEqual(rowsOf('daemon'), [['daemon', 'entry-2', '6', 'no']]);
  t.deepEqual(
    rowsOf('shard').map((row) => row.slice(1, 4)),
    [
      ['nairobi-1', 'entry-1', '4'],
      ['nairobi-2', 'none', '4'],
    ],
  );
  const [labs] = rowsOf('team');
  t.deepEqual(labs?.slice(0, 3), ['team', 'labs', '2']);
  t.is(labs?.[3], '0.5 cores, 0 GiB, 0 accelerators, 0 slots');
  t.is(labs?.at(-1), '4');
  t.is(rowsOf('worker').length, 2);
});

test('status is a table with headings for people and the schema’s JSON for programs', async (t) => {
  const { surroundings } = await operatorDaemon(t, statusAnswers());
  const forPeople = await run(['status'], { ...surroundings, isTerminal: true });
  t.regex(forPeople.stdout, /^SHARD +OWNER +EPOCH +FRESH/m);
  const forPrograms = await run(['status', '--json'], surroundings);
  t.like(JSON.parse(forPrograms.stdout), { member: 'entry-1', shards: [{ owner: 'entry-1' }] });
});

test('a refused operator exits with 3', async (t) => {
  const { surroundings } = await operatorDaemon(t, {
    getConfiguration: () => {
      throw failure(Verdict.NOT_RUN, 'not_operator', 'the key is a team’s');
    },
  });
  const ran = await run(['status'], surroundings);
  t.is(ran.code, 3);
  t.regex(ran.stderr, /not run: not_operator/);
});
