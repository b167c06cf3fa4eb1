import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test, { type ExecutionContext } from 'ava';
import { Verdict } from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import { failure, type ServiceHandlers } from '../fixtures/fake-daemon.js';
import { configuration, operatorDaemon } from '../fixtures/operator-daemon.js';
import { AutoAdvancingClock, run } from '../fixtures/run.js';

const LABS = { id: 'labs', share: 3, limit: { cores: 1, memoryGib: 1 } };

/** Creates a folder with one file of declarations. */
async function declarationsFolder(t: ExecutionContext, content: unknown): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'bamboowell-'));
  t.teardown(() => rm(folder, { recursive: true }));
  const text = typeof content === 'string' ? content : JSON.stringify(content);
  await writeFile(join(folder, 'all.json'), text);
  return folder;
}

const DECLARED = {
  teams: [LABS],
  queues: [{ id: 'holds', openFor: 'labs', maxWaiting: 5 }],
  dataCentres: [{ id: 'nairobi-1', region: 'nairobi' }],
};

const AS_CONFIGURED = { ...DECLARED, teams: [{ ...LABS, share: 2 }] };

test('plan shows the changes and applies none', async (t) => {
  const { applied, options } = await operatorDaemon(t);
  const ran = await run(['plan', await declarationsFolder(t, DECLARED)], options);
  t.is(ran.code, 0);
  t.is(ran.stdout, '~ team labs: share 2 -> 3\n');
  t.is(ran.stderr, '1 changes to version 7\n');
  t.deepEqual(applied, []);
});

test('plan says if the daemon may not have the latest version', async (t) => {
  const { options } = await operatorDaemon(t, {
    getConfiguration: () => ({ configuration: configuration(7), fresh: false }),
  });
  const ran = await run(['plan', await declarationsFolder(t, DECLARED)], options);
  t.regex(ran.stderr, /can’t show that this version is the latest/);
});

test('diff exits with 2 if there is a difference and with 0 if there is none', async (t) => {
  const { options } = await operatorDaemon(t);
  const differing = await run(['diff', await declarationsFolder(t, DECLARED)], options);
  t.is(differing.code, 2);
  const same = await run(['diff', await declarationsFolder(t, AS_CONFIGURED)], options);
  t.deepEqual([same.code, same.stdout], [0, '']);
});

test('invalid declarations exit with 1, name file and path, and call no daemon', async (t) => {
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
  const { applied, options } = await operatorDaemon(t);
  const ran = await run(['apply', await declarationsFolder(t, DECLARED)], options);
  t.is(ran.code, 0);
  t.regex(ran.stderr, /version 8 was accepted/);
  t.is(applied.length, 1);
  t.like(applied[0], {
    base: 7,
    changes: [{ change: { case: 'putTeam', value: { id: 'labs', share: 3 } } }],
  });
});

test('apply sends nothing if there are no changes', async (t) => {
  const { applied, options } = await operatorDaemon(t);
  const ran = await run(['apply', await declarationsFolder(t, AS_CONFIGURED)], options);
  t.is(ran.code, 0);
  t.deepEqual(applied, []);
});

test('a conflict shows both versions and exits with 3', async (t) => {
  let version = 7;
  const { options } = await operatorDaemon(t, {
    getConfiguration: () => ({ configuration: configuration(version), fresh: true }),
    applyChanges: () => {
      version = 9;
      throw failure(Verdict.NOT_RUN, 'configuration_conflict', 'another version is current');
    },
  });
  const ran = await run(['apply', await declarationsFolder(t, DECLARED)], options);
  t.is(ran.code, 3);
  t.regex(ran.stderr, /based on version 7, but version 9 is current/);
});

test('an apply without an answer exits with 4', async (t) => {
  const { options } = await operatorDaemon(t, {
    applyChanges: () => {
      throw failure(Verdict.MAY_HAVE_RUN, 'outcome_unknown', 'the log did not answer');
    },
  });
  t.is((await run(['apply', await declarationsFolder(t, DECLARED)], options)).code, 4);
});

/** A handler that reports the version in force everywhere from the `confirmedAt`th request on. */
function enforcement(confirmedAt: number): NonNullable<ServiceHandlers['operator']> {
  let requests = 0;
  return {
    getEnforcement: ({ version }) => {
      requests += 1;
      const everywhere = requests >= confirmedAt;
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

test('apply --wait waits until the version is in force everywhere', async (t) => {
  const { options } = await operatorDaemon(t, enforcement(3));
  const ran = await run(['apply', await declarationsFolder(t, DECLARED), '--wait'], {
    ...options,
    clock: new AutoAdvancingClock(),
    isTerminal: true,
  });
  t.is(ran.code, 0);
  t.regex(ran.stderr, /version 8 is not confirmed by entry-2, entry-3/);
  t.regex(ran.stderr, /version 8 is in force everywhere/);
});

test('apply --wait names the daemons that have not confirmed and exits with 4', async (t) => {
  const { options } = await operatorDaemon(t, enforcement(Infinity));
  const args = ['apply', await declarationsFolder(t, DECLARED), '--wait', '--json'];
  const ran = await run(args, { ...options, clock: new AutoAdvancingClock() });
  t.is(ran.code, 4);
  t.like(JSON.parse(ran.stdout), {
    base: 7,
    version: 8,
    enforcement: { kind: 'pending', members: ['entry-2', 'entry-3'] },
  });
});

test('export writes declarations that give no changes, and replaces files only with --force', async (t) => {
  const { options } = await operatorDaemon(t);
  const folder = join(await declarationsFolder(t, {}), 'exported');
  t.is((await run(['export', folder], options)).code, 0);
  t.false((await readFile(join(folder, 'teams.json'), 'utf8')).includes('secret'));
  t.is((await run(['diff', folder], options)).code, 0);
  const again = await run(['export', folder], options);
  t.is(again.code, 1);
  t.regex(again.stderr, /already exists/);
  t.is((await run(['export', folder, '--force'], options)).code, 0);
});
