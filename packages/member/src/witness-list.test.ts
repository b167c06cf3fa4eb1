import test from 'ava';
import { brandAs } from '@bamboowell/types/ids';
import type { Term } from '@bamboowell/types/job';
import { OwnershipProof } from './ownership-proof.js';
import { WitnessList } from './witness-list.js';
import { incarnation, memberId, momentAt } from './moments.fixture.js';

const TERM = brandAs<Term>(4);
const M1 = memberId('m1');
const M2 = memberId('m2');
const FIRST = incarnation('m1-1');

function listBench() {
  const proof = new OwnershipProof();
  const list = new WitnessList(TERM, proof);
  list.join(M1, FIRST, momentAt(0));
  list.join(M2, incarnation('m2-1'), momentAt(0));
  /** Stores the record that is due, if one is. */
  const store = (): void => {
    const record = list.takeRecord();
    if (record !== undefined) {
      list.recordStored(record);
    }
  };
  return { proof, list, store };
}

test('the record lists the members that have connected, and is written when they change', (t) => {
  const { list } = listBench();
  const record = list.takeRecord();
  t.deepEqual(record, { term: TERM, members: [M1, M2] });
  list.join(memberId('m3'), incarnation('m3-1'), momentAt(1));
  t.is(list.takeRecord(), undefined, 'one record at a time');
  if (record !== undefined) {
    list.recordStored(record);
  }
  t.deepEqual(list.takeRecord()?.members, [M1, M2, memberId('m3')]);
});

// Guards against the next process of a member that counts on a record while the owner no longer asks that member.
test('a member that shuts down stays a witness until a record without it is stored', (t) => {
  const { proof, list, store } = listBench();
  store();
  list.dismiss(M1, FIRST);
  t.true(proof.isWitness(M1, FIRST));
  const record = list.takeRecord();
  t.deepEqual(record?.members, [M2]);
  t.true(proof.isWitness(M1, FIRST));
  if (record !== undefined) {
    list.recordStored(record);
  }
  t.false(proof.isWitness(M1, FIRST));
  t.is(list.takeRecord(), undefined);
});

test('a member that shuts down while a record that lists it is on its way stays a witness', (t) => {
  const { proof, list, store } = listBench();
  const record = list.takeRecord();
  list.dismiss(M1, FIRST);
  if (record !== undefined) {
    list.recordStored(record);
  }
  t.true(proof.isWitness(M1, FIRST));
  store();
  t.false(proof.isWitness(M1, FIRST));
});

test('a member that no record lists is dismissed at once, and one that comes back is not dismissed', (t) => {
  const { proof, list, store } = listBench();
  list.dismiss(M1, FIRST);
  t.false(proof.isWitness(M1, FIRST));
  store();
  list.dismiss(M2, incarnation('m2-1'));
  const record = list.takeRecord();
  list.join(M2, incarnation('m2-2'), momentAt(2));
  if (record !== undefined) {
    list.recordStored(record);
  }
  t.true(proof.isWitness(M2, incarnation('m2-2')));
  t.deepEqual(list.takeRecord()?.members, [M2]);
});
