import test from 'ava';
import { writeFile, mkdtemp, rm } from 'node:fs/promises';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'undici';
import { startHarness, call, faultsOf, QUEUE, type CellHarness } from './harness.fixture.js';
import { modulePath } from './child.js';

let harness: CellHarness;

test.before(async () => {
  harness = await startHarness();
});

test.after.always(async () => {
  await harness.cell.stop();
});

interface Answer {
  readonly status: number;
  readonly verdict: string;
  readonly reason: string;
  readonly field: string;
}

interface ErrorBody {
  readonly details: readonly { readonly debug: Partial<Record<string, string>> }[];
}

async function post(method: string, body: string, key = harness.key): Promise<Answer> {
  const [daemon = ''] = harness.cell.daemonIds;
  const address = harness.cell.callerAddress(daemon);
  const { statusCode, body: answer } = await request(
    `http://${address}/bamboowell.v1.CallerService/${method}`,
    {
      method: 'POST',
      headers: { 'content-type': 'application/json', authorization: `Bearer ${key}` },
      body,
    },
  );
  const { details } = (await answer.json()) as ErrorBody;
  const { verdict = '', reason = '', field = '' } = details[0]?.debug ?? {};
  return { status: statusCode, verdict, reason, field };
}

function submitBody(changes: object = {}): string {
  return JSON.stringify({
    queue: QUEUE,
    requestId: 'bad-input',
    batch: { tasks: 1 },
    demand: { millicores: 1000, memoryMib: 64 },
    payload: 'x',
    ...changes,
  });
}

const OVERSIZE_CHARS = 8_000_000;
const OVERSIZE_ROUNDS = 10;
const NOT_RUN = 'VERDICT_NOT_RUN';

function expected(status: number, reason: string, field = ''): Answer {
  return { status, verdict: NOT_RUN, reason, field };
}

test.serial('bad input is refused with its field, and the daemon keeps serving', async (t) => {
  const long = 'x'.repeat(70_000);
  t.deepEqual(await post('Submit', '{"queue": '), expected(400, 'malformed'));
  t.deepEqual(
    await post('Submit', submitBody({ prio: 1 })),
    expected(400, 'unknown_field', 'prio'),
  );
  t.deepEqual(
    await post('Submit', submitBody({ requestId: 7 })),
    expected(400, 'malformed', 'requestId'),
  );
  t.deepEqual(
    await post('Submit', submitBody({ payload: long })),
    expected(400, 'malformed', 'payload'),
  );
  t.deepEqual(
    await post('Submit', submitBody(), 'drone-lab-key.wrong'),
    expected(401, 'key_unknown', 'authorization'),
  );
  t.deepEqual(
    await post('Submit', submitBody(), 'no key'),
    expected(400, 'malformed', 'authorization'),
  );
  t.deepEqual(
    await post('Submit', submitBody({ queue: 'no-such' })),
    expected(404, 'unknown_queue', 'queue'),
  );
  t.deepEqual(
    await post('Submit', submitBody({ demand: {} })),
    expected(400, 'malformed', 'demand'),
  );
  t.deepEqual(
    await post('Submit', submitBody({ demand: { millicores: 900_000 } })),
    expected(400, 'impossible_size', 'demand'),
  );
  t.deepEqual(
    await post('Submit', submitBody({ batch: undefined })),
    expected(400, 'malformed', 'shape'),
  );
  t.deepEqual(
    await post('Get', JSON.stringify({ workId: 'x' })),
    expected(400, 'malformed', 'workId'),
  );
  t.deepEqual(await post('Cancel', '{}'), expected(400, 'malformed', 'workIds'));
  for (const daemon of harness.cell.daemonIds) {
    t.is((await call(harness, daemon)).kind, 'answered');
  }
  t.deepEqual(await faultsOf(harness), []);
});

test.serial('an oversize body is refused, and the refusal arrives', async (t) => {
  const huge = submitBody({ payload: 'x'.repeat(OVERSIZE_CHARS) });
  for (let round = 0; round < OVERSIZE_ROUNDS; round += 1) {
    t.deepEqual(await post('Submit', huge), expected(429, 'body_too_large'));
  }
});

/** Runs the daemon with the settings until it exits. */
async function runWith(settings: string): Promise<{ code: unknown; errorOutput: string }> {
  const directory = await mkdtemp(join(tmpdir(), 'bamboowell-settings-'));
  const file = join(directory, 'settings.json');
  await writeFile(file, settings);
  const child = spawn(process.execPath, [modulePath('daemon'), '--settings', file], {
    stdio: ['ignore', 'ignore', 'pipe'],
  });
  const chunks: Buffer[] = [];
  child.stderr.on('data', (chunk: Buffer) => chunks.push(chunk));
  const [code] = (await once(child, 'close')) as [unknown];
  await rm(directory, { recursive: true });
  return { code, errorOutput: Buffer.concat(chunks).toString('utf8') };
}

test('a daemon with bad settings exits with an error that names their paths', async (t) => {
  const settings = {
    memberId: 'entry-9',
    region: 'east-africa',
    dataCentre: 'nairobi-a',
    callers: { host: '127.0.0.1', port: 99_999 },
    peers: { host: '127.0.0.1', port: 1 },
    log: { url: 'http://127.0.0.1:1' },
    vmList: { url: 'http://127.0.0.1:1' },
    operators: [],
    colour: 'green',
  };
  const { code, errorOutput } = await runWith(JSON.stringify(settings));
  t.is(code, 1);
  t.regex(errorOutput, /callers\.port: expected/);
  t.regex(errorOutput, /colour: expected/);
  const broken = await runWith('{"memberId": ');
  t.is(broken.code, 1);
  t.regex(broken.errorOutput, /expected/);
});
