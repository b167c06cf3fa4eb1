import test from 'ava';
import { Code } from '@connectrpc/connect';
import { REASONS, refusalOf } from '@bamboowell/types/verdict';
import { connectErrorOf, refusalOfDecodeError } from './failure.js';

test('every reason has a code of the protocol that is an error', (t) => {
  for (const reason of REASONS) {
    const error = connectErrorOf(refusalOf('not_run', reason, 'why'));
    t.is(typeof Code[error.code], 'string', reason);
    t.is(error.rawMessage, 'not run: why');
    t.is(error.details.length, 1);
  }
});

test('the words of a message tell the verdict', (t) => {
  t.is(connectErrorOf(refusalOf('may_have_run', 'internal', 'x')).rawMessage, 'may have run: x');
  t.is(connectErrorOf(refusalOf('ran', 'worker_failed', 'x')).rawMessage, 'ran: x');
});

test('an error of the decoder that says nothing known is malformed', (t) => {
  const refusal = refusalOfDecodeError(connectErrorOf(refusalOf('not_run', 'malformed', 'odd')));
  t.like(refusal, { verdict: 'not_run', reason: 'malformed' });
});
