import test from 'ava';
import { TaskState, Verdict } from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import type { Configuration } from '@bamboowell/types/declarations';
import {
  brandAs,
  type DataCentreId,
  type KeyId,
  type MemberId,
  type QueueId,
  type RegionId,
  type ShardId,
  type TeamId,
  type Version,
  type WorkerId,
} from '@bamboowell/types/ids';
import { resourcesOf } from '@bamboowell/types/resources';
import type { ShardView, TaskPhase } from './backend.js';
import { encodeConfiguration, encodeStatus, encodeVerdict, encodeWork } from './encode.js';
import { emptyConfiguration, workView } from './front.fixture.js';

const PHASES: readonly TaskPhase[] = [
  'waiting',
  'starting',
  'running',
  'succeeded',
  'failed',
  'cancelled',
  'lost',
];

function configuration(): Configuration {
  const team = brandAs<TeamId>('holds');
  const open = brandAs<QueueId>('open');
  const closed = brandAs<QueueId>('closed');
  const key = brandAs<KeyId>('k1');
  const centre = brandAs<DataCentreId>('nairobi-1');
  return {
    ...emptyConfiguration(),
    teams: new Map([[team, { id: team, share: 2, limit: resourcesOf(() => 5) }]]),
    queues: new Map([
      [open, { id: open, access: { kind: 'open', team }, maxWaiting: 1 }],
      [closed, { id: closed, access: { kind: 'teams', teams: [team] }, maxWaiting: 2 }],
    ]),
    keys: new Map([[key, { id: key, team: null, secretHash: 'aa', withdrawn: true }]]),
    dataCentres: new Map([[centre, { id: centre, region: brandAs<RegionId>('kenya') }]]),
  };
}

function shard(): ShardView {
  return {
    shard: brandAs<ShardId>('nairobi-1'),
    owner: 'entry-1',
    epoch: 3,
    fresh: true,
    waiting: 1,
    running: 2,
    workers: [
      {
        worker: brandAs<WorkerId>('w-1'),
        state: 'quarantined',
        capacity: resourcesOf(() => 8),
        used: resourcesOf(() => 4),
      },
    ],
    teams: [
      {
        team: brandAs<TeamId>('holds'),
        running: resourcesOf(() => 1),
        held: resourcesOf(() => 2),
        waiting: 3,
      },
    ],
    error: '',
  };
}

test('encoded work has the state, worker and attempts of its tasks', (t) => {
  const [task] = workView().tasks;
  const tasks = PHASES.flatMap((phase) => (task === undefined ? [] : [{ ...task, phase }]));
  const message = encodeWork(workView({ tasks, ended: true }));
  t.deepEqual(
    message.tasks.map(({ state }) => TaskState[state].toLowerCase()),
    [...PHASES],
  );
  t.like(message, { team: 'holds', queue: 'nightly', kind: 'batch', ended: true });
  t.like(message.tasks[0], { taskId: 'nairobi-1:holds:w1/0', worker: 'w-1', attempts: 1 });
});

test('each verdict is encoded as its own enum value', (t) => {
  t.is(encodeVerdict('not_run'), Verdict.NOT_RUN);
  t.is(encodeVerdict('may_have_run'), Verdict.MAY_HAVE_RUN);
  t.is(encodeVerdict('ran'), Verdict.RAN);
});

test('an encoded configuration has everything that was declared', (t) => {
  const message = encodeConfiguration(configuration());
  t.is(message.version, 7);
  t.like(message.teams[0], { id: 'holds', share: 2, limit: { millicores: 5, slots: 5 } });
  t.like(message.queues[0], { id: 'open', openFor: 'holds', maxWaiting: 1, teams: [] });
  t.like(message.queues[1], { id: 'closed', openFor: '', maxWaiting: 2, teams: ['holds'] });
  t.like(message.keys[0], { id: 'k1', team: '', secretHash: 'aa', withdrawn: true });
  t.like(message.dataCentres[0], { id: 'nairobi-1', region: 'kenya' });
});

test('an encoded status has shards, workers, teams and members', (t) => {
  const version = brandAs<Version>(7);
  const member = brandAs<MemberId>('entry-1');
  const members = [{ member, version, reachable: false }];
  const message = encodeStatus({ member, version, fresh: false, shards: [shard()], members });
  t.like(message, { member: 'entry-1', version: 7, fresh: false });
  t.like(message.shards[0], { shard: 'nairobi-1', owner: 'entry-1', epoch: 3, waiting: 1 });
  t.like(message.shards[0]?.workers[0], { state: 'quarantined', capacity: { slots: 8 } });
  t.like(message.shards[0]?.teams[0], { running: { slots: 1 }, held: { slots: 2 }, waiting: 3 });
  t.like(message.members[0], { member: 'entry-1', reachable: false });
});
