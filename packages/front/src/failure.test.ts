import test from 'ava';
import { Code } from '@connectrpc/connect';
import { REASONS, refusalOf } from '@bamboowell/types/verdict';
import { connectErrorOf, refusalOfDecodeError } from './failure.js';

test('every reason maps to a Connect error code', (t) => {
  for (const reason of REASONS) {
    const error = connectErrorOf(refusalOf('not_run', reason, 'why'));
    t.is(typeof Code[error.code], 'string', reason);
    t.is(error.rawMessage, 'not run: why');
    t.is(error.details.length, 1);
  }
});

test('an error message starts with the verdict', (t) => {
  t.is(connectErrorOf(refusalOf('may_have_run', 'internal', 'x')).rawMessage, 'may have run: x');
  t.is(connectErrorOf(refusalOf('ran', 'worker_failed', 'x')).rawMessage, 'ran: x');
});

test('a decoder error with an unrecognised text is refused as malformed', (t) => {
  const refusal = refusalOfDecodeError(connectErrorOf(refusalOf('not_run', 'malformed', 'odd')));
  t.like(refusal, { verdict: 'not_run', reason: 'malformed' });
});
