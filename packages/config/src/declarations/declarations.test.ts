import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test, { type ExecutionContext } from 'ava';
import fc from 'fast-check';
import type { Configuration, DataCentre, Key, Queue, Team } from '@bamboowell/types/declarations';
import { brandAs, type Branded } from '@bamboowell/types/ids';
import { describeChange } from './describe.js';
import { exportDeclarations } from './export.js';
import { FolderError, readFolder, writeFolder } from './folder.js';
import {
  describeFileProblem,
  parseDeclarations,
  type Declarations,
  type DeclarationsFile,
} from './parse.js';
import { planChanges } from './plan.js';

const LABS = { id: 'labs', share: 3, limit: { cores: 12.5, memoryGib: 64, slots: 16 } };
const HOLDS = { id: 'holds', teams: ['labs'], maxWaiting: 10 };
const NAIROBI = { id: 'nairobi-1', region: 'nairobi' };

function declarationsFile(content: unknown, name = 'a.json'): DeclarationsFile {
  return { name, text: JSON.stringify(content) };
}

function declarationsOf(...contents: unknown[]): Declarations {
  const files = contents.map((content, index) => declarationsFile(content, `${index}.json`));
  const parsed = parseDeclarations(files);
  if (parsed.kind === 'invalid') {
    throw new Error(parsed.problems.map(describeFileProblem).join('\n'));
  }
  return parsed.declarations;
}

function problemLines(...files: DeclarationsFile[]): string[] {
  const parsed = parseDeclarations(files);
  return parsed.kind === 'valid' ? [] : parsed.problems.map(describeFileProblem);
}

function configurationOf(declarations: Declarations, keys: Key[] = []): Configuration {
  return { ...declarations, keys: new Map(keys.map((key) => [key.id, key])), version: brandAs(7) };
}

function keyOf(id: string, team: string): Key {
  return {
    id: brandAs(id),
    team: brandAs<Key['team'] & string>(team),
    secretHash: 'a'.repeat(64),
    withdrawn: false,
  };
}

async function folderOf(t: ExecutionContext, files: Record<string, string>): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'declarations-'));
  t.teardown(() => rm(folder, { recursive: true }));
  for (const [name, text] of Object.entries(files)) {
    await writeFile(join(folder, name), text);
  }
  return folder;
}

/** A record with the standard object prototype, as parsed JSON objects have. */
function plainRecord<Fields>(fields: { [Field in keyof Fields]: fc.Arbitrary<Fields[Field]> }) {
  return fc.record(fields, { noNullPrototype: true });
}

/** Any configuration whose queues refer only to teams in it. */
function anyConfiguration(): fc.Arbitrary<Configuration> {
  const id = <Id extends Branded<string, string>>() =>
    fc.stringMatching(/^[a-z0-9][a-z0-9-]{0,9}$/) as unknown as fc.Arbitrary<Id>;
  const amount = fc.nat({ max: 4_000_000_000 });
  const limit = plainRecord({
    millicores: amount,
    memoryMib: amount,
    accelerators: amount,
    slots: amount,
  });
  const team: fc.Arbitrary<Team> = plainRecord({
    id: id<Team['id']>(),
    share: fc.integer({ min: 1, max: 1_000_000 }),
    limit,
  });
  const teams = fc.uniqueArray(team, { minLength: 1, maxLength: 6, selector: ({ id }) => id });
  return teams.chain((chosen) => {
    const teamId = fc.constantFrom(...chosen.map(({ id }) => id));
    const queue: fc.Arbitrary<Queue> = plainRecord({
      id: id<Queue['id']>(),
      access: fc.oneof(
        plainRecord({ kind: fc.constant('open' as const), team: teamId }),
        plainRecord({ kind: fc.constant('teams' as const), teams: fc.array(teamId) }),
      ),
      maxWaiting: fc.integer({ min: 1, max: 4_000_000_000 }),
    });
    const dataCentre: fc.Arbitrary<DataCentre> = plainRecord({
      id: id<DataCentre['id']>(),
      region: id<DataCentre['region']>(),
    });
    return plainRecord({
      version: fc.constant(brandAs<Configuration['version']>(3)),
      teams: fc.constant(mapOf(chosen)),
      queues: fc.array(queue, { maxLength: 6 }).map(mapOf),
      keys: fc.constant(new Map([[brandAs<Key['id']>('k'), keyOf('k', chosen[0]?.id ?? '')]])),
      dataCentres: fc.array(dataCentre, { maxLength: 6 }).map(mapOf),
    });
  });
}

function mapOf<Item extends { readonly id: string }>(
  items: readonly Item[],
): Map<Item['id'], Item> {
  return new Map(items.map((item) => [item.id, item]));
}

test('several files together declare teams, queues and data centres', (t) => {
  const declared = declarationsOf({ teams: [LABS] }, { queues: [HOLDS], dataCentres: [NAIROBI] });
  t.deepEqual([...declared.teams.values()] as unknown[], [
    {
      id: 'labs',
      share: 3,
      limit: { millicores: 12_500, memoryMib: 65_536, accelerators: 0, slots: 16 },
    },
  ]);
  t.deepEqual([...declared.queues.values()] as unknown[], [
    { id: 'holds', access: { kind: 'teams', teams: ['labs'] }, maxWaiting: 10 },
  ]);
});

test('each problem has file, position, path, expected and found value', (t) => {
  const text = `{
  "teams": [
    { "id": "labs", "share": 0, "limit": { "cores": 0.0001, "memoryGib": "64" } }
  ],
  "keys": []
}`;
  t.deepEqual(problemLines({ name: 'teams.json', text }), [
    'teams.json:3:30: teams[0].share: expected a whole number from 1 to 1000000, found 0',
    'teams.json:3:53: teams[0].limit.cores: expected a number from 0 to 4000000 with at most three decimals, found 0.0001',
    'teams.json:3:74: teams[0].limit.memoryGib: expected a number from 0 to 4000000, found "64"',
    'teams.json:5:11: keys: expected one of the fields $schema, teams, queues, dataCentres, found []',
  ]);
});

test('malformed JSON in one file does not hide the problems of another', (t) => {
  const malformed = { name: 'a.json', text: '{\n "teams": [}' };
  const invalid = declarationsFile({ queues: 3 }, 'b.json');
  t.deepEqual(problemLines(malformed, invalid), [
    'a.json:2:12: expected a value, found "}"',
    'b.json:1:11: queues: expected a list, found 3',
  ]);
});

test('a queue has either teams or openFor', (t) => {
  const both = { ...HOLDS, openFor: 'labs' };
  const neither = { id: 'holds', maxWaiting: 1 };
  for (const queue of [both, neither]) {
    const lines = problemLines(declarationsFile({ teams: [LABS], queues: [queue] }));
    t.is(lines.length, 1);
    t.regex(lines[0] ?? '', /queues\[0\]: expected either teams or openFor/);
  }
});

test('an id that two files declare is a problem of the second file', (t) => {
  t.deepEqual(
    problemLines(
      declarationsFile({ teams: [LABS] }, 'a.json'),
      declarationsFile({ teams: [LABS] }, 'b.json'),
    ),
    [
      'b.json:1:17: teams[0].id: expected a unique id, found "labs", also used in a.json at teams[0].id',
    ],
  );
});

test('a queue that refers to an undeclared team is a problem', (t) => {
  const queues = [
    { ...HOLDS, teams: ['labs', 'ghosts'] },
    { id: 'walk-ins', openFor: 'nobody', maxWaiting: 1 },
  ];
  const lines = problemLines(declarationsFile({ teams: [LABS], queues }));
  t.is(lines.length, 2);
  t.regex(lines[0] ?? '', /queues\[0\]\.teams\[1\]: expected a declared team, found "ghosts"/);
  t.regex(lines[1] ?? '', /queues\[1\]\.openFor: expected a declared team, found "nobody"/);
});

test('a plan puts new and changed items, removes undeclared ones and leaves keys alone', (t) => {
  const before = declarationsOf({
    teams: [LABS, { ...LABS, id: 'gone' }],
    queues: [HOLDS, { ...HOLDS, id: 'old' }],
    dataCentres: [NAIROBI],
  });
  const wanted = declarationsOf({
    teams: [
      { ...LABS, share: 4 },
      { ...LABS, id: 'new' },
    ],
    queues: [HOLDS],
  });
  const current = configurationOf(before, [keyOf('k', 'labs')]);
  const changes = planChanges(current, wanted);
  t.deepEqual(
    changes.flatMap((change) => describeChange(change, current)),
    [
      '~ team labs: share 3 -> 4',
      '+ team new: share 3, limit 12.5 cores, 64 GiB, 16 slots',
      '- queue old',
      '- team gone',
      '- data centre nairobi-1',
    ],
  );
});

test('a different order of a queue’s teams is not a change', (t) => {
  const teams = [LABS, { ...LABS, id: 'roofing' }];
  const before = declarationsOf({ teams, queues: [{ ...HOLDS, teams: ['roofing', 'labs'] }] });
  const wanted = declarationsOf({ teams, queues: [{ ...HOLDS, teams: ['labs', 'roofing'] }] });
  t.deepEqual(planChanges(configurationOf(before), wanted), []);
});

test('changes of keys are described', (t) => {
  const current = configurationOf(declarationsOf({ teams: [LABS] }), [keyOf('k', 'labs')]);
  const lines = [
    { kind: 'put_key', key: { ...keyOf('operator', 'labs'), team: null } } as const,
    { kind: 'put_key', key: { ...keyOf('k', 'labs'), withdrawn: true } } as const,
    { kind: 'withdraw_key', id: brandAs<Key['id']>('k') } as const,
  ].flatMap((change) => describeChange(change, current));
  t.deepEqual(lines, [
    '+ key operator: for operators, withdrawn no',
    '~ key k: withdrawn no -> yes',
    '- key k',
  ]);
});

test('an exported configuration, read again, gives no changes', (t) => {
  fc.assert(
    fc.property(anyConfiguration(), (configuration) => {
      const parsed = parseDeclarations(exportDeclarations(configuration));
      t.is(parsed.kind, 'valid');
      if (parsed.kind === 'valid') {
        t.deepEqual(planChanges(configuration, parsed.declarations), []);
      }
    }),
    { seed: 20261204, numRuns: 300 },
  );
});

test('JSON files of a folder are read in order; schemas and other files are skipped', async (t) => {
  const folder = await folderOf(t, { 'b.json': '{}', 'a.json': '{}', 'x.schema.json': '', c: '' });
  const files = await readFolder(folder);
  t.deepEqual(
    files.map(({ name }) => name),
    [join(folder, 'a.json'), join(folder, 'b.json')],
  );
});

test('a folder without declarations is an error, so that it removes nothing', async (t) => {
  const folder = await folderOf(t, { 'readme.md': '' });
  await t.throwsAsync(readFolder(folder), { instanceOf: FolderError, message: /no \*\.json file/ });
  await t.throwsAsync(readFolder(join(folder, 'absent')), { instanceOf: FolderError });
});

test('existing files are replaced only if requested', async (t) => {
  const folder = await folderOf(t, { 'a.json': 'old' });
  const files = [{ name: 'a.json', text: 'new' }];
  await t.throwsAsync(writeFolder(folder, files, false), { message: /already exists/ });
  t.is((await readFolder(folder))[0]?.text, 'old');
  await writeFolder(folder, files, true);
  t.is((await readFolder(folder))[0]?.text, 'new');
});
