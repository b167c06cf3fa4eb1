import test from 'ava';
import { MAX_OFFLINE_MILLIS, OwnershipProof, PROOF_LIFETIME_MILLIS } from './ownership-proof.js';
import { incarnation, memberId, momentAt } from './moments.fixture.js';

const M1 = memberId('m1');
const M2 = memberId('m2');

/** An owner that the store has confirmed at 0, with two witnesses. */
function confirmedProof(): OwnershipProof {
  const proof = new OwnershipProof();
  proof.confirm(momentAt(0));
  proof.join(M1, incarnation('m1-1'), momentAt(0));
  proof.join(M2, incarnation('m2-1'), momentAt(0));
  return proof;
}

/** Both witnesses were asked at this time and have attested. */
function attestAll(proof: OwnershipProof, millis: number): void {
  proof.attest(M1, incarnation('m1-1'), momentAt(millis));
  proof.attest(M2, incarnation('m2-1'), momentAt(millis));
}

test('an owner renews on confirmations of the store for as long as a proof lasts', (t) => {
  const proof = confirmedProof();
  t.is(proof.grounds(momentAt(PROOF_LIFETIME_MILLIS)), 'store');
  t.is(proof.grounds(momentAt(PROOF_LIFETIME_MILLIS + 1)), 'nothing');
});

test('an owner that the store has never confirmed renews nothing', (t) => {
  t.is(new OwnershipProof().grounds(momentAt(0)), 'nothing');
});

// Guards against an owner behind a cut that renews leases for as long as any member is connected to it.
test('an owner without the store renews only on attestations of all its witnesses', (t) => {
  const proof = confirmedProof();
  proof.attest(M1, incarnation('m1-1'), momentAt(2900));
  t.is(proof.grounds(momentAt(3000)), 'nothing');
  proof.attest(M2, incarnation('m2-1'), momentAt(2900));
  t.is(proof.grounds(momentAt(3000)), 'members');
  t.is(proof.grounds(momentAt(2900 + PROOF_LIFETIME_MILLIS + 1)), 'nothing');
});

test('the attestation of a member that shuts down is not needed any more, unless another process of it has connected', (t) => {
  const proof = confirmedProof();
  proof.attest(M1, incarnation('m1-1'), momentAt(2900));
  proof.dismiss(M2, incarnation('m2-0'));
  t.is(proof.grounds(momentAt(3000)), 'nothing');
  proof.dismiss(M2, incarnation('m2-1'));
  t.is(proof.grounds(momentAt(3000)), 'members');
});

// Guards against trust in a member whose earlier process has claimed the work and can't be asked any more.
test('a witness whose process was replaced gives no proof until the store has confirmed the owner', (t) => {
  const proof = confirmedProof();
  proof.join(M2, incarnation('m2-2'), momentAt(2500));
  proof.attest(M1, incarnation('m1-1'), momentAt(2900));
  proof.attest(M2, incarnation('m2-2'), momentAt(2900));
  t.is(proof.grounds(momentAt(3000)), 'nothing');
  proof.confirm(momentAt(2400));
  proof.attest(M1, incarnation('m1-1'), momentAt(4900));
  proof.attest(M2, incarnation('m2-2'), momentAt(4900));
  t.is(proof.grounds(momentAt(5000)), 'nothing');
  proof.confirm(momentAt(5100));
  proof.attest(M1, incarnation('m1-1'), momentAt(7900));
  proof.attest(M2, incarnation('m2-2'), momentAt(7900));
  t.is(proof.grounds(momentAt(8000)), 'members');
});

test('a member that does not name its process is taken for a new one each time that it connects', (t) => {
  const proof = confirmedProof();
  proof.confirm(momentAt(1));
  proof.join(M2, undefined, momentAt(2));
  attestAll(proof, 2900);
  proof.attest(M2, undefined, momentAt(2900));
  t.is(proof.grounds(momentAt(3000)), 'nothing');
});

// Guards against an owner that goes on without an attestation of a member which counts on being asked.
test('the attestation of a witness is needed for as long as the term lasts', (t) => {
  const proof = confirmedProof();
  proof.confirm(momentAt(60_000));
  proof.attest(M1, incarnation('m1-1'), momentAt(62_900));
  t.is(proof.grounds(momentAt(63_000)), 'nothing');
});

test('an owner renews nothing on attestations of its witnesses when the store has been away for too long', (t) => {
  const proof = confirmedProof();
  attestAll(proof, MAX_OFFLINE_MILLIS);
  t.is(proof.grounds(momentAt(MAX_OFFLINE_MILLIS)), 'members');
  t.is(proof.grounds(momentAt(MAX_OFFLINE_MILLIS + 1)), 'nothing');
});

// Guards against an owner that renews leases after its machine was suspended, before it knows for how long.
test('a proof ages while the machine is suspended', (t) => {
  const proof = confirmedProof();
  t.is(proof.grounds(momentAt(100, PROOF_LIFETIME_MILLIS)), 'nothing');
});
