import test, { type ExecutionContext } from 'ava';
import {
  TaskState,
  Urgency,
  Verdict,
  type CallRequest,
  type SubmitRequest,
  type WorkStatus,
} from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import {
  failure,
  fakeDaemon,
  untilAborted,
  workStatus,
  type ServiceHandlers,
} from '../fixtures/fake-daemon.js';
import { AutoAdvancingClock, run, type RunResult, type RunOptions } from '../fixtures/run.js';

const WORK = 'nairobi-1:labs:w1';

/** Runs a command against one daemon with these answers. */
async function runAt(
  t: ExecutionContext,
  caller: NonNullable<ServiceHandlers['caller']>,
  args: readonly string[],
  options: RunOptions = {},
): Promise<RunResult> {
  const daemon = await fakeDaemon({ caller });
  t.teardown(daemon.close);
  return run(args, { daemons: [daemon.address], ...options });
}

/** Runs a submission that is accepted, and returns the request that the daemon received. */
async function submitted(t: ExecutionContext, args: readonly string[], stdin = '') {
  const requests: SubmitRequest[] = [];
  const submit = (request: SubmitRequest) => {
    requests.push(request);
    return { workId: WORK, repeated: false };
  };
  const ran = await runAt(t, { submit }, ['submit', ...args], { stdin });
  return { ran, request: requests[0] };
}

function watchOf(...statuses: WorkStatus[]): NonNullable<ServiceHandlers['caller']> {
  return {
    async *watch() {
      for (const status of statuses) {
        yield await Promise.resolve({ status });
      }
    },
  };
}

test('submit sends every option in the units of the schema', async (t) => {
  const { ran, request } = await submitted(
    t,
    [
      ...['batch', '--queue', 'run-plans', '--tasks', '3', '--request-id', 'r1'],
      ...['--cores', '1.5', '--memory-gib', '0.5', '--accelerators', '2', '--slots', '1'],
      ...['--urgency', 'patient', '--expected-seconds', '90', '--idempotent', '--checkpointable'],
      ...['--payload-file', '-', '--data-centre', 'nairobi-2', '--timeout', '2'],
    ],
    'from stdin',
  );
  t.is(ran.code, 0);
  t.like(request, {
    queue: 'run-plans',
    requestId: 'r1',
    shape: { case: 'batch', value: { tasks: 3 } },
    urgency: Urgency.PATIENT,
    demand: { millicores: 1500, memoryMib: 512, accelerators: 2, slots: 1 },
    expectedMillis: 90_000,
    idempotent: true,
    checkpointable: true,
    payload: 'from stdin',
    dataCentre: 'nairobi-2',
    timeoutMillis: 2000,
  });
});

test('services have replicas and gangs have tasks', async (t) => {
  const service = await submitted(t, ['service', '--queue', 'q', '--replicas', '2']);
  t.like(service.request?.shape, { case: 'service', value: { replicas: 2 } });
  const gang = await submitted(t, ['gang', '--queue', 'q', '--tasks', '8']);
  t.like(gang.request?.shape, { case: 'gang', value: { tasks: 8 } });
});

test('a request id is generated each time and shown so that the user can repeat the request', async (t) => {
  const first = await submitted(t, ['batch', '--queue', 'q']);
  const second = await submitted(t, ['batch', '--queue', 'q']);
  t.regex(first.request?.requestId ?? '', /^[0-9a-f-]{36}$/);
  t.not(first.request?.requestId, second.request?.requestId);
  t.true(first.ran.stderr.includes(first.request?.requestId ?? 'none'));
  t.is(first.ran.stdout, `${WORK}\n`);
});

for (const [verdict, code] of [
  [Verdict.NOT_RUN, 3],
  [Verdict.MAY_HAVE_RUN, 4],
  [Verdict.RAN, 5],
  [Verdict.UNSPECIFIED, 4],
] as const) {
  test(`a call that fails with ${Verdict[verdict]} exits with ${code}`, async (t) => {
    const call = () => {
      throw failure(verdict, 'worker_failed', 'it broke', { field: 'payload', workId: WORK });
    };
    const ran = await runAt(t, { call }, ['call', '--queue', 'seat-holds']);
    t.is(ran.code, code);
    t.is(ran.stdout, '');
    t.regex(
      ran.stderr,
      /worker_failed: it broke \(field payload\); check with: bamboowell get nairobi/,
    );
  });
}

test('a failure is one JSON document for programs', async (t) => {
  const call = () => {
    throw failure(Verdict.NOT_RUN, 'queue_full', 'the queue holds 500');
  };
  const ran = await runAt(t, { call }, ['call', '--queue', 'q', '--json']);
  t.deepEqual(JSON.parse(ran.stdout), {
    failure: {
      verdict: 'not_run',
      reason: 'queue_full',
      detail: 'the queue holds 500',
      field: null,
      work: null,
    },
  });
});

test('call prints the whole answer unchanged', async (t) => {
  const requests: CallRequest[] = [];
  const answer = 'first\tline \nsecond  ';
  const call = (request: CallRequest) => {
    requests.push(request);
    return { answer, worker: 'worker-1', attemptId: 'a' };
  };
  const args = ['call', '--queue', 'seat-holds', '--payload', '{"seat": 7}'];
  t.is((await runAt(t, { call }, args)).stdout, `${answer}\n`);
  t.is((await runAt(t, { call }, args, { isTerminal: true })).stdout, `${answer}\n`);
  t.like(requests[0], { queue: 'seat-holds', payload: '{"seat": 7}', idempotent: false });
});

test('get shows a table to people, tabs to shells and JSON to programs', async (t) => {
  const get = () => ({ status: workStatus(false, TaskState.RUNNING) });
  const forPeople = await runAt(t, { get }, ['get', WORK], { isTerminal: true });
  t.regex(forPeople.stdout, /^WORK {15}KIND {3}TEAM/m);
  const forShells = await runAt(t, { get }, ['get', WORK]);
  t.is(
    forShells.stdout,
    'work\tnairobi-1:labs:w1\tbatch\tlabs\trun-plans\tnairobi-1\tnot ended\n' +
      'task\tnairobi-1:labs:w1/0\trunning\tworker-1\t1\t\t\n',
  );
  const forPrograms = await runAt(t, { get }, ['get', WORK, '--json']);
  t.like(JSON.parse(forPrograms.stdout), {
    workId: WORK,
    tasks: [{ state: 'TASK_STATE_RUNNING' }],
  });
});

test('unknown work exits with 3', async (t) => {
  const get = () => {
    throw failure(Verdict.NOT_RUN, 'unknown_work', 'there is no such work', { field: 'workId' });
  };
  t.is((await runAt(t, { get }, ['get', WORK])).code, 3);
});

for (const [states, code] of [
  [[TaskState.SUCCEEDED, TaskState.SUCCEEDED], 0],
  [[TaskState.SUCCEEDED, TaskState.FAILED], 5],
  [[TaskState.FAILED, TaskState.LOST], 4],
  [[TaskState.CANCELLED], 5],
] as const) {
  const names = states.map((state) => TaskState[state]).join(' and ');
  test(`watch exits with ${code} when work ended with ${names}`, async (t) => {
    const ran = await runAt(t, watchOf(workStatus(true, ...states)), ['watch', WORK]);
    t.is(ran.code, code);
  });
}

test('work cancelled before it ran exits with 3', async (t) => {
  const status = workStatus(true, TaskState.CANCELLED);
  const tasks = status.tasks.map((task) => ({ ...task, attempts: 0 }));
  t.is((await runAt(t, watchOf({ ...status, tasks }), ['watch', WORK])).code, 3);
});

test('watch prints a line for each change and none for an unchanged status', async (t) => {
  const ran = await runAt(
    t,
    watchOf(
      workStatus(false, TaskState.WAITING, TaskState.RUNNING),
      workStatus(false, TaskState.WAITING, TaskState.RUNNING),
      workStatus(true, TaskState.SUCCEEDED, TaskState.SUCCEEDED),
    ),
    ['watch', WORK],
  );
  t.is(ran.stdout, `${WORK} 1 waiting, 1 running\n${WORK} 2 succeeded\n`);
});

test('watch continues with the next daemon when a connection is silent', async (t) => {
  const clock = new AutoAdvancingClock();
  const silent = await fakeDaemon({
    caller: {
      async *watch(_request, context) {
        yield { status: workStatus(false, TaskState.RUNNING) };
        await untilAborted(context);
      },
    },
  });
  t.teardown(silent.close);
  const next = await fakeDaemon({ caller: watchOf(workStatus(true, TaskState.SUCCEEDED)) });
  t.teardown(next.close);
  const ran = await run(['watch', WORK], {
    daemons: [silent.address, next.address],
    clock,
    onOutput: () => {
      clock.advance(60_000);
    },
  });
  t.is(ran.code, 0);
  t.is(ran.stdout, `${WORK} 1 running\n${WORK} 1 succeeded\n`);
});

test('watch starts over when the daemon closes it before the work has ended', async (t) => {
  const statuses = [workStatus(false, TaskState.RUNNING), workStatus(true, TaskState.SUCCEEDED)];
  const watch: NonNullable<ServiceHandlers['caller']>['watch'] = async function* () {
    const [status] = statuses.splice(0, 1);
    yield await Promise.resolve(status === undefined ? {} : { status });
  };
  const ran = await runAt(t, { watch }, ['watch', WORK], { clock: new AutoAdvancingClock() });
  t.is(ran.code, 0);
  t.is(ran.stdout, `${WORK} 1 running\n${WORK} 1 succeeded\n`);
});

test('watch gives up when no daemon sends a status', async (t) => {
  const ran = await runAt(t, watchOf(), ['watch', WORK], { clock: new AutoAdvancingClock() });
  t.is(ran.code, 3);
});

test('submit --watch follows the work until it has ended', async (t) => {
  const submit = () => ({ workId: WORK });
  const caller = { submit, ...watchOf(workStatus(true, TaskState.FAILED)) };
  const ran = await runAt(t, caller, ['submit', 'batch', '--queue', 'q', '--watch']);
  t.is(ran.code, 5);
  t.is(ran.stdout, `${WORK}\n${WORK} 1 failed\n`);
});

test('a repeated submission is reported', async (t) => {
  const submit = () => ({ workId: WORK, repeated: true });
  const ran = await runAt(t, { submit }, ['submit', 'batch', '--queue', 'q']);
  t.is(ran.code, 0);
  t.regex(ran.stderr, /earlier request/);
});

test('cancel shows for each work item whether it had run', async (t) => {
  const cancel = () => ({
    outcomes: [
      { workId: 'a', verdict: Verdict.NOT_RUN },
      { workId: 'b', verdict: Verdict.RAN },
    ],
  });
  const ran = await runAt(t, { cancel }, ['cancel', 'a', 'b']);
  t.is(ran.code, 0);
  t.is(ran.stdout, 'a\tnot_run\t\nb\tran\t\n');
});

test('cancelling unknown work exits with 3', async (t) => {
  const cancel = () => ({
    outcomes: [{ workId: 'a', verdict: Verdict.NOT_RUN, reason: 'unknown_work' }],
  });
  t.is((await runAt(t, { cancel }, ['cancel', 'a'])).code, 3);
});

test('why prints the sentences first', async (t) => {
  const explain = () => ({
    status: workStatus(false, TaskState.WAITING),
    sentences: ['no worker has 8 accelerators; the most free is 4'],
  });
  const ran = await runAt(t, { explain }, ['why', WORK]);
  t.is(ran.code, 0);
  t.regex(ran.stdout, /^why\tno worker has 8 accelerators/);
});

test('the key is sent in the Authorization header and never printed', async (t) => {
  const daemon = await fakeDaemon({
    caller: {
      call: () => {
        throw failure(Verdict.NOT_RUN, 'key_unknown', 'there is no such key');
      },
    },
  });
  t.teardown(daemon.close);
  const env = { BAMBOOWELL_KEY: 'labs-1.tulip4711' };
  const ran = await run(['call', '--queue', 'q'], { daemons: [daemon.address], env });
  t.deepEqual(daemon.authorizations, ['Bearer labs-1.tulip4711']);
  t.false(`${ran.stdout}${ran.stderr}`.includes('tulip4711'));
});
