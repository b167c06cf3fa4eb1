/**
 * A worker of the platform, as a process of its own: `node worker.mjs ID HOST:PORT STORE OPTIONS`. It writes one
 * line of JSON a start or an end to its standard output. The `spec` of a task is the time that it works, in
 * milliseconds, or `lasts`. Where `gang` stands before it, the task waits for the others of its run, about which the
 * standard input tells.
 */

import { createServer, request } from 'node:http';
import { createInterface } from 'node:readline';

const [id, address, store, options = '{}'] = process.argv.slice(2);
const [host, port] = address.split(':');
const {
  heartbeatMs = 1500,
  holdMaxMs = 6000,
  stopMs = 200,
  gangMs = 3000,
  cpu = 64_000,
} = JSON.parse(options);
const {
  service = 'svc',
  zone = 'z1',
  rack = 'r1-1',
  lateShare = 0,
  linkMs = 0,
} = JSON.parse(options);

const MAX_LISTED_ENDS = 500;
const LEASE_CHECK_MILLIS = 10;
const SERVING_TAIL_MILLIS = 20;
/** An order that gets no answer is carried out after a time between these. */
const LATE_MILLIS = [2000, 12_000];
const memMb = 131_072;

const born = Date.now();
const startedAt = performance.now();
const running = new Map();
/** The highest run of each task that was stopped or has ended here. */
const over = new Map();
const waiting = new Set();
let ended = [];
let ends = 0;
let seq = 0;
let fence = 0;
let leaseEnd = 0;
let hasLease = false;

const now = () => Math.floor(performance.now() - startedAt);

/** What the link to the worker takes, one way. */
function afterLink(act) {
  if (linkMs === 0) {
    act();
  } else {
    setTimeout(act, linkMs);
  }
}

/** Written at once: a killed process loses what it has buffered. */
function record(what) {
  process.stdout.write(`${JSON.stringify({ at: Date.now(), worker: id, born, ...what })}\n`);
}

function end(task, run, how) {
  const key = `${task} ${run}`;
  const ending = running.get(key);
  if (ending === undefined) {
    return;
  }
  clearTimeout(ending.timer);
  running.delete(key);
  over.set(task, Math.max(over.get(task) ?? 0, run));
  ends += 1;
  ended.push([ends, task, run, how, '']);
  record({ event: 'ended', task, run, how });
  [...waiting].forEach((wake) => wake());
}

function extendLease(deadlineMs) {
  leaseEnd = Math.max(leaseEnd, Math.min(deadlineMs, now() + holdMaxMs));
  hasLease ||= leaseEnd > now();
}

setInterval(() => {
  if (hasLease && leaseEnd <= now()) {
    hasLease = false;
    record({ event: 'lapsed', runs: running.size });
    [...running.values()].forEach(({ task, run }) => end(task, run, 'lapsed'));
  }
}, LEASE_CHECK_MILLIS);

function start({ task, run, spec, deadlineMs = 0 }) {
  if (running.has(`${task} ${run}`)) {
    extendLease(deadlineMs);
    return [200, {}];
  }
  if ((over.get(task) ?? 0) >= run) {
    extendLease(deadlineMs);
    return [409, { reason: 'old' }];
  }
  if (deadlineMs <= now()) {
    return [409, { reason: 'late' }];
  }
  extendLease(deadlineMs);
  const isOfGang = spec.startsWith('gang ');
  const text = isOfGang ? spec.slice('gang '.length) : spec;
  const work = text === 'lasts' ? undefined : Number.parseInt(text, 10);
  const started = { task, run, work, since: now(), isWaiting: isOfGang };
  running.set(`${task} ${run}`, started);
  if (isOfGang) {
    started.timer = setTimeout(() => end(task, run, 'alone'), gangMs);
  } else if (work !== undefined) {
    started.timer = setTimeout(() => end(task, run, 'done'), work);
  }
  record({ event: 'started', task, run });
  return [200, {}];
}

function stop({ task, run }) {
  if (running.has(`${task} ${run}`)) {
    setTimeout(() => end(task, run, 'stopped'), stopMs);
  } else {
    over.set(task, Math.max(over.get(task) ?? 0, run));
  }
  return [200, {}];
}

function lists() {
  return {
    running: [...running.values()].map(({ task, run, work, since, isWaiting }) => {
      const share = work === undefined ? 1 : Math.min(0.99, (now() - since) / work);
      const percent = isWaiting ? 0 : Math.floor(share * 100);
      return [task, run, '', percent, SERVING_TAIL_MILLIS];
    }),
    ended: ended.slice(0, MAX_LISTED_ENDS),
  };
}

function hold({ deadlineMs, ackedUpto = 0, waitMs = 0 }, answer, response) {
  const acked = ended.filter(([number]) => number <= ackedUpto);
  acked.forEach(([, task, run, how]) => record({ event: 'acknowledged', task, run, how }));
  ended = ended.filter(([number]) => number > ackedUpto);
  if (deadlineMs !== undefined) {
    extendLease(deadlineMs);
  }
  const list = () => {
    clearTimeout(timer);
    waiting.delete(list);
    answer([200, lists()]);
  };
  const timer = setTimeout(list, waitMs);
  if (ended.length > 0 || waitMs === 0) {
    list();
    return;
  }
  waiting.add(list);
  response.once('close', () => {
    clearTimeout(timer);
    waiting.delete(list);
  });
}

const server = createServer((call, response) => {
  const chunks = [];
  call.on('data', (chunk) => chunks.push(chunk));
  call.on('end', () => afterLink(() => serve(call, response, chunks)));
});

function serve(call, response, chunks) {
  const answer = ([status, fields]) => {
    const text = JSON.stringify({ timestampMs: now(), born, ...fields });
    const headers = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    };
    afterLink(() => response.writeHead(status, headers).end(text));
  };
  const expected = call.headers['x-expected-instance'];
  if (expected !== undefined && expected !== id) {
    answer([421, {}]);
    return;
  }
  const order = JSON.parse(Buffer.concat(chunks).toString() || '{}');
  const token = order.fencingToken ?? 0;
  if (token < fence) {
    answer([409, { reason: 'fence' }]);
    return;
  }
  const act = { '/api/run-start': start, '/api/run-stop': stop }[call.url];
  if (act !== undefined && Math.random() < lateShare) {
    // No answer; carried out later, if its fence is still good then.
    const delay = LATE_MILLIS[0] + Math.random() * (LATE_MILLIS[1] - LATE_MILLIS[0]);
    setTimeout(() => {
      if (token >= fence) {
        fence = token;
        record({ event: 'late_order', task: order.task, run: order.run });
        act(order);
      }
    }, delay);
    return;
  }
  fence = token;
  if (act !== undefined) {
    answer(act(order));
  } else if (call.url === '/api/hold') {
    hold(order, answer, response);
  } else {
    answer([404, {}]);
  }
}
server.keepAliveTimeout = 60_000;

function report() {
  seq += 1;
  const body = JSON.stringify({
    ...{ service, address, zone, version: 'v1', slots: 8, state: 'ready', coldMs: 0, seq, born },
    capacity: { cpu, memMb, gpu: 0 },
    labels: ['a', rack],
    timestampMs: now(),
  });
  const call = request(`http://${store}/stand-in/report?worker=${id}`, { method: 'POST' });
  call.on('error', () => undefined);
  call.on('response', (answer) => answer.resume());
  call.end(body);
}

server.listen(Number(port), host, () => {
  record({ event: 'up' });
  report();
  setInterval(report, heartbeatMs);
});

/** All members of a gang's run are present, or one of them has ended. */
function tell({ step, run, what }) {
  for (const each of [...running.values()]) {
    if (each.run !== run || !each.task.startsWith(`${step}.`)) {
      continue;
    }
    if (what === 'present') {
      clearTimeout(each.timer);
      each.isWaiting = false;
      each.since = now();
      each.timer = setTimeout(() => end(each.task, run, 'done'), each.work);
    } else {
      end(each.task, run, what);
    }
  }
}

createInterface({ input: process.stdin }).on('line', (line) => tell(JSON.parse(line)));
// Ends with the process that started it.
process.stdin.once('close', () => process.exit());
