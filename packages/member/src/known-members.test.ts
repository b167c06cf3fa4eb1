import test from 'ava';
import { brandAs, type MemberId } from '@bamboowell/types/ids';
import { KnownMembers, type KnownMember } from './known-members.js';

function known(name: string, port = 1): KnownMember {
  return { member: brandAs<MemberId>(name), address: { host: name, port }, ports: 1 };
}

function knownMembers(names: readonly string[]): KnownMembers {
  const members = new KnownMembers(brandAs<MemberId>('self'));
  names.forEach((name) => {
    members.add(known(name));
  });
  return members;
}

const NONE: ReadonlySet<MemberId> = new Set();

test('only new members and new addresses are passed on', (t) => {
  const members = knownMembers(['a', 'b']);
  const told = members.additions;
  members.add(known('a'));
  t.deepEqual(members.since(told), []);
  members.add(known('a', 2));
  members.add(known('c'));
  t.deepEqual(members.since(told), [known('a', 2), known('c')]);
});

test('members that are not connected are named in turn, without this one', (t) => {
  const members = knownMembers(['self', 'a', 'b', 'c']);
  const connected = new Set([brandAs<MemberId>('b')]);
  t.deepEqual(members.nextUnconnected(connected, 1), [known('a')]);
  t.deepEqual(members.nextUnconnected(connected, 1), [known('c')]);
  t.deepEqual(members.nextUnconnected(connected, 5), [known('a'), known('c')]);
});

test('a member that never answers is forgotten, until it is heard of again', (t) => {
  const members = knownMembers(['a']);
  for (let count = 0; count < 19; count += 1) {
    members.dialled(known('a'), false);
  }
  members.dialled(known('a'), true);
  for (let count = 0; count < 19; count += 1) {
    members.dialled(known('a'), false);
  }
  t.is(members.nextUnconnected(NONE, 5).length, 1);
  members.dialled(known('a'), false);
  t.deepEqual(members.nextUnconnected(NONE, 5), []);
  members.add(known('a'));
  t.is(members.nextUnconnected(NONE, 5).length, 1);
});
