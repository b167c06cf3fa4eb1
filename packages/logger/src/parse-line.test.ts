import test from 'ava';
import fc from 'fast-check';
import { lineOf } from './line.js';
import { parseLine } from './parse-line.js';

test('a formatted event is parsed back', (t) => {
  const fields = fc.dictionary(fc.stringMatching(/^[a-z]{1,8}$/), fc.string());
  fc.assert(
    fc.property(fc.integer({ min: 0, max: 2 ** 45 }), fields, (at, texts) => {
      const { event, at: skipped, ...rest } = texts;
      fc.pre(event === undefined && skipped === undefined);
      fc.pre(Object.values(rest).every((text) => !text.includes(' event=')));
      const parsed = parseLine(lineOf('job.taken', { at, ...rest }));
      t.is(parsed?.name, 'job.taken');
      t.is(parsed?.at, at);
      Object.entries(rest).forEach(([key, text]) => {
        t.is(parsed?.fields.get(key), text);
      });
    }),
  );
});

test('a prefix is skipped, and a line without exactly one event is ignored', (t) => {
  t.is(parseLine('  12.5 front-1 event=owner.ready at=5 term=2')?.fields.get('term'), '2');
  t.is(parseLine('Listening on port 80'), undefined);
  t.is(parseLine('event=job.taken at=5 jo event=owner.lost at=6'), undefined);
});

test('a line that is cut off within quotes keeps the fields before', (t) => {
  t.is(parseLine('event=store.lost at=5 detail="no ans')?.fields.get('at'), '5');
});
