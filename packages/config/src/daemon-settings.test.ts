import test from 'ava';
import { OVERRIDES, parseSettings } from './daemon-settings.js';
import { describeProblem } from './problem.js';

function minimalSettings(changes: object = {}) {
  return {
    memberId: 'entry-1',
    region: 'kenya',
    dataCentre: 'nairobi-1',
    log: { url: 'http://127.0.0.1:9000' },
    vmList: { url: 'http://127.0.0.1:9001' },
    ...changes,
  };
}

function validSettings(changes: object, environment: Record<string, string> = {}) {
  const parsed = parseSettings(JSON.stringify(minimalSettings(changes)), environment);
  if (parsed.kind === 'invalid') {
    throw new Error(JSON.stringify(parsed.problems));
  }
  return parsed.settings;
}

function linesOf(text: string, environment: Record<string, string> = {}): string[] {
  const parsed = parseSettings(text, environment);
  return parsed.kind === 'valid'
    ? []
    : parsed.problems.map((problem) => describeProblem('d.json', problem));
}

function problemLines(changes: object, environment: Record<string, string> = {}): string[] {
  return linesOf(JSON.stringify(minimalSettings(changes)), environment);
}

test('a minimal file gets the defaults', (t) => {
  const settings = validSettings({});
  t.like(settings, {
    memberId: 'entry-1',
    callers: { host: '127.0.0.1', port: 8470, maxBodyBytes: 1024 * 1024 },
    peers: { port: 8471 },
    log: { appendsPerSecond: 30 },
    operators: [],
    metrics: null,
    placement: 'best_fit',
    ordering: 'fair_share',
  });
  t.true(settings.leases.renewMillis < settings.leases.leaseMillis);
});

test('variables override settings and are parsed by the type of the setting', (t) => {
  const settings = validSettings(
    {},
    {
      BAMBOOWELL_MEMBER_ID: '17',
      BAMBOOWELL_CALLERS_MAX_BODY_BYTES: '99',
      BAMBOOWELL_CALLERS_TLS_CERT_FILE: 'a.crt',
      BAMBOOWELL_CALLERS_TLS_KEY_FILE: 'a.key',
      BAMBOOWELL_METRICS_HOST: '127.0.0.1',
      BAMBOOWELL_METRICS_PORT: '8125',
      BAMBOOWELL_OPERATORS: `[{"id": "root", "secretHash": "${'a'.repeat(64)}"}]`,
      BAMBOOWELL_KEY: 'of the command line',
      HOME: '/nowhere',
    },
  );
  t.like(settings, {
    memberId: '17',
    callers: { maxBodyBytes: 99, tls: { certFile: 'a.crt', keyFile: 'a.key' } },
    metrics: { host: '127.0.0.1', port: 8125 },
    operators: [{ id: 'root' }],
  });
});

test('each setting has one variable', (t) => {
  const variables = OVERRIDES.map(({ variable }) => variable);
  t.is(new Set(variables).size, variables.length);
  t.true(variables.includes('BAMBOOWELL_CALLERS_TLS_CERT_FILE'));
});

test('every problem has its path, what was expected and what was found', (t) => {
  t.deepEqual(
    problemLines({
      memberId: undefined,
      region: 'no spaces',
      callers: { port: 70000 },
      peers: { colour: 'red' },
      placement: 'worst_fit',
      log: { url: 'ftp://x' },
      leases: { leaseMillis: 100, renewMillis: 100 },
    }).map((line) => line.replace(/^d\.json:\d+:\d+: /, '')),
    [
      'memberId: expected an id of 1 to 63 lower-case letters, digits and hyphens, found nothing',
      'region: expected an id of 1 to 63 lower-case letters, digits and hyphens, found "no spaces"',
      'callers.port: expected a whole number from 0 to 65535, found 70000',
      'peers.colour: expected one of the fields host, port, tls, found "red"',
      'log.url: expected a URL that starts with http:// or https://, found "ftp://x"',
      'placement: expected one of best_fit, first_fit, found "worst_fit"',
      'leases.renewMillis: expected less than leases.leaseMillis, found 100',
    ],
  );
});

test('a problem names the variable that its value came from', (t) => {
  t.deepEqual(problemLines({}, { BAMBOOWELL_CALLERS_PORT: 'http' }), [
    'd.json: callers.port: expected a whole number from 0 to 65535, found "http" in BAMBOOWELL_CALLERS_PORT',
  ]);
});

test('a misspelt variable is a problem', (t) => {
  t.deepEqual(problemLines({}, { BAMBOOWELL_CALLER_PORT: '1' }), [
    'd.json: BAMBOOWELL_CALLER_PORT: expected a variable that names a setting, found an unknown one',
  ]);
});

test('a secret given instead of its hash is not printed', (t) => {
  const lines = problemLines({ operators: [{ id: 'root', secretHash: 'tulip-4711' }] });
  t.is(lines.length, 1);
  t.regex(lines[0] ?? '', /operators\[0\]\.secretHash: .*found a string of 10 characters/);
});

test('malformed JSON is reported with line and column', (t) => {
  t.deepEqual(linesOf('{\n  "memberId": "a"\n  "region": "b"\n}'), [
    'd.json:3:3: expected a comma, found "\\"region\\""',
  ]);
  t.deepEqual(linesOf('{"a": 1,}'), ['d.json:1:9: expected a property name, found "}"']);
  t.deepEqual(linesOf('{"a": 1'), [
    'd.json:1:8: expected a close brace, found the end of the file',
  ]);
  t.deepEqual(linesOf(''), ['d.json:1:1: expected a value, found the end of the file']);
  t.deepEqual(linesOf('{"a": 1,\n "a": 2}'), [
    'd.json:2:2: a: expected each field once, found a second one',
  ]);
  t.is(linesOf('{} // why').length, 1);
});

test('a file that is not an object is a problem of the whole file', (t) => {
  t.deepEqual(linesOf('[]'), ['d.json:1:1: expected an object, found []']);
});

test('a lease is no longer than ownership allows', (t) => {
  t.is(validSettings({ leases: { leaseMillis: 30_000 } }).leases.leaseMillis, 30_000);
  t.deepEqual(
    problemLines({ leases: { leaseMillis: 30_001 } }).map((line) => line.replace(/^.*?: /, '')),
    ['leases.leaseMillis: expected a whole number from 1 to 30000, found 30001'],
  );
});

test('the header timeout is at most the request timeout', (t) => {
  t.deepEqual(
    problemLines({ callers: { headerMillis: 20, requestMillis: 10 } }).map((line) =>
      line.replace(/^.*?: /, ''),
    ),
    ['callers.headerMillis: expected at most callers.requestMillis, found 20'],
  );
});

test('settings that no code uses are rejected as unknown', (t) => {
  const lines = problemLines({ freshness: { freshMillis: 1 }, heartbeat: {} });
  t.is(lines.length, 2);
  t.regex(lines[0] ?? '', /freshness: expected one of the fields/);
});
