import { inspect } from 'node:util';
import test from 'ava';
import createDebug from 'debug';
import { lineOf, type Fields } from './line.js';
import { DebugLog, EventLog, enableEvents } from './logger.js';
import { Secret } from './secret.js';

const SECRET_TEXT = 'tulip-4711';

function recordingLog() {
  const events: { name: string; fields: Fields }[] = [];
  const log = new (class extends EventLog {
    event(name: string, fields: Fields = {}): void {
      events.push({ name, fields });
    }
  })();
  return { log, events };
}

function debugLog(component: string) {
  const lines: string[] = [];
  return { log: new DebugLog(component, (line) => lines.push(line)), lines };
}

test('an event is one line of key=value pairs in the order given', (t) => {
  const fields = { shard: 'nairobi-1', epoch: 4, fresh: true, owner: null, missing: undefined };
  t.is(
    lineOf('claim.won', fields),
    'event=claim.won shard=nairobi-1 epoch=4 fresh=true owner=null',
  );
});

test('values that could be split wrongly are quoted', (t) => {
  t.is(lineOf('x', { detail: 'two words' }), 'event=x detail="two words"');
  t.is(lineOf('x', { detail: 'a=b' }), 'event=x detail="a=b"');
  t.is(lineOf('x', { detail: '' }), 'event=x detail=""');
  t.is(lineOf('x', { detail: 'say "no"' }), String.raw`event=x detail="say \"no\""`);
});

test('no value breaks the line', (t) => {
  for (const lineBreak of ['\n', '\r\n', '\u0085', '\u2028', '\u2029', '\u001b[31m', '\v']) {
    const line = lineOf('x', { detail: `before${lineBreak}after` });
    t.notRegex(line, /[\p{C}\p{Zl}\p{Zp}]/u);
  }
});

test('a secret prints as a placeholder wherever it is printed', (t) => {
  const secret = new Secret(SECRET_TEXT);
  const { log, events } = recordingLog();
  log.event('key.used', { secret });
  const printed = [
    String(secret),
    secret.toString(),
    JSON.stringify({ secret }),
    inspect({ nested: { secret } }, { showHidden: true, depth: 9 }),
    inspect(secret, { customInspect: false, showHidden: true }),
    JSON.stringify(events),
    lineOf('key.used', { secret }),
  ];
  t.deepEqual(
    printed.filter((text) => text.includes(SECRET_TEXT)),
    [],
  );
  t.is(lineOf('key.used', { secret }), 'event=key.used secret=[secret]');
  t.is(secret.reveal(), SECRET_TEXT);
});

test.serial('the debug library writes the line, percent signs included', (t) => {
  createDebug.enable('bamboowell:owner');
  const { log, lines } = debugLog('owner');
  log.event('queue.full', { used: '100%d', secret: new Secret(SECRET_TEXT) });
  t.is(lines.length, 1);
  t.regex(lines[0] ?? '', /bamboowell:owner event=queue\.full used=100%d secret=\[secret\]/);
});

test.serial('a component that is not enabled writes nothing', (t) => {
  createDebug.enable('bamboowell:owner');
  const { log, lines } = debugLog('peers');
  log.event('peer.lost');
  t.deepEqual(lines, []);
});

test.serial('all components are enabled unless the environment selects some', (t) => {
  enableEvents(undefined);
  t.true(createDebug.enabled('bamboowell:peers'));
  enableEvents('bamboowell:owner');
  t.false(createDebug.enabled('bamboowell:peers'));
  t.true(createDebug.enabled('bamboowell:owner'));
});
