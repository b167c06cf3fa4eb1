import test from 'ava';
import { brandAs } from '@bamboowell/types/ids';
import type { Term } from '@bamboowell/types/job';
import type { Claim } from './ownership-messages.js';
import { Succession, precedenceAfterGreeting } from './succession.js';
import { incarnation, memberId } from './moments.fixture.js';

const TERM = brandAs<Term>(4);

function claim(changes: Partial<Claim> = {}): Claim {
  return {
    term: TERM,
    member: memberId('m1'),
    incarnation: incarnation('m1-1'),
    address: { host: 'm1', port: 1 },
    isReleased: false,
    ...changes,
  };
}

test('work that was never claimed has no earlier owner', (t) => {
  const precedence = new Succession().precedence(undefined);
  t.deepEqual(precedence, { predecessor: undefined, follows: undefined, endsSoon: true });
});

// Guards against a successor that starts runs again while the owner that never asked it renews their leases.
test('an owner that this member was never connected to may go on after its claim', (t) => {
  const succession = new Succession();
  succession.connected(brandAs<Term>(3));
  const { follows, endsSoon } = succession.precedence(claim());
  t.deepEqual({ follows, endsSoon }, { follows: TERM, endsSoon: false });
});

test('an owner of which this member is a witness ends soon', (t) => {
  const succession = new Succession();
  succession.connected(TERM);
  t.true(succession.precedence(claim()).endsSoon);
});

test('an owner that has released the work, or whose process has ended, renews nothing any more', (t) => {
  const succession = new Succession();
  t.true(succession.precedence(claim({ isReleased: true })).endsSoon);
  succession.ended(TERM);
  t.true(succession.precedence(claim()).endsSoon);
  t.false(succession.precedence(claim({ term: brandAs<Term>(5) })).endsSoon);
});

// Guards against runs on lost workers that wait for an owner whose process has ended with all others.
test('an owner has ended once another process of its member greets the next one', (t) => {
  const precedence = new Succession().precedence(claim());
  const greet = (member: string, name: string): boolean =>
    precedenceAfterGreeting(precedence, {
      member: memberId(member),
      incarnation: incarnation(name),
    }).endsSoon;
  t.false(greet('m1', 'm1-1'));
  t.false(greet('m2', 'm2-2'));
  t.true(greet('m1', 'm1-2'));
  const unnamed = { member: memberId('m1'), incarnation: undefined };
  t.false(precedenceAfterGreeting(precedence, unnamed).endsSoon);
});
