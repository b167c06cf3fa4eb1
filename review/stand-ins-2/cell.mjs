/**
 * A small deployment on loopback addresses: members as the deploy file starts them, workers as processes
 * of their own, the platform's store and the clients in this process. Everything that happens goes into
 * `record.txt` of the case.
 */

import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { connect, createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { createInterface } from 'node:readline';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Store } from './store.mjs';

export { sleep };

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const WORKER = fileURLToPath(new URL('./worker.mjs', import.meta.url));

export const HOLD_MAX_MS = 6000;
export const STOP_MS = 900;
/** Where workers listen behind their paths, counted from the port of the cell. */
const WORKER_PORT = 30;
const HEARTBEAT_MS = 1500;
const CLIENT_TIMEOUT_MS = 3000;
const CLIENT_TRIES = 5;
const LONGEST_CASE_MS = 112_000;
const KEY = 'key-of-t1';
const HOST = 'jobs.example';

/** A queue of the configuration. */
export const queue = (name, changes = {}) => ({
  name,
  host: HOST,
  pathPrefix: `/${name}/`,
  service: 'svc',
  kind: 'unsafe',
  timeoutMs: CLIENT_TIMEOUT_MS,
  targetLatencyMs: 1200,
  priority: 1,
  attempts: 2,
  slackFactor: 4,
  ...changes,
});

export class Cell {
  /** What workers did, in the order in which it was heard. */
  events = [];
  members = new Map();
  workers = new Map();
  /** The paths from the members to the workers. */
  paths = new Map();
  /** When each worker that has an entry last reported. */
  heardAt = new Map();
  /** What each worker last reported of itself. */
  reports = new Map();
  /** The worker whose reports the store doesn't take in at once. */
  delaysReportsOf;
  store = new Store();
  folder = mkdtempSync(`${tmpdir()}/bamboowell-review-`);
  startedAt = Date.now();
  version = 0;

  constructor(recordFile) {
    this.recordFile = recordFile;
    writeFileSync(recordFile, '');
  }

  /** Milliseconds since the start of the case. */
  get now() {
    return Date.now() - this.startedAt;
  }

  note(text) {
    appendFileSync(this.recordFile, `${String(this.now).padStart(6)} ${text}\n`);
  }

  async open({ members, workers, queues, tenants }) {
    await this.chooseNetwork();
    this.configure(queues, tenants);
    this.sweep = setInterval(() => this.removeSilentWorkers(), 250);
    for (const worker of workers) {
      this.openPath(worker);
      this.startWorker(worker);
    }
    for (let index = 1; index <= members; index += 1) {
      this.startMember(`front-${index}`, index);
    }
    await this.until(async () => (await this.readyMembers()) === members, 30_000, 'all are ready');
    this.note(`${members} members are ready`);
  }

  configure(queues, tenants = [{ name: 't1', apiKeys: [KEY], weight: 1000 }]) {
    this.version += 1;
    const services = [{ name: 'svc', healthPath: '/health', maxConns: 64 }];
    const limits = { maxBodyBytes: 262_144 };
    this.store.put('keyed.op', 'config', {
      version: this.version,
      routes: queues,
      services,
      limits,
      tenants,
    });
    this.note(`the operator writes version ${this.version} of the config`);
  }

  /** Uses the first network of loopback addresses and the first port on which nobody listens. */
  async chooseNetwork() {
    for (let tries = 0; tries < 200; tries += 1) {
      this.network = `127.${1 + ((process.pid + 7 * tries) % 250)}.${1 + (tries % 250)}`;
      this.port = 21_000 + 40 * tries;
      try {
        await this.store.open(this.address(1), this.port);
        await isFree(this.address(11), this.port + 1);
        return;
      } catch {
        this.store.close();
      }
    }
    throw new Error('no network is free');
  }

  address(number) {
    return `${this.network}.${number}`;
  }

  startMember(name, index) {
    const ip = this.address(10 + index);
    const path = `${this.folder}/${name}.toml`;
    writeFileSync(path, settingsOf(name, ip, this.port, this.address(1)));
    const [program, ...args] = /^run = "(.*)"$/m
      .exec(readFileSync(`${ROOT}deploy/system.toml`, 'utf8'))[1]
      .split(' ');
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, BAMBOOWELL_BOOT: path },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this.members.set(name, { child, ip, index });
    createInterface({ input: child.stdout }).on('line', (line) => {
      if (TOLD.test(line)) {
        this.note(`${name} logs: ${line}`);
      }
      if (/event=owner\.ready\b/.test(line)) {
        this.owner = name;
      }
    });
    child.once('exit', (code, signal) => {
      this.note(`${name} ends: ${signal ?? code}`);
    });
    this.note(`${name} is started`);
  }

  async signalMember(name, signal) {
    const { child } = this.members.get(name);
    this.note(`${signal} to ${name}`);
    child.kill(signal);
    if (signal === 'SIGKILL') {
      await once(child, 'exit');
    }
  }

  /** The platform removes the entry of a worker after three intervals of silence. */
  removeSilentWorkers() {
    for (const [id, at] of this.heardAt) {
      if (at + 3 * HEARTBEAT_MS < Date.now()) {
        this.heardAt.delete(id);
        this.store.put('keyed.servers', id, undefined);
        this.note(`the platform removes the entry of ${id}`);
      }
    }
  }

  /**
   * Opens the path from the members to a worker. While it is cut, bytes and closings are held in both
   * directions and new connections stay unanswered; the worker's own path to the store goes on.
   */
  openPath({ id, index }) {
    const path = { isCut: false, held: [], sockets: new Set() };
    const carry = (act) => (path.isCut ? path.held.push(act) : act());
    const track = (socket) => {
      socket.setNoDelay(true);
      socket.on('error', () => undefined);
      path.sockets.add(socket);
      socket.once('close', () => path.sockets.delete(socket));
    };
    path.server = createServer((caller) => {
      track(caller);
      carry(() => {
        if (caller.destroyed) {
          return;
        }
        const worker = connect({ host: this.address(100 + index), port: this.port + WORKER_PORT });
        track(worker);
        caller.on('data', (bytes) => carry(() => worker.write(bytes)));
        worker.on('data', (bytes) => carry(() => caller.write(bytes)));
        caller.once('close', () => carry(() => worker.destroy()));
        worker.once('close', () => carry(() => caller.destroy()));
      });
    });
    path.server.listen(this.port, this.address(100 + index));
    this.paths.set(id, path);
  }

  cutWorker(id) {
    this.note(`${id} is cut off from all members`);
    this.paths.get(id).isCut = true;
  }

  healWorker(id) {
    this.note(`${id} is no longer cut off`);
    const path = this.paths.get(id);
    path.isCut = false;
    path.held.splice(0).forEach((act) => act());
  }

  startWorker(worker) {
    const { id, index } = worker;
    const settings = {
      service: 'svc',
      zone: 'z1',
      cpu: 64_000,
      memMb: 131_072,
      labels: ['a', 'r1-1'],
      holdMaxMs: HOLD_MAX_MS,
      stopMs: STOP_MS,
      heartbeatMs: HEARTBEAT_MS,
      host: this.address(100 + index),
      port: this.port + WORKER_PORT,
      address: `${this.address(100 + index)}:${this.port}`,
      ...worker,
    };
    const child = spawn(process.execPath, [WORKER, JSON.stringify(settings)], {
      stdio: ['pipe', 'pipe', 'inherit'],
    });
    child.stdin.on('error', () => undefined);
    this.workers.set(id, { child, worker });
    createInterface({ input: child.stdout }).on('line', (line) => {
      const { report, ...event } = JSON.parse(line);
      if (report !== undefined) {
        this.reports.set(id, report);
        if (this.delaysReportsOf === id) {
          this.note(`${id} reports, which the store takes in later: ${JSON.stringify(report)}`);
          return;
        }
        this.heardAt.set(id, Date.now());
        this.store.put('keyed.servers', id, report);
        return;
      }
      const heard = { ...event, at: event.at - this.startedAt };
      this.events.push(heard);
      const { id: name, event: what, at: _at, ...rest } = heard;
      this.note(`${name}: ${what} ${JSON.stringify(rest)} at ${heard.at}`);
    });
  }

  async crashWorker(id) {
    const { child } = this.workers.get(id);
    this.note(`SIGKILL to ${id}`);
    child.kill('SIGKILL');
    await once(child, 'exit');
    this.events.push({ event: 'crashed', id, at: this.now });
  }

  restartWorker(id) {
    this.startWorker(this.workers.get(id).worker);
  }

  tellWorker(id, message) {
    this.workers.get(id).child.stdin.write(`${JSON.stringify(message)}\n`);
  }

  async readyMembers() {
    const answers = await Promise.all(
      [...this.members.values()].map(({ ip }) =>
        call({ host: ip, port: this.port + 2, method: 'GET', path: '/api/ready', timeout: 500 }),
      ),
    );
    return answers.filter(({ status }) => status === 200).length;
  }

  /** One call of a client. */
  async clientCall(method, path, body, member) {
    const running = [...this.members.values()].filter(({ child }) => child.exitCode === null);
    const { ip } = member === undefined ? running[0] : this.members.get(member);
    const answer = await call({
      host: ip,
      port: this.port + 1,
      method,
      path,
      timeout: CLIENT_TIMEOUT_MS,
      headers: {
        host: HOST,
        authorization: `Token ${KEY}`,
        'x-timeout-ms': String(CLIENT_TIMEOUT_MS),
        ...(body === undefined ? {} : { 'content-type': 'application/json' }),
      },
      body: body === undefined ? undefined : JSON.stringify(body),
    });
    this.note(`client: ${method} ${path} -> ${answer.status} ${answer.text.slice(0, 200)}`);
    return answer;
  }

  /** Hands a job in as a client does, which tries again at other members. */
  async submit(queueName, id, spec, phases, rest = {}) {
    const names = [...this.members.keys()];
    for (let tries = 0; tries < CLIENT_TRIES; tries += 1) {
      const body = { spec: JSON.stringify(spec), phases, ...rest };
      const member = names[tries % names.length];
      const { status } = await this.clientCall('POST', `/${queueName}/${id}`, body, member);
      if (status >= 200 && status < 300) {
        return;
      }
      await sleep(300);
    }
    throw new Error(`no member accepted ${id}`);
  }

  async stateOf(queueName, id) {
    const { status, text } = await this.clientCall('GET', `/${queueName}/${id}`);
    return status === 200 ? JSON.parse(text).state : `status ${status}`;
  }

  async until(isSo, millis, what) {
    const by = Date.now() + millis;
    while (!(await isSo())) {
      if (Date.now() > by) {
        throw new Error(`not so within ${millis} ms: ${what}`);
      }
      await sleep(50);
    }
  }

  get children() {
    const all = [...this.members.values(), ...this.workers.values()].map(({ child }) => child);
    return all.filter(({ exitCode, signalCode }) => exitCode === null && signalCode === null);
  }

  killAll() {
    this.children.forEach((child) => child.kill('SIGKILL'));
  }

  async close() {
    clearInterval(this.sweep);
    const exits = this.children.map((child) => once(child, 'exit'));
    this.killAll();
    await Promise.all(exits);
    for (const { server, sockets } of this.paths.values()) {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    }
    this.store.close();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

const TOLD =
  /event=(owner\.(ready|stood_down)|job\.(taken|ended|refused)|task\.crashed|run\.(lost|stalled)|worker\.(health|unreachable|regained|over)|task\.failed)\b/;

function settingsOf(name, ip, port, storeHost) {
  return `nodeName = "${name}"
role = "member"
machineClass = "front"
serves = ["front"]
ip = "${ip}"
zone = "z1"
region = "r1"
portRange = [${port + 5},${port + 20}]
seeds = []
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = ${HEARTBEAT_MS}
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform"]
controlMode = "call"
advice = ""
[zones]
z1 = "r1"
[listen]
front = "${ip}:${port + 1}"
ready = "${ip}:${port + 2}"
control = "${ip}:${port + 3}"
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
holdMaxMs = ${HOLD_MAX_MS}
stopMs = ${STOP_MS}
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
[platform]
address = "${storeHost}:${port}"
form = "log"
writesPerS = 800
readsPerS = 2000
parts = 12
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
`;
}

function isFree(host, port) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(port, host, () => server.close(resolve));
  });
}

/** Status 0 if there was no answer. */
function call({ host, port, method, path, headers = {}, body, timeout }) {
  return new Promise((resolve) => {
    const sent = request({ host, port, method, path, headers, timeout, agent: false });
    sent.once('timeout', () => sent.destroy());
    sent.once('error', () => resolve({ status: 0, text: '' }));
    sent.once('response', (response) => {
      let text = '';
      response.setEncoding('utf8');
      response.on('data', (chunk) => {
        text += chunk;
      });
      response.once('end', () => resolve({ status: response.statusCode, text }));
      response.once('error', () => resolve({ status: 0, text: '' }));
    });
    sent.end(body);
  });
}

async function tooLong() {
  await sleep(LONGEST_CASE_MS);
  throw new Error(`not over after ${LONGEST_CASE_MS} ms`);
}

/**
 * Runs a case: `play` returns the sentences that say how the rule was broken. The exit code is 1 if there
 * are any, 0 if there are none, and 2 if the case couldn't run.
 */
export async function runCase(folder, play) {
  const cell = new Cell(`${folder}/record.txt`);
  const isTroubled = process.env.TROUBLE !== '0';
  cell.note(isTroubled ? 'with the disruption' : 'without the disruption');
  let code = 2;
  process.once('exit', () => cell.killAll());
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
    process.once(signal, () => process.exit(2));
  }
  try {
    const broken = await Promise.race([play(cell, isTroubled), tooLong()]);
    broken.forEach((sentence) => {
      cell.note(`BROKEN: ${sentence}`);
      process.stdout.write(`BROKEN: ${sentence}\n`);
    });
    code = broken.length > 0 ? 1 : 0;
  } catch (error) {
    cell.note(`couldn't run: ${error.stack}`);
    process.stderr.write(`couldn't run: ${error.message}\n`);
  }
  await cell.close();
  cell.note(`exit code ${code}`);
  process.exit(code);
}
