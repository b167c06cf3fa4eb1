import { createSocket } from 'node:dgram';
import { readdirSync, readFileSync } from 'node:fs';
import test from 'ava';
import { REASONS } from '@bamboowell/types/verdict';
import { MemoryCounters, StatsdCounters } from './counters.js';
import { METRICS, RETRY_REASONS, type Metric } from './names.js';
import { metricsTable } from './metrics-table.js';

const PAGE = new URL('../../../docs/METRICS.md', import.meta.url);
const ROW = /^\|\s*`([^`]+)`\s*\|\s*(\S+)\s*\|\s*(.+?)\s*\|\s*(.+?)\s*\|$/;

function listedIn(text: string): Metric[] {
  return text.split('\n').flatMap((line) => {
    const [, name, kind, unit, meaning] = ROW.exec(line) ?? [];
    return name === undefined ? [] : [{ name, kind, unit, meaning } as Metric];
  });
}

/** A statsd receiver on a free port; `datagram` resolves to the first one. */
async function statsdReceiver() {
  const socket = createSocket('udp4');
  await new Promise<void>((resolve) => socket.bind(0, '127.0.0.1', resolve));
  const datagram = new Promise<string>((resolve) => {
    socket.once('message', (message) => {
      resolve(message.toString());
    });
  });
  return { host: '127.0.0.1', port: socket.address().port, datagram, close: () => socket.close() };
}

test('docs/METRICS.md lists the same metrics as the code', (t) => {
  t.deepEqual(listedIn(readFileSync(PAGE, 'utf8')), [...METRICS]);
});

test('the comparison of docs/METRICS.md with the code notices a missing row', (t) => {
  const cut = metricsTable().split('\n').slice(0, -1).join('\n');
  t.is(listedIn(cut).length, METRICS.length - 1);
});

test('names are unique and each reason has a counter', (t) => {
  const names = METRICS.map(({ name }) => name);
  t.is(new Set(names).size, names.length);
  for (const reason of REASONS) {
    t.true(names.includes(`refusal.${reason}`));
  }
  for (const reason of RETRY_REASONS) {
    t.true(names.includes(`retry.${reason}`));
  }
});

test('counts are summed by tags, gauges keep the latest value', (t) => {
  const counters = new MemoryCounters();
  counters.increment('work.accepted', { kind: 'batch' });
  counters.increment('work.accepted', { kind: 'gang' }, 2);
  counters.gauge('work.waiting', 7);
  counters.gauge('work.waiting', 5);
  counters.timing('call.millis', 3);
  counters.timing('call.millis', 4);
  t.is(counters.count('work.accepted'), 3);
  t.is(counters.count('work.accepted', { kind: 'gang' }), 2);
  t.is(counters.count('work.repeated'), 0);
  t.is(counters.latest('work.waiting'), 5);
  t.deepEqual(counters.timingOf('call.millis'), { count: 2, totalMillis: 7 });
  t.deepEqual([...counters.snapshot()], [['work.accepted', 3]]);
});

test('statsd gets several metrics in one datagram', async (t) => {
  const receiver = await statsdReceiver();
  const counters = new StatsdCounters(receiver, (error) => {
    t.fail(error.message);
  });
  counters.increment('refusal.queue_full', { queue: 'holds' }, 2);
  counters.gauge('shard.owned', 1);
  counters.timing('request.millis', 12, { method: 'Get' });
  await counters.close();
  t.deepEqual((await receiver.datagram).trim().split('\n'), [
    'bamboowell.refusal.queue_full:2|c|#queue:holds',
    'bamboowell.shard.owned:1|g',
    'bamboowell.request.millis:12|ms|#method:Get',
  ]);
  receiver.close();
});

const PACKAGES = new URL('../../', import.meta.url);
const LISTS = ['metrics/src/names.ts', 'types/src/verdict.ts'];

/** The text of all sources but tests, fixtures and the lists themselves. */
function sources(): string {
  return readdirSync(PACKAGES, { recursive: true, encoding: 'utf8' })
    .filter((path) => /^[\w-]+\/src\/.*(?<!\.test|\.fixture)\.ts$/.test(path))
    .filter((path) => !LISTS.includes(path))
    .map((path) => readFileSync(new URL(path, PACKAGES), 'utf8'))
    .join('\n');
}

/** Sources name reasons without their counter's prefix, which is added where they are counted. */
function withoutPrefix(name: string): string {
  return name.replace(/^(refusal|retry)\./, '');
}

function unused(names: readonly string[], text: string): string[] {
  return names.filter((name) => !text.includes(`'${withoutPrefix(name)}'`));
}

test('every listed metric is used in some source', (t) => {
  const text = sources();
  t.deepEqual(
    unused(
      METRICS.map(({ name }) => name),
      text,
    ),
    [],
  );
  t.deepEqual(unused(['work.forgotten', 'retry.boredom'], text), [
    'work.forgotten',
    'retry.boredom',
  ]);
});
