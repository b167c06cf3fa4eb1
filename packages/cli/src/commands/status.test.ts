import test from 'ava';
import { Verdict } from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import { failure, type ServiceHandlers } from '../fixtures/fake-daemon.js';
import { operatorDaemon } from '../fixtures/operator-daemon.js';
import { run } from '../fixtures/run.js';

function statusAnswers(): NonNullable<ServiceHandlers['operator']> {
  return {
    getStatus: () => ({
      member: 'entry-1',
      version: 7,
      fresh: true,
      members: [{ member: 'entry-2', version: 6, reachable: false }],
      shards: ['nairobi-1', 'nairobi-2'].map((shard) => ({
        shard,
        owner: shard === 'nairobi-1' ? 'entry-1' : '',
        epoch: 4,
        fresh: true,
        waiting: 2,
        running: 1,
        teams: [{ team: 'labs', running: { millicores: 250 }, waiting: 2 }],
        workers: [{ worker: `${shard}-w`, state: 'quarantined', capacity: { slots: 8 } }],
      })),
    }),
  };
}

test('status sums teams over shards and shows missing owners and daemons', async (t) => {
  const { options } = await operatorDaemon(t, statusAnswers());
  const ran = await run(['status'], options);
  t.is(ran.code, 0);
  const rows = ran.stdout.split('\n').map((line) => line.split('\t'));
  const rowsOf = (name: string) => rows.filter(([first]) => first === name);
  t.deepEqual(rowsOf('daemon'), [['daemon', 'entry-2', '6', 'no']]);
  t.deepEqual(
    rowsOf('shard').map((row) => row.slice(1, 4)),
    [
      ['nairobi-1', 'entry-1', '4'],
      ['nairobi-2', 'none', '4'],
    ],
  );
  const [labs] = rowsOf('team');
  t.deepEqual(labs?.slice(0, 3), ['team', 'labs', '2']);
  t.is(labs?.[3], '0.5 cores');
  t.is(labs?.[4], 'nothing');
  t.is(labs?.at(-1), '4');
  t.is(rowsOf('worker').length, 2);
});

test('status is a table with headings for people and the schema’s JSON for programs', async (t) => {
  const { options } = await operatorDaemon(t, statusAnswers());
  const forPeople = await run(['status'], { ...options, isTerminal: true });
  t.regex(forPeople.stdout, /^SHARD +OWNER +EPOCH +FRESH/m);
  const forPrograms = await run(['status', '--json'], options);
  t.like(JSON.parse(forPrograms.stdout), { member: 'entry-1', shards: [{ owner: 'entry-1' }] });
});

test('a refused status exits with 3', async (t) => {
  const { options } = await operatorDaemon(t, {
    getConfiguration: () => {
      throw failure(Verdict.NOT_RUN, 'not_operator', 'the key is a team’s');
    },
  });
  const ran = await run(['status'], options);
  t.is(ran.code, 3);
  t.regex(ran.stderr, /not run: not_operator/);
});
