/**
 * Stand-in for a worker, a process of its own. The spec of a task is JSON, whose `ms` tells how long it
 * works. Each event is a line of JSON on standard output.
 *
 * Lines on standard input disturb it: {"late": N, "afterMs": M} leaves the next N starts unanswered and
 * carries them out M ms later; {"unwell": M} answers starts with 503 for M ms;
 * {"grey": M} fails all that it starts for M ms.
 */

import { createServer, request as httpRequest } from 'node:http';
import { createInterface } from 'node:readline';
import { writeSync } from 'node:fs';

const options = JSON.parse(process.argv[2]);
const { id, host, port, store, service, capacity, labels, heartbeatMs, holdMaxMs } = options;
const bornAt = Date.now();
const startedAt = performance.now();
/** Half of `stopMs`. */
const STOP_TAKES_MS = 450;

let fence = 0;
let lease = 0;
let lastEnd = 0;
let seq = 0;
let lateStarts = 0;
let lateMs = 0;
let unwellUntil = 0;
let greyUntil = 0;
/** How soon a task fails on a worker that fails all that it starts. */
const FAILS_AFTER_MS = 50;
/** Runs at work, by task. */
const running = new Map();
/** The highest run that was stopped or ended here, by task. */
const over = new Map();
let ended = [];
const waiting = new Set();

function clock() {
  return Math.floor(performance.now() - startedAt);
}

function tell(event) {
  writeSync(1, `${JSON.stringify({ at: Date.now(), worker: id, born: bornAt, ...event })}\n`);
}

function extend(deadlineMs) {
  if (deadlineMs !== undefined) {
    lease = Math.max(lease, Math.min(deadlineMs, clock() + holdMaxMs));
  }
}

function end(run, how) {
  if (running.get(run.key) !== run) {
    return;
  }
  running.delete(run.key);
  clearTimeout(run.timer);
  over.set(run.task, Math.max(over.get(run.task) ?? 0, run.run));
  lastEnd += 1;
  ended.push([lastEnd, run.task, run.run, how, '']);
  tell({ event: 'end', task: run.task, run: run.run, how });
  [...waiting].forEach((wake) => wake());
}

function begin({ task, run, spec }, isLate) {
  const { ms } = JSON.parse(spec);
  const entry = { key: `${task}#${run}`, task, run, ms, at: clock() };
  const isGrey = Date.now() < greyUntil;
  entry.timer = isGrey
    ? setTimeout(() => end(entry, 'failed'), FAILS_AFTER_MS)
    : setTimeout(() => end(entry, 'done'), ms);
  running.set(entry.key, entry);
  tell({ event: 'begin', task, run, late: isLate });
}

function start(order, isLate = false) {
  if ((order.fencingToken ?? 0) < fence) {
    return [409, { reason: 'fence' }];
  }
  fence = order.fencingToken ?? 0;
  if (running.has(`${order.task}#${order.run}`)) {
    return [200, {}];
  }
  if ((over.get(order.task) ?? 0) >= order.run) {
    extend(order.deadlineMs);
    return [409, { reason: 'old' }];
  }
  if (order.deadlineMs <= clock()) {
    return [409, { reason: 'late' }];
  }
  extend(order.deadlineMs);
  begin(order, isLate);
  return [200, {}];
}

function stop({ task, run, fencingToken = 0 }) {
  if (fencingToken < fence) {
    return [409, { reason: 'fence' }];
  }
  fence = fencingToken;
  const entry = running.get(`${task}#${run}`);
  if (entry === undefined) {
    over.set(task, Math.max(over.get(task) ?? 0, run));
  } else {
    setTimeout(() => end(entry, 'stopped'), STOP_TAKES_MS);
  }
  return [200, {}];
}

function hold({ fencingToken = 0, ackedUpto = 0, deadlineMs, waitMs = 0 }, answer, response) {
  if (fencingToken < fence) {
    answer(409, { reason: 'fence' });
    return;
  }
  fence = fencingToken;
  ended = ended.filter(([number]) => number > ackedUpto);
  extend(deadlineMs);
  const list = () =>
    answer(200, {
      running: [...running.values()].map(({ task, run, ms, at }) => [
        task,
        run,
        '',
        Math.min(99, Math.floor((100 * (clock() - at)) / ms)),
      ]),
      ended: ended.slice(0, 500),
    });
  if (ended.length > 0 || waitMs === 0) {
    list();
    return;
  }
  const wake = () => {
    clearTimeout(timer);
    waiting.delete(wake);
    list();
  };
  const timer = setTimeout(wake, waitMs);
  waiting.add(wake);
  response.once('close', () => {
    clearTimeout(timer);
    waiting.delete(wake);
  });
}

function serve(request, response, text) {
  const answer = (status, body) => {
    const reply = JSON.stringify({ timestampMs: clock(), born: bornAt, ...body });
    response
      .writeHead(status, { 'content-type': 'application/json', 'content-length': reply.length })
      .end(reply);
  };
  const expected = request.headers['x-expected-instance'];
  if (expected !== undefined && expected !== id) {
    answer(421, {});
    return;
  }
  const order = text === '' ? {} : JSON.parse(text);
  if (request.url === '/api/hold') {
    hold(order, answer, response);
  } else if (request.url === '/api/run-stop') {
    answer(...stop(order));
  } else if (request.url === '/api/run-start') {
    if (lateStarts > 0) {
      lateStarts -= 1;
      tell({ event: 'unanswered', task: order.task, run: order.run });
      setTimeout(() => {
        const [status, { reason }] = start(order, true);
        tell({ event: 'carried out late', task: order.task, run: order.run, status, reason });
      }, lateMs);
    } else if (Date.now() < unwellUntil) {
      tell({ event: 'unwell', task: order.task, run: order.run });
      answer(503, {});
    } else {
      answer(...start(order));
    }
  } else {
    answer(200, {});
  }
}

function report() {
  seq += 1;
  const [hostName, portNumber] = store.split(':');
  const value = {
    service,
    address: `${host}:${port}`,
    zone: 'z1',
    version: 'v1',
    slots: 8,
    state: 'ready',
    coldMs: 0,
    capacity,
    labels,
    timestampMs: clock(),
    born: bornAt,
    seq,
  };
  const call = httpRequest({
    host: hostName,
    port: Number(portNumber),
    method: 'POST',
    path: '/worker',
  });
  call.on('error', () => undefined);
  call.on('response', (response) => response.resume());
  call.end(JSON.stringify({ key: id, value }));
}

setInterval(() => {
  if (running.size > 0 && lease <= clock()) {
    [...running.values()].forEach((run) => end(run, 'lapsed'));
  }
}, 20);

createInterface({ input: process.stdin })
  .on('line', (line) => {
    const order = JSON.parse(line);
    if (order.late !== undefined) {
      lateStarts = order.late;
      lateMs = order.afterMs;
    }
    if (order.grey !== undefined) {
      greyUntil = Date.now() + order.grey;
    }
    if (order.unwell !== undefined) {
      unwellUntil = Date.now() + order.unwell;
    }
    tell({ event: 'disturbed', ...order });
  })
  .on('close', () => process.exit(0));

const server = createServer((request, response) => {
  const chunks = [];
  request.on('data', (chunk) => chunks.push(chunk));
  request.on('end', () => serve(request, response, Buffer.concat(chunks).toString()));
});
server.keepAliveTimeout = 75_000;
server.listen(port, host, () => {
  tell({ event: 'up' });
  report();
  setInterval(report, heartbeatMs);
});
