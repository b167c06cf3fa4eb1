import test from 'ava';
import fc from 'fast-check';
import { FrameReader, OversizeFrameError, encodeFrame } from './frames.js';

const SEED = 20261204;

/** Splits the bytes into chunks of the given lengths; the last one takes the rest. */
function cut(bytes: Buffer, lengths: readonly number[]): Buffer[] {
  const chunks: Buffer[] = [];
  let from = 0;
  for (const length of lengths) {
    chunks.push(bytes.subarray(from, from + length));
    from += length;
  }
  return [...chunks, bytes.subarray(from)];
}

test('messages arrive complete however the stream is split', (t) => {
  const property = fc.property(
    fc.array(fc.jsonValue()),
    fc.array(fc.integer({ min: 0, max: 40 })),
    (messages, lengths) => {
      const reader = new FrameReader();
      const stream = Buffer.concat(messages.map(encodeFrame));
      const frames = cut(stream, lengths).flatMap((chunk) => reader.read(chunk));
      const texts = frames.map((frame) => frame.toString('utf8'));
      t.deepEqual(
        texts,
        messages.map((message) => JSON.stringify(message)),
      );
      t.false(reader.hasPartialFrame);
    },
  );
  fc.assert(property, { seed: SEED });
});

test('a frame may be as long as the maximum length, in one chunk or in many', (t) => {
  const reader = new FrameReader(4);
  t.deepEqual(reader.read(Buffer.from('1234\n')).map(String), ['1234']);
  t.deepEqual(reader.read(Buffer.from('12')), []);
  t.true(reader.hasPartialFrame);
  t.deepEqual(reader.read(Buffer.from('34\n5')).map(String), ['1234']);
  t.throws(() => reader.read(Buffer.from('6789')), { instanceOf: OversizeFrameError });
});
