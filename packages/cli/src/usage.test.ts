import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test, { type ExecutionContext } from 'ava';
import { run } from './fixtures/run.js';
import { daemonUrls, keyFrom, UsageError } from './inputs.js';
import { commandNames } from './program.js';

async function fileWith(t: ExecutionContext, text: string): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'bamboowell-'));
  t.teardown(() => rm(folder, { recursive: true }));
  const path = join(folder, 'key');
  await writeFile(path, text);
  return path;
}

for (const [args, text] of [
  [['conquer'], /there is no command conquer/],
  [['submit', 'gang', '--queue=q'], /--tasks must be given/],
  [['submit', 'batch', '--queue', 'q', '--tasks', 'two'], /--tasks.*number/],
  [['submit', 'batch', '--queue', 'q', '--tasks', '0'], /--tasks/],
  [['submit', 'batch', '--queue', 'q', '--urgency', 'high'], /--urgency/],
  [['get', 'w', '--colour'], /Unsupported option name \("--colour"\)/],
  [['get'], /Not enough positional arguments/],
  [['get', 'w', '--daemon', 'ftp://x'], /expected a daemon as host:port/],
  [['get', 'w', '--daemon', 'x:99999999'], /expected a daemon as host:port/],
  [['get', 'w', '--key-file', '/absent/key'], /can't read \/absent\/key/],
  [['call', '--queue', 'q', '--payload', 'a', '--payload-file', 'b'], /either --payload or/],
  [['plan', '/absent'], /cannot read the folder \/absent/],
] as const) {
  test(`wrong usage exits with 1 and reports why: ${args.join(' ')}`, async (t) => {
    const ran = await run(args, { daemons: ['127.0.0.1:1'] });
    t.is(ran.code, 1);
    t.is(ran.stdout, '');
    t.regex(ran.stderr, text);
  });
}

test('every command has help with an example and the exit codes', async (t) => {
  for (const name of commandNames()) {
    const { code, stdout } = await run([...name.split(' '), '--help']);
    t.is(code, 0);
    t.regex(stdout, /Exit\s+codes:\s+0\s+done;/);
    t.regex(stdout, new RegExp(`Examples:\\n  # .*\\n  .*bamboowell ${name}`));
  }
});

test('help lists all commands', async (t) => {
  const { code, stdout } = await run(['help']);
  t.is(code, 0);
  for (const name of commandNames()) {
    t.true(stdout.includes(`  ${name} `));
  }
});

test('COMMAND-LINE.md has an example of each command and names only options that exist', async (t) => {
  const page = readFileSync(new URL('../../../docs/COMMAND-LINE.md', import.meta.url), 'utf8');
  const helps = await Promise.all(
    commandNames().map((name) => run([...name.split(' '), '--help'])),
  );
  const known = helps.map(({ stdout }) => stdout).join();
  for (const name of commandNames()) {
    t.regex(page, new RegExp(`### ${name}\\n[^#]*^ {4}bamboowell ${name} ?`, 'm'));
  }
  for (const option of page.match(/(?<=[\s`])--[a-z][a-z-]+/g) ?? []) {
    t.true(known.includes(`  ${option} `) || option === '--help', option);
  }
});

test('daemons come from options, else from the environment, else from the default', (t) => {
  const env = { BAMBOOWELL_DAEMONS: 'a:1, https://b:2' };
  t.deepEqual(daemonUrls(['c:3'], env), ['http://c:3']);
  t.deepEqual(daemonUrls([], env), ['http://a:1', 'https://b:2']);
  t.deepEqual(daemonUrls([], {}), ['http://127.0.0.1:8470']);
});

test('the key comes from a file or the environment and must have both parts', async (t) => {
  const path = await fileWith(t, 'labs-1.s3cret\n');
  t.is((await keyFrom(path, {}))?.reveal(), 'labs-1.s3cret');
  t.is((await keyFrom(undefined, { BAMBOOWELL_KEY_FILE: path }))?.reveal(), 'labs-1.s3cret');
  t.is((await keyFrom(undefined, { BAMBOOWELL_KEY: 'a.b' }))?.reveal(), 'a.b');
  t.is(await keyFrom(undefined, {}), undefined);
  const error = await t.throwsAsync(keyFrom(undefined, { BAMBOOWELL_KEY: 'tulip4711' }), {
    instanceOf: UsageError,
  });
  t.false(error.message.includes('tulip4711'));
});
