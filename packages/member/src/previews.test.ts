import test from 'ava';
import { cores, jobId } from '@bamboowell/jobs/plans.fixture';
import { ask } from '@bamboowell/kernel/ask';
import { deadlineAfter } from '@bamboowell/types/time';
import { emulatedCluster } from './emulated-cluster.fixture.js';
import type { GatewayMessage } from './gateway-messages.js';
import { GATEWAY } from './keys.js';
import type { OwnerReply } from './owner-channel.js';
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
