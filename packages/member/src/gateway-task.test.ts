import test from 'ava';
import { ask } from '@bamboowell/kernel/ask';
import { ManualClock } from '@bamboowell/kernel/manual-clock';
import { EventLog } from '@bamboowell/logger/logger';
import type { Fields } from '@bamboowell/logger/line';
import { deadlineAfter, type Deadline } from '@bamboowell/types/time';
import type { GatewayMessage, JobReply, JobRequest } from './gateway-messages.js';
import { GatewayTask } from './gateway-task.js';
import { OwnerChannel, type OwnerReply, type OwnerRequest } from './owner-channel.js';
import { jobId } from '@bamboowell/jobs/plans.fixture';
import { configurationOf, planOf } from './plans.fixture.js';

/** An owner that gives scripted replies, and never answers further requests. */
class ScriptedOwner extends OwnerChannel {
  readonly asked: OwnerRequest[] = [];

  constructor(private readonly replies: (OwnerReply | 'silence')[]) {
    super();
  }

  ask(request: OwnerRequest): Promise<OwnerReply> {
    this.asked.push(request);
    const reply = this.replies.shift() ?? 'silence';
    return reply === 'silence' ? new Promise(() => undefined) : Promise.resolve(reply);
  }
}

/** An owner that takes longer to answer than any caller waits. */
class SlowOwner extends OwnerChannel {
  asked = 0;

  constructor(private readonly clock: ManualClock) {
    super();
  }

  async ask(_request: OwnerRequest, deadline: Deadline): Promise<OwnerReply> {
    this.asked += 1;
    await this.clock.sleepUntil(deadline);
    return { kind: 'unknown' };
  }
}

const CONFIGURATION_LIFETIME_MILLIS = 3000;
const ACCEPTED: OwnerReply = { kind: 'answered', answer: { kind: 'accepted', repeated: false } };

async function gatewayBench({ isConfigured = true } = {}) {
  const clock = new ManualClock(1000);
  const events: { readonly name: string; readonly fields: Fields }[] = [];
  const log = new (class extends EventLog {
    event(name: string, fields: Fields = {}): void {
      events.push({ name, fields });
    }
  })();
  const gateway = new GatewayTask(log, clock, CONFIGURATION_LIFETIME_MILLIS);
  await gateway.start();
  if (isConfigured) {
    gateway.post({ kind: 'configuration', configuration: configurationOf() });
    gateway.post({ kind: 'configuration_confirmed', at: clock.now() });
  }
  const flush = () => new Promise((resolve) => setImmediate(resolve));
  return {
    gateway,
    clock,
    events,
    /** Advances time in small steps. */
    advance: async (millis: number): Promise<void> => {
      for (let passed = 0; passed < millis; passed += 20) {
        clock.advance(20);
        await flush();
      }
    },
    setOwner: async (channel: OwnerChannel | undefined): Promise<void> => {
      gateway.post({ kind: 'owner', channel });
      await flush();
    },
    request: async (
      changes: Partial<JobRequest> = {},
    ): Promise<{ value: JobReply | undefined }> => {
      const reply: { value: JobReply | undefined } = { value: undefined };
      const request: JobRequest = {
        verb: 'submit',
        host: 'example',
        path: `/plans/${jobId(1)}`,
        key: 'key',
        waitMillis: 3000,
        body: { kind: 'decoded', value: planOf(1) },
        ...changes,
      };
      gateway.post({
        kind: 'request',
        request,
        reply: (value) => {
          reply.value = value;
        },
      });
      await flush();
      await flush();
      return reply;
    },
    ready: async (): Promise<boolean> => {
      const deadline = deadlineAfter(clock.now(), 1000);
      const build = (reply: (value: boolean) => void): GatewayMessage => ({ kind: 'ready', reply });
      const answer = await ask<GatewayMessage, boolean>(gateway, build, deadline, clock);
      return answer.kind === 'answered' && answer.value;
    },
  };
}

// Guards against members that refuse, or count, by a version that nothing has confirmed for seconds, while
// a later one is in force (incident CONFIG, record inc1).
test('a member that can not confirm its configuration does not refuse by it, and counts nothing', async (t) => {
  const { gateway, clock, setOwner, advance, request } = await gatewayBench();
  const owner = new ScriptedOwner([]);
  await setOwner(owner);
  const confirm = () => {
    gateway.post({ kind: 'configuration_confirmed', at: clock.now() });
  };
  const probes: Partial<JobRequest>[] = [
    { verb: 'query', path: '/elsewhere/' },
    { verb: 'submit', key: 'other' },
  ];
  confirm();
  const repliesOf = async (changes: readonly Partial<JobRequest>[]) => {
    const kinds: (string | undefined)[] = [];
    for (const change of changes) {
      const { value } = await request(change);
      kinds.push(value?.kind === 'refused' ? value.reason : value?.kind);
    }
    return kinds;
  };
  t.deepEqual(await repliesOf(probes), ['unknown_queue', 'unknown_key']);
  await advance(CONFIGURATION_LIFETIME_MILLIS + 20);
  const unconfirmed = 'configuration_unconfirmed';
  const withCount: typeof probes = [...probes, { verb: 'query', path: '/plans/' }];
  t.deepEqual(await repliesOf(withCount), [unconfirmed, unconfirmed, unconfirmed]);
  t.is(owner.asked.length, 0);
  confirm();
  t.deepEqual(await repliesOf(probes), ['unknown_queue', 'unknown_key']);
});

test('requests that the configuration does not allow never reach the owner', async (t) => {
  const { setOwner, request } = await gatewayBench();
  const owner = new ScriptedOwner([]);
  await setOwner(owner);
  t.like((await request({ host: 'other' })).value, { kind: 'unknown_queue' });
  t.like((await request({ key: 'stolen' })).value, { kind: 'unknown_key' });
  t.like((await request({ key: undefined })).value, { kind: 'unknown_key' });
  t.like((await request({ path: '/plans/xyz' })).value, { kind: 'malformed' });
  t.like((await request({ path: '/plans/xyz', verb: 'cancel' })).value, { kind: 'unknown_job' });
  const body = { kind: 'unreadable', detail: 'phases' } as const;
  t.like((await request({ body })).value, { kind: 'malformed', detail: 'phases' });
  t.deepEqual(owner.asked, []);
});

test('a gateway without a configuration refuses, and is not ready', async (t) => {
  const { setOwner, request, ready } = await gatewayBench({ isConfigured: false });
  await setOwner(new ScriptedOwner([]));
  t.like((await request()).value, { kind: 'refused', reason: 'no_configuration' });
  t.false(await ready());
});

test('a request waits for an owner, and is sent to the next owner if one does not answer', async (t) => {
  const { setOwner, request, advance } = await gatewayBench();
  const reply = await request();
  await advance(500);
  t.is(reply.value, undefined);
  const lost = new ScriptedOwner([{ kind: 'unknown' }]);
  await setOwner(lost);
  const next = new ScriptedOwner([ACCEPTED]);
  await setOwner(next);
  await advance(200);
  t.deepEqual(reply.value, { kind: 'accepted', repeated: false });
  t.is(lost.asked.length, 1);
  t.is(next.asked.length, 1);
});

// Guards against copies of waiting requests that overload a slow owner until it answers none.
test('a request is sent only once to a slow owner', async (t) => {
  const bench = await gatewayBench();
  const owner = new SlowOwner(bench.clock);
  await bench.setOwner(owner);
  const reply = await bench.request();
  await bench.advance(3000);
  t.deepEqual(reply.value, { kind: 'undecided' });
  t.is(owner.asked, 1);
});

test('a request that reached no owner is refused before the caller times out', async (t) => {
  const { request, advance } = await gatewayBench();
  const reply = await request({ waitMillis: 1000 });
  await advance(860);
  t.is(reply.value, undefined);
  await advance(40);
  t.like(reply.value, { kind: 'refused', reason: 'no_owner', retryAfterSeconds: 1 });
});

test('a request that an owner may have carried out is answered as undecided, never as refused', async (t) => {
  const { setOwner, request, advance } = await gatewayBench();
  await setOwner(new ScriptedOwner([{ kind: 'unknown' }]));
  const reply = await request({ waitMillis: 1000 });
  await setOwner(undefined);
  await advance(1000);
  t.deepEqual(reply.value, { kind: 'undecided' });
});

test('a request that the owner rejected is refused at the deadline', async (t) => {
  const { setOwner, request, advance } = await gatewayBench();
  await setOwner(new ScriptedOwner([{ kind: 'not_taken' }]));
  const reply = await request({ waitMillis: 1000 });
  await setOwner(undefined);
  await advance(1000);
  t.like(reply.value, { kind: 'refused', reason: 'no_owner' });
});

test('a gateway is ready with an owner, for a while after losing it, and never while draining', async (t) => {
  const { gateway, setOwner, advance, ready } = await gatewayBench();
  t.false(await ready());
  await setOwner(new ScriptedOwner([]));
  t.true(await ready());
  await setOwner(undefined);
  await advance(1000);
  t.true(await ready());
  await advance(2000);
  t.false(await ready());
  await setOwner(new ScriptedOwner([]));
  gateway.post({ kind: 'drain' });
  t.false(await ready());
});

test('each answer is logged with the path, the configuration version and the outcome', async (t) => {
  const { setOwner, request, events } = await gatewayBench();
  await setOwner(new ScriptedOwner([ACCEPTED]));
  await request();
  t.like(events.at(-1), {
    name: 'request.answered',
    fields: { path: `/plans/${jobId(1)}`, outcome: 'accepted', configuration: 1, tries: 1 },
  });
});

// Guards against a route that an owner with an older configuration refuses for good (incident CONFIG).
test('a request for a queue that the owner does not know yet is sent again until it does', async (t) => {
  const { setOwner, request, advance } = await gatewayBench();
  const outdated: OwnerReply = {
    kind: 'answered',
    answer: { kind: 'refused', reason: 'configuration_outdated' },
  };
  const owner = new ScriptedOwner([outdated, ACCEPTED]);
  await setOwner(owner);
  const reply = await request();
  t.is(reply.value, undefined);
  await advance(200);
  t.deepEqual(reply.value, { kind: 'accepted', repeated: false });
  t.is(owner.asked.length, 2);
});

// Guards against requests that a member accepts by a configuration older than the owner's (incident
// CONFIG).
test('a request that was checked by an older configuration than the owner has is checked again', async (t) => {
  const { gateway, setOwner, request, advance } = await gatewayBench();
  const owner = new ScriptedOwner([{ kind: 'outdated' }, { kind: 'outdated' }, ACCEPTED]);
  await setOwner(owner);
  const reply = await request();
  await advance(60);
  t.deepEqual(
    owner.asked.map(({ configuration }) => configuration),
    [1, 1],
  );
  const { teams, ...rest } = configurationOf(2);
  const withoutKeys = { ...rest, teams: teams.map((team) => ({ ...team, keys: [] })) };
  gateway.post({ kind: 'configuration', configuration: withoutKeys });
  await advance(60);
  t.deepEqual(reply.value, { kind: 'unknown_key' });
  t.is(owner.asked.length, 2);
});

test('a request that may have run is undecided if a later configuration no longer allows it', async (t) => {
  const { gateway, setOwner, request, advance } = await gatewayBench();
  await setOwner(new ScriptedOwner([{ kind: 'unknown' }]));
  const reply = await request();
  gateway.post({ kind: 'configuration', configuration: { ...configurationOf(2), queues: [] } });
  await advance(100);
  t.deepEqual(reply.value, { kind: 'undecided' });
});
