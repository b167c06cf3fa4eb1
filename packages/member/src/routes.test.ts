import test from 'ava';
import { brandAs, type QueueId } from '@bamboowell/types/ids';
import { Routes } from './routes.js';
import { TEAM } from '@bamboowell/jobs/plans.fixture';
import { configurationOf } from './plans.fixture.js';

/** Creates routes for queues with the given hosts and path prefixes. */
function routesOf(
  places: readonly (readonly [id: string, host: string, prefix: string])[],
): Routes {
  const base = configurationOf();
  const queues = places.flatMap(([id, host, pathPrefix]) =>
    base.queues.map((queue) => ({ ...queue, id: brandAs<QueueId>(id), host, pathPrefix })),
  );
  return new Routes({ ...base, queues });
}

test('the queue with the longest matching prefix on the host is found', (t) => {
  const routes = routesOf([
    ['all', 'h', '/'],
    ['plans', 'h', '/plans/'],
    ['other', 'g', '/plans/old/'],
  ]);
  t.is(String(routes.route('h', '/plans/old/1')?.queue.id), 'plans');
  t.is(routes.route('h', '/plans/old/1')?.rest, 'old/1');
  t.is(String(routes.route('h', '/x')?.queue.id), 'all');
  t.is(routes.route('elsewhere', '/plans/1'), undefined);
});

test('a key identifies its team, and an unknown key none', (t) => {
  const routes = new Routes(configurationOf());
  t.is(routes.teamOf('key'), TEAM);
  t.is(routes.teamOf('Key'), undefined);
});
