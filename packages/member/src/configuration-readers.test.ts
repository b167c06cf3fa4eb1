import test from 'ava';
import { brandAs, type MemberId } from '@bamboowell/types/ids';
import { readerFor, readersAmong, type ReaderCandidate } from './configuration-readers.js';

/** Members a, b, c, … with these bandwidths. */
function candidatesOf(...linkMbps: readonly number[]): ReaderCandidate[] {
  return linkMbps.map((mbps, index) => ({ member: nameOf(index), linkMbps: mbps }));
}

function nameOf(index: number): MemberId {
  return brandAs<MemberId>(String.fromCharCode('a'.charCodeAt(0) + index));
}

test('the members with the widest links read, one for six members and two at least', (t) => {
  t.deepEqual(readersAmong(candidatesOf(7, 140, 7)), [nameOf(1), nameOf(0)]);
  t.deepEqual(
    readersAmong(candidatesOf(7, 7, 7, 140, 7, 7, 140, 7, 7, 7, 7, 7, 140)),
    [3, 6, 12].map(nameOf),
  );
});

test('followers are spread over the readers', (t) => {
  const candidates = candidatesOf(140, 140, 7, 7, 7, 7);
  const followed = candidates.map(({ member }) => readerFor(member, candidates));
  const [a, b] = [nameOf(0), nameOf(1)];
  t.deepEqual(followed, [undefined, undefined, a, b, a, b]);
});

test('a member that is alone follows nobody', (t) => {
  t.is(readerFor(nameOf(0), candidatesOf(7)), undefined);
});
