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

async function closeAfterTest(t: ExecutionContext, daemon: Promise<FakeDaemon>): Promise<string> {
  const { address, close } = await daemon;
  t.teardown(close);
  return address;
}

/** Starts a daemon that records and answers submissions and reads. */
async function acceptingDaemon(t: ExecutionContext) {
  const requests: string[] = [];
  const handlers: ServiceHandlers = {
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
  const address = await closeAfterTest(t, fakeDaemon(handlers));
  return { address, requests };
}

function refusingDaemon(t: ExecutionContext, verdict: Verdict, reason: string): Promise<string> {
  const refuse = () => {
    throw failure(verdict, reason, 'no');
  };
  return closeAfterTest(t, fakeDaemon({ caller: { submit: refuse, get: refuse } }));
}

test('a write goes to the next daemon if the first can’t be reached', async (t) => {
  const accepting = await acceptingDaemon(t);
  const ran = await run(SUBMIT, { daemons: [await unusedAddress(), accepting.address] });
  t.is(ran.code, 0);
  t.is(ran.stdout, 'nairobi-1:labs:w1\n');
  t.is(accepting.requests.length, 1);
});

for (const reason of ['shutting_down', 'no_owner', 'configuration_stale']) {
  test(`a write goes to the next daemon if the first did not run it: ${reason}`, async (t) => {
    const accepting = await acceptingDaemon(t);
    const refusing = await refusingDaemon(t, Verdict.NOT_RUN, reason);
    t.is((await run(SUBMIT, { daemons: [refusing, accepting.address] })).code, 0);
    t.is(accepting.requests.length, 1);
  });
}

test('a write that may have run is not sent again', async (t) => {
  const accepting = await acceptingDaemon(t);
  const uncertain = await refusingDaemon(t, Verdict.MAY_HAVE_RUN, 'no_owner');
  const disconnecting = await closeAfterTest(t, disconnectingDaemon());
  for (const first of [uncertain, disconnecting]) {
    const ran = await run(SUBMIT, { daemons: [first, accepting.address] });
    t.is(ran.code, 4);
    t.regex(ran.stderr, /may have run/);
  }
  t.deepEqual(accepting.requests, []);
});

test('a refusal that every daemon would give is not retried', async (t) => {
  const accepting = await acceptingDaemon(t);
  const refusing = await refusingDaemon(t, Verdict.NOT_RUN, 'key_withdrawn');
  t.is((await run(SUBMIT, { daemons: [refusing, accepting.address] })).code, 3);
  t.deepEqual(accepting.requests, []);
});

test('a read goes to the next daemon after a lost connection', async (t) => {
  const accepting = await acceptingDaemon(t);
  const disconnecting = await closeAfterTest(t, disconnectingDaemon());
  t.is((await run(GET, { daemons: [disconnecting, accepting.address] })).code, 0);
  t.deepEqual(accepting.requests, ['get']);
});

test('a read that no daemon answers is reported as not run', async (t) => {
  const disconnecting = await closeAfterTest(t, disconnectingDaemon());
  const ran = await run(GET, { daemons: [disconnecting, await unusedAddress()] });
  t.is(ran.code, 3);
  t.regex(ran.stderr, /not run: unreachable/);
});

/** Calls a daemon that never answers and advances the clock past the deadline. */
async function failureOfSilentDaemon(t: ExecutionContext, kind: 'read' | 'write') {
  const clock = new ManualClock();
  const passTime = () => {
    clock.advance(5000);
  };
  const silent = await closeAfterTest(t, silentDaemon(passTime));
  const daemons = new Daemons([`http://${silent}`], undefined, clock);
  const answer = daemons.call(kind, deadlineAfter(clock.now(), 1000), ({ caller, options }) =>
    caller.get({ workId: 'w' }, options),
  );
  return (await t.throwsAsync(answer, { instanceOf: FailedCallError })).failure;
}

test('a call to a silent daemon fails after the deadline: a write may have run, a read has not', async (t) => {
  t.like(await failureOfSilentDaemon(t, 'write'), {
    verdict: 'may_have_run',
    reason: 'unanswered',
  });
  t.like(await failureOfSilentDaemon(t, 'read'), { verdict: 'not_run', reason: 'unanswered' });
});

test('a write to a server that is not a daemon may have run', async (t) => {
  const empty = await closeAfterTest(t, fakeDaemon({}));
  t.is((await run(SUBMIT, { daemons: [empty] })).code, 4);
});
