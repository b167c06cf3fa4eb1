import test, { type ExecutionContext } from 'ava';
import { ManualClock } from '@bamboowell/kernel/manual-clock';
import { MemoryLog } from '@bamboowell/log/memory-log';
import { EventLog } from '@bamboowell/logger/logger';
import { parseSettings, type DaemonSettings } from '@bamboowell/config/daemon-settings';
import {
  brandAs,
  type Epoch,
  type Incarnation,
  type Sequence,
  type ShardId,
  type TeamId,
  type Version,
} from '@bamboowell/types/ids';
import { CELL_STREAM } from '@bamboowell/types/records';
import { deadlineAfter } from '@bamboowell/types/time';
import type { Result } from '@bamboowell/types/verdict';
import type { CellEvent } from './cell-messages.js';
import { CellTask } from './cell-task.js';

const SHARD = brandAs<ShardId>('a');
const LAB = brandAs<TeamId>('lab');
const LIMIT = { millicores: 8000, memoryMib: 8192, accelerators: 0, slots: 8 };

function settingsOf(member: string): DaemonSettings {
  const parsed = parseSettings(
    JSON.stringify({
      memberId: member,
      region: 'r',
      dataCentre: 'a',
      log: { url: 'http://127.0.0.1:1' },
      vmList: { url: 'http://127.0.0.1:1' },
    }),
    {},
  );
  if (parsed.kind === 'invalid') {
    throw new Error(JSON.stringify(parsed.problems));
  }
  return parsed.settings;
}

class SilentLog extends EventLog {
  event(): void {
    return undefined;
  }
}

const ignored = { post: () => 'accepted' as const };

/** A cell task with a log in memory, and the events that it sent to its subscriber. */
async function cellTaskHarness(t: ExecutionContext) {
  const clock = new ManualClock(1_000);
  const log = new MemoryLog(clock);
  let uniqueCount = 0;
  const unique = () => `u${(uniqueCount += 1)}`;
  const incarnation = brandAs<Incarnation>('i1');
  const environment = { settings: settingsOf('e1'), clock, incarnation, random: () => 0.5, unique };
  const watcher = { restarted: () => undefined, gaveUp: () => undefined };
  const task = new CellTask({
    environment,
    log,
    events: new SilentLog(),
    watcher,
    reporter: ignored,
    members: ignored,
  });
  const received: CellEvent[] = [];
  await task.start();
  t.teardown(() => task.stop());
  task.post({
    kind: 'subscribe',
    subscriber: {
      post: (event) => {
        received.push(event);
        return 'accepted';
      },
    },
  });
  const advance = async (millis: number) => {
    for (let passed = 0; passed < millis; passed += 50) {
      clock.advance(50);
      for (let turn = 0; turn < 6; turn += 1) {
        await new Promise((resolve) => setImmediate(resolve));
      }
    }
  };
  await advance(200);
  return { task, clock, log, received, advance };
}

type CellTaskHarness = Awaited<ReturnType<typeof cellTaskHarness>>;

async function applyChange(
  { task, clock, advance }: CellTaskHarness,
  base: number,
): Promise<Result<Version> | undefined> {
  let result: Result<Version> | undefined;
  task.post({
    kind: 'apply',
    base: brandAs<Version>(base),
    changes: [{ kind: 'put_team', team: { id: LAB, share: 1, limit: LIMIT } }],
    deadline: deadlineAfter(clock.now(), 5_000),
    reply: (value) => {
      result = value;
    },
  });
  await advance(500);
  return result;
}

function recordsIn(log: MemoryLog, kind: string): number {
  const bodies = log.entries(CELL_STREAM).map(({ body }) => body);
  return bodies.join('').split(`"kind":"${kind}"`).length - 1;
}

test('a change returns its new version; one based on an old version is refused with both versions', async (t) => {
  const cell = await cellTaskHarness(t);
  t.deepEqual(await applyChange(cell, 0), { kind: 'done', value: brandAs<Version>(1) });
  const outdated = await applyChange(cell, 0);
  t.like(outdated, {
    kind: 'refused',
    refusal: { verdict: 'not_run', reason: 'configuration_conflict' },
  });
  t.regex(outdated?.kind === 'refused' ? outdated.refusal.detail : '', /version 0.*version 1/);
});

test('a change that the log does not accept in time is withdrawn and has not run', async (t) => {
  const cell = await cellTaskHarness(t);
  cell.log.setDown(true);
  let result: Result<Version> | undefined;
  cell.task.post({
    kind: 'apply',
    base: brandAs<Version>(0),
    changes: [],
    deadline: deadlineAfter(cell.clock.now(), 1_000),
    reply: (value) => {
      result = value;
    },
  });
  await cell.advance(2_000);
  t.like(result, { kind: 'refused', refusal: { verdict: 'not_run', reason: 'log_unavailable' } });
});

test("a shard's record that the stream task rejected is appended again", async (t) => {
  const cell = await cellTaskHarness(t);
  await applyChange(cell, 0);
  cell.log.setDown(true);
  cell.task.post({ kind: 'inherit', shard: SHARD, epoch: brandAs<Epoch>(1) });
  cell.task.post({
    kind: 'stream',
    event: { kind: 'rejected', sequences: [brandAs<Sequence>(2)] },
  });
  cell.log.setDown(false);
  await cell.advance(3_000);
  // The log also holds the first record, because the test only simulated its rejection.
  t.is(recordsIn(cell.log, 'inherit'), 2);
});

test('a take is reported as applied or not once its record is read back', async (t) => {
  const cell = await cellTaskHarness(t);
  await applyChange(cell, 0);
  const epoch = brandAs<Epoch>(1);
  cell.task.post({ kind: 'inherit', shard: SHARD, epoch });
  cell.task.post({ kind: 'take', shard: SHARD, epoch, team: LAB, amount: LIMIT });
  cell.task.post({ kind: 'take', shard: SHARD, epoch, team: LAB, amount: LIMIT });
  await cell.advance(1_000);
  const settled = cell.received.flatMap((event) =>
    event.kind === 'settled' ? [event.applied] : [],
  );
  t.deepEqual(settled, [true, false]);
});
