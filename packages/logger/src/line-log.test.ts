import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { LineLog, type WriteBytes } from './line-log.js';

type WriteDone = Parameters<WriteBytes>[2];

/** A log whose writes complete only when the test says so. */
function controlledLog() {
  const texts: string[] = [];
  const pending: { readonly bytes: Buffer; readonly done: WriteDone }[] = [];
  const write: WriteBytes = (_descriptor, bytes, done) => {
    texts.push(bytes.toString());
    pending.push({ bytes, done });
  };
  const log = new LineLog(1, { member: 'm1' }, () => 1234, write);
  /** Completes the oldest write with so many bytes written, or with all of them. */
  const complete = (count?: number): void => {
    const next = pending.shift();
    next?.done(null, count ?? next.bytes.length);
  };
  const completeAll = (): void => {
    while (pending.length > 0) {
      complete();
    }
  };
  const fail = (code: string): void => {
    pending.shift()?.done(Object.assign(new Error(code), { code }), 0);
  };
  return { log, texts, complete, completeAll, fail };
}

test('lines carry the time, the member and the fields, and are written together', (t) => {
  const { log, texts } = controlledLog();
  log.event('one', { value: 1 });
  log.event('two');
  log.flush();
  t.deepEqual(texts, ['event=one at=1234 member=m1 value=1\nevent=two at=1234 member=m1\n']);
});

test('a blocked reader causes no memory growth: log lines are dropped, and the loss is reported', (t) => {
  const { log, texts, completeAll } = controlledLog();
  log.event('first');
  log.flush();
  const detail = 'x'.repeat(1000);
  for (let line = 0; line < 2000; line += 1) {
    log.event('more', { detail });
  }
  completeAll();
  t.true(texts.slice(1).join('').length < 600_000);
  t.regex(texts.at(-1) ?? '', /event=log\.dropped member=m1 lines=1\d\d\d\n$/);
});

// Guards against truncated lines where a reader keeps only the beginning of a large write.
test('a write holds only whole lines and no more than a pipe takes atomically', (t) => {
  const { log, texts, completeAll } = controlledLog();
  for (let line = 0; line < 300; line += 1) {
    log.event('more', { line, detail: 'x'.repeat(line) });
  }
  log.event('long', { detail: 'x'.repeat(10_000) });
  log.flush();
  completeAll();
  const large = texts.filter((text) => Buffer.byteLength(text) > 4096);
  t.is(large.length, 1);
  t.regex(large[0] ?? '', /^event=long /);
  t.true(texts.every((text) => text.endsWith('\n')));
  t.is(texts.join('').split('\n').length, 302);
});

/** Longer than the pause before a write is retried. */
const AFTER_RETRY_MILLIS = 60;

test('the rest of a partial write follows, so that no line is cut or missing', async (t) => {
  const { log, texts, complete, fail } = controlledLog();
  log.event('first', { value: 1 });
  log.flush();
  complete(10);
  await sleep(AFTER_RETRY_MILLIS);
  fail('EAGAIN');
  await sleep(AFTER_RETRY_MILLIS);
  log.event('second');
  complete();
  const whole = 'event=first at=1234 member=m1 value=1\n';
  t.deepEqual(texts, [whole, whole.slice(10), whole.slice(10), 'event=second at=1234 member=m1\n']);
});

test('lines that could not be written are counted in a later line', (t) => {
  const { log, texts, fail } = controlledLog();
  log.event('one');
  log.event('two');
  log.flush();
  fail('EPIPE');
  log.event('three');
  log.flush();
  t.is(texts[1], 'event=three at=1234 member=m1\nevent=log.dropped member=m1 lines=2\n');
});

// Guards against a busy process that loses most of its lines because each write waits for the one before.
test('several writes are in progress at once, but none follows a partial write before its rest', async (t) => {
  const { log, texts, complete } = controlledLog();
  for (let line = 0; line < 100; line += 1) {
    log.event('more', { line, detail: 'x'.repeat(1000) });
  }
  log.flush();
  t.is(texts.length, 16);
  complete(10);
  complete();
  t.is(texts.length, 16);
  await sleep(AFTER_RETRY_MILLIS);
  t.is(texts.length, 17);
  t.is(texts[16], texts[0]?.slice(10));
});
