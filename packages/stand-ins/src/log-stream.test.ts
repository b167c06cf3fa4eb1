import test from 'ava';
import { brandAs, type Offset } from '@bamboowell/types/ids';
import type { Instant } from '@bamboowell/types/time';
import { LogStream } from './log-stream.js';

function at(millis: number): Instant {
  return brandAs<Instant>(millis);
}

/** A stream with the entries `0`, `1` and so on, one a millisecond. */
function streamOf(count: number, retention: { entries: number; millis: number | null }): LogStream {
  const stream = new LogStream(retention);
  for (let index = 0; index < count; index += 1) {
    stream.append(String(index), at(index));
  }
  return stream;
}

function bodiesFrom(stream: LogStream, from: number, now = 0): string[] | string {
  const page = stream.read(brandAs<Offset>(from), at(now));
  return page.kind === 'entries'
    ? page.entries.map(({ body }) => body)
    : `expired below ${page.earliest}`;
}

test('the oldest entries expire when there are too many', (t) => {
  const stream = streamOf(5, { entries: 2, millis: null });
  t.is(bodiesFrom(stream, 2), 'expired below 3');
  t.deepEqual(bodiesFrom(stream, 3), ['3', '4']);
});

test('entries expire by age, even if nothing is appended', (t) => {
  const stream = streamOf(3, { entries: 100, millis: 10 });
  t.deepEqual(bodiesFrom(stream, 0, 9), ['0', '1', '2']);
  t.is(bodiesFrom(stream, 0, 10), 'expired below 1');
  t.is(bodiesFrom(stream, 0, 100), 'expired below 3');
  t.deepEqual(bodiesFrom(stream, 3, 100), []);
  t.is(stream.append('3', at(100)), brandAs<Offset>(3));
});

test('a page is limited, and says whether it reached the end', (t) => {
  const stream = streamOf(1001, { entries: 5000, millis: null });
  const first = stream.read(brandAs<Offset>(0), at(0));
  t.like(first, { kind: 'entries', next: 1000, atEnd: false });
  t.like(stream.read(brandAs<Offset>(1000), at(0)), { kind: 'entries', next: 1001, atEnd: true });
});

test('a deferred append takes effect after the given number of later appends', (t) => {
  const stream = streamOf(1, { entries: 100, millis: null });
  stream.deferAppend('late', 2);
  stream.append('1', at(1));
  t.deepEqual(bodiesFrom(stream, 0), ['0', '1']);
  stream.append('2', at(2));
  t.deepEqual(bodiesFrom(stream, 0), ['0', '1', '2', 'late']);
});
