import test from 'ava';
import { LineLog, type WriteBytes } from './line-log.js';

/** A log over a reader that takes a line only when it is told to. */
function slowLog() {
  const texts: string[] = [];
  const done: ((error: Error | null) => void)[] = [];
  const write: WriteBytes = (_descriptor, bytes, callback) => {
    texts.push(bytes.toString());
    done.push(callback);
  };
  const log = new LineLog(1, { member: 'm1' }, () => 1234, write);
  return { log, texts, done };
}

test('lines carry the time, the member and the fields, and are written together', (t) => {
  const { log, texts } = slowLog();
  log.event('one', { value: 1 });
  log.event('two');
  log.flush();
  t.deepEqual(texts, ['event=one at=1234 member=m1 value=1\nevent=two at=1234 member=m1\n']);
});

test('a reader that takes nothing costs lines, not memory, and the loss is told', (t) => {
  const { log, texts, done } = slowLog();
  log.event('first');
  log.flush();
  const detail = 'x'.repeat(1000);
  for (let line = 0; line < 2000; line += 1) {
    log.event('more', { detail });
  }
  done[0]?.(null);
  t.is(texts.length, 2);
  t.true((texts[1]?.length ?? 0) < 600_000);
  t.regex(texts[1] ?? '', /event=log\.dropped member=m1 lines=1\d\d\d\n$/);
});
