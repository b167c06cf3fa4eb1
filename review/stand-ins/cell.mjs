/**
 * A small deployment on loopback addresses: members started with the command of the deploy file, stand-in
 * workers as processes of their own, and the stand-in store in this process.
 */

import { spawn } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request as httpRequest } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { createInterface } from 'node:readline';
import { Store } from './store.mjs';

const HERE = dirname(fileURLToPath(import.meta.url));
const ROOT = join(HERE, '..', '..');
const READY_TIMEOUT_MS = 25_000;

export const IS_DISTURBED = process.env.TROUBLE !== '0';
export const sleep = (millis) => new Promise((resolve) => setTimeout(resolve, millis));

function canListen(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

async function freePorts(host, count) {
  for (;;) {
    const base = 20_000 + Math.floor(Math.random() * 12_000);
    const checks = [];
    for (let port = base; port < base + count; port += 1) {
      checks.push(await canListen(host, port));
    }
    if (checks.every(Boolean)) {
      return base;
    }
  }
}

export class Cell {
  events = [];
  members = [];
  workers = new Map();
  store = new Store();

  constructor(folder) {
    this.folder = folder;
    this.startedAt = Date.now();
    this.records = [];
    this.scratch = mkdtempSync(join(tmpdir(), 'review-'));
    this.net = `127.${100 + Math.floor(Math.random() * 100)}.${Math.floor(Math.random() * 250)}`;
  }

  /** Adds a line to record.txt. */
  record(...parts) {
    const at = String(Date.now() - this.startedAt).padStart(6);
    this.records.push(`${at} ms  ${parts.join(' ')}`);
  }

  async open({ members = 3, workers, routes, tenants }) {
    if (!existsSync(join(ROOT, 'target', 'bamboowelld.cjs'))) {
      throw new Error('target/bamboowelld.cjs is not built');
    }
    this.storeHost = `${this.net}.1`;
    this.storePort = await freePorts(this.storeHost, 1);
    await this.store.open(this.storeHost, this.storePort);
    this.routes = routes;
    this.store.put('keyed.op', 'config', {
      version: 1,
      routes,
      services: [{ name: 'svc', healthPath: '/health', maxConns: 64, enforceCapacity: false }],
      limits: { maxBodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
      tenants,
    });
    for (const [index, worker] of workers.entries()) {
      const host = `${this.net}.${100 + index}`;
      const port = await freePorts(host, 1);
      this.workers.set(worker.id, { ...worker, host, port });
      this.startWorker(worker.id);
    }
    for (let index = 1; index <= members; index += 1) {
      await this.startMember(index);
    }
    const until = Date.now() + READY_TIMEOUT_MS;
    for (const member of this.members) {
      while ((await this.probe(member)) !== 200) {
        if (Date.now() > until) {
          throw new Error('a member does not become ready');
        }
        await sleep(200);
      }
    }
    await sleep(2000);
    this.record('all members are ready');
  }

  async startMember(index) {
    const host = `${this.net}.${10 + index}`;
    const base = await freePorts(host, 20);
    const name = `front-z1-${index}`;
    const path = join(this.scratch, `${name}.toml`);
    writeFileSync(path, this.settings(name, host, base));
    const { run } = Object.fromEntries(
      readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8')
        .split('\n')
        .map((line) => /^(\w+) = "(.*)"$/.exec(line))
        .filter((match) => match !== null)
        .map(([, key, value]) => [key, value]),
    );
    const [program, ...args] = run.split(' ');
    const child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: this.scratch, BAMBOOWELL_BOOT: path },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const member = { name, host, child, frontPort: base, readyPort: base + 1, lines: [] };
    createInterface({ input: child.stdout }).on('line', (line) => member.lines.push(line));
    child.on('exit', (code, signal) => {
      member.hasExited = true;
      this.record(`${name} exited, code ${code}, signal ${signal}`);
    });
    this.members.push(member);
  }

  settings(name, host, base) {
    return `nodeName = "${name}"
role = "member"
machineClass = "front"
serves = ["front"]
ip = "${host}"
zone = "z1"
region = "r1"
portRange = [${base + 4},${base + 19}]
seeds = []
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform"]
controlMode = "call"
advice = ""
[zones]
z1 = "r1"
[listen]
front = "${host}:${base}"
ready = "${host}:${base + 1}"
[limits]
cpuWeight = 0.675
cores = 1
memoryMb = 350
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
stableMs = 4000
ackMs = 5000
drainMs = 3000
graceS = 6
lossSlackMs = 200
configMs = 3000
rollbackSlackMs = 250
maxSkewMs = 6000
recoverS = 12
holdMaxMs = 6000
stopMs = 900
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
leaseMs = 3000
[platform]
address = "${this.storeHost}:${this.storePort}"
form = "log"
writesPerS = 800
readsPerS = 2000
parts = 12
appendMs = 2.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
`;
  }

  startWorker(id) {
    const worker = this.workers.get(id);
    const { host, port, labels = ['a', 'r1-1'] } = worker;
    const capacity = worker.capacity ?? { cpu: 64_000, memMb: 131_072, gpu: 0 };
    const options = {
      id,
      host,
      port,
      labels,
      capacity,
      store: `${this.storeHost}:${this.storePort}`,
      service: 'svc',
      heartbeatMs: 1500,
      holdMaxMs: 6000,
    };
    const child = spawn('node', [join(HERE, 'worker.mjs'), JSON.stringify(options)], {
      stdio: ['pipe', 'pipe', 'inherit'],
    });
    worker.child = child;
    child.stdin.on('error', () => undefined);
    createInterface({ input: child.stdout }).on('line', (line) => {
      const event = JSON.parse(line);
      this.events.push(event);
      const { at, worker: name, event: what, task = '', run = '', ...rest } = event;
      delete rest.born;
      const more = Object.keys(rest).length === 0 ? '' : JSON.stringify(rest);
      const when = String(at - this.startedAt).padStart(6);
      this.records.push(`${when} ms  ${name}: ${what} ${task} ${run} ${more}`.trimEnd());
    });
    child.on('exit', () => {
      this.events.push({ at: Date.now(), worker: id, event: 'down' });
    });
  }

  /** Crashes a worker's process and starts it again under its id; it is silent in between. */
  async restartWorker(id, silentMillis) {
    this.record(`${id} goes silent (SIGSTOP)`);
    const { child } = this.workers.get(id);
    const ended = new Promise((resolve) => child.once('exit', resolve));
    child.kill('SIGSTOP');
    await sleep(silentMillis);
    child.kill('SIGKILL');
    await ended;
    this.record(`${id} is over (SIGKILL) and is started again`);
    this.startWorker(id);
  }

  tellWorker(id, order) {
    this.workers.get(id).child.stdin.write(`${JSON.stringify(order)}\n`);
  }

  async probe({ host, readyPort }) {
    return (await call({ host, port: readyPort, method: 'GET', path: '/api/ready' })).status;
  }

  /** A call of a client to one member; status 0 if there was no answer. */
  async ask(member, method, path, body) {
    const { host, frontPort } = member;
    const route = this.routes.find(({ pathPrefix }) => path.startsWith(pathPrefix));
    const answer = await call({
      host,
      port: frontPort,
      method,
      path,
      headers: {
        host: route.host,
        authorization: 'Token key-1',
        'x-timeout-ms': '3000',
        'content-type': 'application/json',
      },
      body: body === undefined ? undefined : JSON.stringify(body),
    });
    const [, last] = /([^/]*)$/.exec(path);
    this.record(`client: ${method} ${last} at ${member.name}: ${answer.status} ${answer.text}`);
    return answer;
  }

  /** Submits a job; repeats the request at another member until it is accepted. */
  async submit(path, body) {
    for (let attempt = 0; attempt < 5; attempt += 1) {
      const member = this.members[Math.floor(Math.random() * this.members.length)];
      const { status } = await this.ask(member, 'POST', path, body);
      if (status >= 200 && status < 300) {
        return true;
      }
      await sleep(300);
    }
    return false;
  }

  async close() {
    const alive = this.members.filter(({ hasExited }) => !hasExited);
    alive.forEach(({ child }) => child.kill('SIGKILL'));
    this.workers.forEach(({ child }) => child?.kill('SIGKILL'));
    this.store.close();
    await sleep(200);
    rmSync(this.scratch, { recursive: true, force: true });
  }

  writeRecord(verdict) {
    const text = [...this.records, ...verdict].join('\n');
    writeFileSync(join(this.folder, 'record.txt'), `${text}\n`);
  }
}

export function call({ host, port, method, path, headers = {}, body }) {
  return new Promise((resolve) => {
    const request = httpRequest({ host, port, method, path, headers, timeout: 3000 });
    request.once('timeout', () => request.destroy());
    request.once('error', () => resolve({ status: 0, text: '' }));
    request.once('response', (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', () => resolve({ status: 0, text: '' }));
      response.on('end', () =>
        resolve({ status: response.statusCode, text: Buffer.concat(chunks).toString() }),
      );
    });
    request.end(body);
  });
}

/** The time of a run on its worker, from its begin until it ended or its worker's process did. */
export function spansOf(events) {
  const open = new Map();
  const spans = [];
  const sorted = [...events].sort((left, right) => left.at - right.at);
  for (const { at, worker, event, task, run, late, how } of sorted) {
    const key = `${worker} ${task} ${run}`;
    if (event === 'begin') {
      open.set(key, { worker, task, run, late, from: at, to: Infinity, how: '' });
      spans.push(open.get(key));
    } else if (event === 'end' && open.has(key)) {
      Object.assign(open.get(key), { to: at, how });
      open.delete(key);
    } else if (event === 'down') {
      for (const [each, span] of open) {
        if (span.worker === worker) {
          span.to = at;
          span.how = 'down';
          open.delete(each);
        }
      }
    }
  }
  return spans;
}

/** Pairs of runs of one task that were at work at the same time for at least `millis`. */
export function overlaps(spans, millis) {
  const byTask = new Map();
  spans.forEach((span) => byTask.set(span.task, [...(byTask.get(span.task) ?? []), span]));
  const found = [];
  for (const runs of byTask.values()) {
    runs.forEach((left, index) => {
      runs.slice(index + 1).forEach((right) => {
        const shared = Math.min(left.to, right.to) - Math.max(left.from, right.from);
        if (shared >= millis) {
          found.push({ left, right, shared });
        }
      });
    });
  }
  return found;
}

/** Runs a case and exits with its verdict: 1 broken, 0 kept, 2 could not run. */
export async function runCase(folder, body) {
  const cell = new Cell(folder);
  const end = async (code, verdict) => {
    await cell.close();
    cell.writeRecord(verdict);
    process.stdout.write(`${verdict.join('\n')}\n`);
    process.exit(code);
  };
  ['SIGINT', 'SIGTERM', 'SIGHUP'].forEach((signal) => {
    process.once(signal, () => void end(2, ['could not run: interrupted']));
  });
  setTimeout(() => void end(2, ['could not run: out of time']), 115_000);
  try {
    const faults = await body(cell);
    if (faults === undefined) {
      await end(2, ['could not run: too little was served']);
    }
    await end(faults.length === 0 ? 0 : 1, [
      faults.length === 0 ? 'rule kept' : `rule broken, ${faults.length} times`,
      ...faults,
    ]);
  } catch (error) {
    await end(2, [`could not run: ${String(error)}`]);
  }
}

export const newId = () =>
  [...Array(16)].map(() => '0123456789abcdef'[Math.floor(Math.random() * 16)]).join('');

export const route = (more = {}) => ({
  name: 'r-1',
  host: 'jobs.example',
  pathPrefix: '/q1/',
  kind: 'unsafe',
  timeoutMs: 3000,
  targetLatencyMs: 600,
  priority: 0,
  service: 'svc',
  attempts: 3,
  slackFactor: 2,
  public: false,
  ...more,
});

export const tenant = {
  name: 't1',
  apiKeys: ['key-1'],
  priority: 1,
  weight: 100,
  maxCount: { cpu: 0, memMb: 0, gpu: 0 },
};
