import test, { type ExecutionContext } from 'ava';
import { ManualClock } from '@bamboowell/kernel/manual-clock';
import { TaskState, Verdict } from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import { deadlineAfter } from '@bamboowell/types/time';
import { Daemons } from './daemons.js';
import { FailedCallError } from './failure.js';
import {
  disconnectingDaemon,
  unusedAddress,
  failure,
  fakeDaemon,
  silentDaemon,
  workStatus,
  type ServiceHandlers,
  type FakeDaemon,
} from './fixtures/fake-daemon.js';
import { run } from './fixtures/run.js';

const SUBMIT = ['submit', 'batch', '--queue', 'run-plans', '--cores', '1'];
const GET = ['get', 'nairobi-1:labs:w1'];

async function closedAtEnd(t: ExecutionContext, daemon: Promise<FakeDaemon>): Promise<string> {
  const { address, close } = await daemon;
  t.teardown(close);
  return address;
}

/** A daemon that counts and answers submissions and reads. */
async function willingDaemon(t: ExecutionContext) {
  const requests: string[] = [];
  const answers: ServiceHandlers = {
    caller: {
      submit: ({ requestId }) => {
        requests.push(requestId);
        return { workId: 'nairobi-1:labs:w1' };
      },
      get: () => {
        requests.push('get');
        return { status: workStatus(false, TaskState.RUNNING) };
      },
    },
  };
  const address = await closedAtEnd(t, fakeDaemon(answers));
  return { address, requests };
}

function refusingDaemon(t: ExecutionContext, verdict: Verdict, reason: string): Promise<string> {
  const refuse = () => {
    throw failure(verdict, reason, 'no');
  };
  return closedAtEnd(t, fakeDaemon({ caller: { submit: refuse, get: refuse } }));
}

test('a write goes to the next daemon if the first can’t be reached', async (t) => {
  const willing = await willingDaemon(t);
  const ran = await run(SUBMIT, { daemons: [await unusedAddress(), willing.address] });
  t.is(ran.code, 0);
  t.is(ran.stdout, 'nairobi-1:labs:w1\n');
  t.is(willing.requests.length, 1);
});

for (const reason of ['shutting_down', 'no_owner', 'configuration_stale']) {
  test(`a write goes to the next daemon if the first did not run it: ${reason}`, async (t) => {
    const willing = await willingDaemon(t);
    const refusing = await refusingDaemon(t, Verdict.NOT_RUN, reason);
    t.is((await run(SUBMIT, { daemons: [refusing, willing.address] })).code, 0);
    t.is(willing.requests.length, 1);
  });
}

test('a write that may have run is not sent again', async (t) => {
  const willing = await willingDaemon(t);
  const unsure = await refusingDaemon(t, Verdict.MAY_HAVE_RUN, 'no_owner');
  const cutting = await closedAtEnd(t, disconnectingDaemon());
  for (const first of [unsure, cutting]) {
    const ran = await run(SUBMIT, { daemons: [first, willing.address] });
    t.is(ran.code, 4);
    t.regex(ran.stderr, /may have run/);
  }
  t.deepEqual(willing.requests, []);
});

test('a refusal that every daemon would give is not asked for again', async (t) => {
  const willing = await willingDaemon(t);
  const refusing = await refusingDaemon(t, Verdict.NOT_RUN, 'key_withdrawn');
  t.is((await run(SUBMIT, { daemons: [refusing, willing.address] })).code, 3);
  t.deepEqual(willing.requests, []);
});

test('a read goes on to the next daemon after a cut answer', async (t) => {
  const willing = await willingDaemon(t);
  const cutting = await closedAtEnd(t, disconnectingDaemon());
  t.is((await run(GET, { daemons: [cutting, willing.address] })).code, 0);
  t.deepEqual(willing.requests, ['get']);
});

test('a read that no daemon answers has not run', async (t) => {
  const cutting = await closedAtEnd(t, disconnectingDaemon());
  const ran = await run(GET, { daemons: [cutting, await unusedAddress()] });
  t.is(ran.code, 3);
  t.regex(ran.stderr, /not run: unreachable/);
});

/** Calls a silent daemon and lets the time pass. */
async function failureAtSilence(t: ExecutionContext, kind: 'read' | 'write') {
  const clock = new ManualClock();
  const passTime = () => {
    clock.advance(5000);
  };
  const silent = await closedAtEnd(t, silentDaemon(passTime));
  const daemons = new Daemons([`http://${silent}`], undefined, clock);
  const answer = daemons.call(kind, deadlineAfter(clock.now(), 1000), ({ caller, options }) =>
    caller.get({ workId: 'w' }, options),
  );
  return (await t.throwsAsync(answer, { instanceOf: FailedCallError })).failure;
}

test('a silent daemon is given up at the deadline: a write may have run, a read has not', async (t) => {
  t.like(await failureAtSilence(t, 'write'), { verdict: 'may_have_run', reason: 'unanswered' });
  t.like(await failureAtSilence(t, 'read'), { verdict: 'not_run', reason: 'unanswered' });
});

test('something that is no daemon gives no certain verdict for a write', async (t) => {
  const empty = await closedAtEnd(t, fakeDaemon({}));
  t.is((await run(SUBMIT, { daemons: [empty] })).code, 4);
});
