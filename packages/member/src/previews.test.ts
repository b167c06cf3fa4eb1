import test from 'ava';
import { cores, jobId } from '@bamboowell/jobs/plans.fixture';
import { ask } from '@bamboowell/kernel/ask';
import { ManualClock } from '@bamboowell/kernel/manual-clock';
import { deadlineAfter } from '@bamboowell/types/time';
import { MemoryConnection, connectEnds } from '@bamboowell/wire/memory-connection';
import { emulatedCluster } from './emulated-cluster.fixture.js';
import type { GatewayMessage } from './gateway-messages.js';
import { GATEWAY } from './keys.js';
import { METHODS, RemoteOwner, type OwnerReply } from './owner-channel.js';
import { configurationOf, planOf } from './plans.fixture.js';

test('any member gets a preview from the owner, and no job comes of it', async (t) => {
  const cluster = emulatedCluster({
    workers: [{ name: 'w1', capacity: cores(4) }],
    configuration: configurationOf(),
  });
  await Promise.all(['m1', 'm2'].map((name) => cluster.launch(name)));
  await cluster.run(3000);
  for (const { name, kernel, clock } of cluster.members.values()) {
    const by = deadlineAfter(clock.now(), 1000);
    const plan = planOf(1);
    const asked = ask<GatewayMessage, OwnerReply>(
      kernel.find(GATEWAY),
      (reply) => ({ kind: 'preview', plan, by, reply }),
      by,
      clock,
    );
    await cluster.run(200);
    const answer = await asked;
    t.like(
      answer,
      {
        value: { kind: 'answered', answer: { preview: { admission: { kind: 'admitted' } } } },
      },
      name,
    );
  }
  const queried = cluster.request('m1', 'query', jobId(1));
  await cluster.run(1000);
  t.deepEqual(await queried, { kind: 'unknown_job' });
});

// Guards against an owner of an earlier version whose process ends on a kind of request that it doesn't know.
test('an owner that knows no previews does not receive one as a request', async (t) => {
  const clock = new ManualClock(1000);
  const newEnd = (): MemoryConnection => new MemoryConnection(() => undefined);
  const [near, far] = [newEnd(), newEnd()];
  connectEnds(near, far);
  far.handle(METHODS.request, () => {
    t.fail('a preview came as a request');
    return Promise.resolve({});
  });
  const by = deadlineAfter(clock.now(), 1000);
  const asked = new RemoteOwner(near).ask(
    { kind: 'preview', plan: planOf(1), configuration: 1 },
    by,
  );
  t.deepEqual(await asked, { kind: 'unknown' });
});
