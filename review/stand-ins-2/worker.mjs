/**
 * A worker as a process of its own, which speaks what PROTOCOL.md says of workers. It is started with
 * one argument, a JSON object with `id`, `service`, `zone`, `host`, `port`,
 * `address` (where others reach it), `cpu`, `memMb`, `labels`,
 * `holdMaxMs`, `stopMs` and `heartbeatMs`. It writes one JSON object a line to its standard output:
 * its registrations (`report`), which the platform puts into the store, and what it did (`event`).
 *
 * The `spec` of a job is a JSON object that says what its tasks do: `workMs`, how long they work;
 * `fails`, whether they end `failed` then; `lasts`, whether they work until they are stopped.
 *
 * The line `{"grey":true}` on its standard input makes it fail all that it starts, `{"grey":false}` ends that.
 */

import { createServer } from 'node:http';
import { createInterface } from 'node:readline';

const settings = JSON.parse(process.argv[2]);
const born = Date.now();
const startedAt = performance.now();
const GREY_RUN_MS = 100;

const running = new Map();
/** The highest run of each task that was stopped or ended here. */
const over = new Map();
let ended = [];
let ends = 0;
let seq = 0;
let fence = 0;
let leaseEnd = 0;
let hasLease = false;
let isGrey = false;
let waiting = new Set();

const now = () => Math.floor(performance.now() - startedAt);
const keyOf = (task, run) => `${task} ${run}`;
const tell = (line) => process.stdout.write(`${JSON.stringify({ at: Date.now(), ...line })}\n`);

function report() {
  seq += 1;
  const { id, service, zone, address, cpu, memMb, labels } = settings;
  const capacity = { cpu, memMb };
  const state = 'ready';
  tell({
    report: { service, address, zone, version: 'v1', slots: 8, state, capacity, labels, born, seq },
    id,
  });
}

function bar(task, run) {
  over.set(task, Math.max(run, over.get(task) ?? 0));
}

function end(task, run, how) {
  const entry = running.get(keyOf(task, run));
  if (entry === undefined) {
    return;
  }
  clearTimeout(entry.timer);
  running.delete(keyOf(task, run));
  bar(task, run);
  ends += 1;
  ended.push([ends, task, run, how, '']);
  tell({ event: 'ended', id: settings.id, task, run, how, number: ends });
  const wake = waiting;
  waiting = new Set();
  wake.forEach((each) => each());
}

function extendLease(deadlineMs = 0) {
  leaseEnd = Math.max(leaseEnd, Math.min(deadlineMs, now() + settings.holdMaxMs));
  hasLease ||= leaseEnd > now();
}

function isFenced(token = 0) {
  if (token < fence) {
    return true;
  }
  fence = token;
  return false;
}

function start({ task, run, spec, deadlineMs, fencingToken }) {
  if (isFenced(fencingToken)) {
    return [409, { reason: 'fence' }];
  }
  if (running.has(keyOf(task, run))) {
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
  const { workMs = 1000, fails = false, lasts = false } = JSON.parse(spec);
  const isFailing = fails || isGrey;
  const length = isGrey ? GREY_RUN_MS : workMs;
  const timer =
    lasts && !isGrey
      ? undefined
      : setTimeout(() => end(task, run, isFailing ? 'failed' : 'done'), length);
  running.set(keyOf(task, run), { task, run, at: now(), length, lasts, timer });
  tell({ event: 'started', id: settings.id, task, run, fence, isGrey });
  return [200, {}];
}

function stop({ task, run, fencingToken }) {
  if (isFenced(fencingToken)) {
    return [409, { reason: 'fence' }];
  }
  bar(task, run);
  if (running.has(keyOf(task, run))) {
    tell({ event: 'told to stop', id: settings.id, task, run });
    setTimeout(() => end(task, run, 'stopped'), settings.stopMs / 2);
  }
  return [200, {}];
}

function lists() {
  return {
    running: [...running.values()].map(({ task, run, at, length, lasts }) => [
      task,
      run,
      '',
      lasts ? 100 : Math.min(99, Math.floor((100 * (now() - at)) / length)),
      1000,
    ]),
    ended: ended.slice(0, 500),
  };
}

function hold({ deadlineMs, fencingToken, ackedUpto = 0, waitMs = 0 }, answer, onClose) {
  if (isFenced(fencingToken)) {
    answer([409, { reason: 'fence' }]);
    return;
  }
  extendLease(deadlineMs);
  for (const [number, task, run, how] of ended) {
    if (number <= ackedUpto) {
      tell({ event: 'end acknowledged', id: settings.id, task, run, how, number });
    }
  }
  ended = ended.filter(([number]) => number > ackedUpto);
  if (ended.length > 0 || waitMs === 0) {
    answer([200, lists()]);
    return;
  }
  const wake = () => {
    clearTimeout(timer);
    waiting.delete(wake);
    answer([200, lists()]);
  };
  const timer = setTimeout(wake, waitMs);
  waiting.add(wake);
  onClose(() => {
    clearTimeout(timer);
    waiting.delete(wake);
  });
}

const server = createServer((request, response) => {
  const chunks = [];
  request.on('data', (chunk) => chunks.push(chunk));
  request.on('end', () => {
    const answer = ([status, fields]) => {
      const text = JSON.stringify({ timestampMs: now(), born, ...fields });
      response.writeHead(status, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      });
      response.end(text);
    };
    if (request.method === 'GET' && request.url === '/health') {
      answer([200, {}]);
      return;
    }
    if (request.headers['x-expected-instance'] !== settings.id) {
      answer([421, {}]);
      return;
    }
    const body = JSON.parse(Buffer.concat(chunks).toString('utf8'));
    switch (request.url) {
      case '/api/run-start':
        answer(start(body));
        break;
      case '/api/run-stop':
        answer(stop(body));
        break;
      case '/api/hold':
        hold(body, answer, (closed) => response.once('close', closed));
        break;
      default:
        answer([404, {}]);
    }
  });
});

server.listen(settings.port, settings.host, () => {
  tell({ event: 'up', id: settings.id, born });
  report();
  setInterval(report, settings.heartbeatMs);
});

setInterval(() => {
  if (hasLease && leaseEnd <= now()) {
    hasLease = false;
    tell({ event: 'lease lapsed', id: settings.id, runs: running.size });
    [...running.values()].forEach(({ task, run }) => end(task, run, 'lapsed'));
  }
}, 10);

createInterface({ input: process.stdin }).on('line', (line) => {
  isGrey = JSON.parse(line).grey;
  tell({ event: isGrey ? 'turns grey' : 'sound again', id: settings.id });
});
// It ends with the process that started it, however that ends.
process.stdin.once('close', () => process.exit(0));
