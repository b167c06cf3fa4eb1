import test from 'ava';
import { brandAs, type Offset } from '@bamboowell/types/ids';
import { splitSnapshot } from './checkpoint-parts.js';

const offset = (value: number): Offset => brandAs<Offset>(value);

for (const snapshot of [
  '{"upTo":42,"works":[]}',
  '{"works":[{"upTo":7}],"upTo":42}',
  '{ "upTo": 42, "works": [] }',
]) {
  test(`the part of ${snapshot} contains its offset`, (t) => {
    t.like(splitSnapshot(snapshot)[0], { upTo: offset(42), part: 0, parts: 1, body: snapshot });
  });
}

for (const snapshot of [
  '{"works":[]}',
  '{"upTo":-1,"works":[]}',
  '{"upTo":1.5,"works":[]}',
  '[]',
]) {
  test(`${snapshot} is rejected as a snapshot`, (t) => {
    t.throws(() => splitSnapshot(snapshot));
  });
}
