/**
 * A small deployment on loopback addresses: the program of the deploy file on several members, workers as
 * processes, and the store and the platform's entry in the process of the script. What is sent, answered and run
 * goes to a record.
 */

import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { tmpdir } from 'node:os';
import { createInterface } from 'node:readline';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Store } from './store.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const WORKER = fileURLToPath(new URL('./worker.mjs', import.meta.url));
const PROGRAM = `${ROOT}target/bamboowelld.cjs`;
const FRONT_PORT = 20_000;
const READY_PORT = 20_001;
const PEER_PORTS = [20_010, 20_017];
const STORE_PORT = 20_003;
const WORKER_PORT = 20_004;
const FIRST_MEMBER = 10;
const FIRST_WORKER = 100;
const READY_TIMEOUT_MILLIS = 30_000;
/** The platform starts a process again that has ended by itself. */
const RESTART_MILLIS = 500;
const REPORTED_LOG =
  /event=(member\.(?!figures)|owner\.(?!figures|load)|job\.ended|task\.crash|run\.lost|task\.failed|worker\.(over|met|unreachable))/;

const OWN_ENDS_OF_A_FAULT = 3;
/** `finish_s` of the pages. */
const FINISH_MILLIS = 14_000;

export const EXIT_HELD = 0;
export const EXIT_BROKEN = 1;
export const EXIT_NOT_RUN = 2;
export const isTroubled = process.env.TROUBLE !== '0';
export { sleep };

export class Deployment {
  members = [];
  workers = new Map();
  /** What the workers told, in order. */
  history = [];
  owner = undefined;
  /** The members whose processes ended by themselves, one entry each time. */
  ownEnds = [];

  constructor(recordFile, { config, bounds = {}, heartbeatMs = 1500, workerOptions = {} }) {
    this.recordFile = recordFile;
    this.config = config;
    this.bounds = { graceS: 6, configMs: 3000, holdMaxMs: 6000, ...bounds };
    this.heartbeatMs = heartbeatMs;
    this.workerOptions = { heartbeatMs, holdMaxMs: this.bounds.holdMaxMs, ...workerOptions };
    this.folder = mkdtempSync(`${tmpdir()}/review-3-`);
    this.startedAt = Date.now();
    this.store = new Store({ heartbeatMs });
    writeFileSync(recordFile, '');
  }

  note(text, at = Date.now()) {
    const seconds = ((at - this.startedAt) / 1000).toFixed(3).padStart(8);
    appendFileSync(this.recordFile, `${seconds} ${text}\n`);
  }

  async open({ members, workers }) {
    readFileSync(PROGRAM);
    await this.chooseNetwork();
    this.store.put('keyed.op', 'config', this.config);
    for (let index = 1; index <= workers; index += 1) {
      this.startWorker(`w${index}`, index);
    }
    for (let index = 1; index <= members; index += 1) {
      this.startMember(index);
    }
    await this.untilReady(members);
  }

  /** Uses the first network in which nobody listens. */
  async chooseNetwork() {
    for (let tries = 0; tries < 200; tries += 1) {
      this.network = 2 + ((process.pid + tries) % 240);
      try {
        await this.store.open(`127.${this.network}.0.1`, STORE_PORT);
        return;
      } catch {
        this.store.close();
        this.store = new Store({ heartbeatMs: this.heartbeatMs });
      }
    }
    throw new Error('no network is free');
  }

  get storeAddress() {
    return `127.${this.network}.0.1:${STORE_PORT}`;
  }

  memberHost(index) {
    return `127.${this.network}.0.${FIRST_MEMBER + index}`;
  }

  startWorker(id, index) {
    const address = `127.${this.network}.0.${FIRST_WORKER + index}:${WORKER_PORT}`;
    const options = JSON.stringify({ rack: `r1-${index}`, ...this.workerOptions });
    const args = [WORKER, id, address, this.storeAddress, options];
    const child = spawn(process.execPath, args, { stdio: ['pipe', 'pipe', 'inherit'] });
    child.stdin.on('error', () => undefined);
    const worker = { id, index, child, running: new Set(), isUp: true };
    this.workers.set(id, worker);
    createInterface({ input: child.stdout }).on('line', (line) =>
      this.told(worker, JSON.parse(line)),
    );
  }

  told(worker, what) {
    this.history.push(what);
    const { at, event, task = '', run = '', how = '', runs = '' } = what;
    if (event === 'started') {
      worker.running.add(`${task} ${run}`);
    } else if (event === 'ended') {
      worker.running.delete(`${task} ${run}`);
    }
    this.followGang(what);
    this.note(`${worker.id} ${event} ${[task, run, how, runs].join(' ').trim()}`, at);
  }

  /** The number of tasks of a gang, by its step: its workers learn from the platform when all are present. */
  gangs = new Map();
  present = new Map();

  followGang({ event, task = '', run, how }) {
    const step = task.slice(0, task.lastIndexOf('.'));
    const size = this.gangs.get(step);
    if (size === undefined) {
      return;
    }
    const name = `${step} ${run}`;
    const here = this.present.get(name) ?? new Set();
    this.present.set(name, here);
    if (event === 'started') {
      here.add(task);
      if (here.size === size) {
        this.tellWorkers({ step, run, what: 'present' });
      }
    } else if (event === 'ended' && here.delete(task) && how !== 'broken') {
      this.tellWorkers({ step, run, what: how === 'done' ? 'done' : 'broken' });
    }
  }

  tellWorkers(line) {
    this.workers.forEach(({ child }) => child.stdin.write(`${JSON.stringify(line)}\n`));
  }

  /** A worker crashes, and its next process comes back under its id and address. */
  async crashWorker(id, downMillis) {
    const worker = this.workers.get(id);
    const exited = once(worker.child, 'exit');
    worker.child.kill('SIGKILL');
    await exited;
    const lost = [...worker.running];
    this.note(
      `CRASH of ${id}, which ran: ${lost.join(', ') || 'nothing'}; back in ${downMillis} ms`,
    );
    worker.isUp = false;
    lost.forEach((key) => {
      const [task, run] = key.split(' ');
      this.history.push({ at: Date.now(), worker: id, event: 'crashed', task, run: Number(run) });
    });
    await sleep(downMillis);
    if (!this.isClosed) {
      this.startWorker(id, worker.index);
    }
  }

  startMember(index) {
    const host = this.memberHost(index);
    const id = `front-${index}`;
    const settings = `${this.folder}/${id}.toml`;
    writeFileSync(settings, this.settingsOf(id, host));
    const [, command] = /^run = "(.*)"$/m.exec(readFileSync(`${ROOT}deploy/system.toml`, 'utf8'));
    const [, ...args] = command.split(' ');
    const { PATH, HOME } = process.env;
    const child = spawn(process.execPath, args, {
      cwd: ROOT,
      env: { PATH, HOME, BAMBOOWELL_BOOT: settings },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const member = { id, index, host, child };
    this.members[index - 1] = member;
    const logged = (line) => {
      if (/event=owner\.ready/.test(line)) {
        this.owner = member;
      }
      if (REPORTED_LOG.test(line)) {
        this.note(`${id}: ${line.slice(0, 400)}`);
      }
    };
    createInterface({ input: child.stdout }).on('line', logged);
    createInterface({ input: child.stderr }).on('line', (line) => {
      if (line.trim() !== '') {
        this.note(`${id} stderr: ${line.slice(0, 200)}`);
      }
    });
    child.on('exit', (code, signal) => {
      this.note(`${id} ended, code ${code}, signal ${signal}${member.isOurs ? '' : ', BY ITSELF'}`);
      if (!member.isOurs) {
        this.ownEnds.push(id);
        setTimeout(() => {
          if (!this.isClosed) {
            this.startMember(index);
          }
        }, RESTART_MILLIS);
      }
    });
    return member;
  }

  async killMember(member) {
    member.isOurs = true;
    const exited = once(member.child, 'exit');
    member.child.kill('SIGKILL');
    await exited;
  }

  async untilReady(members) {
    const until = Date.now() + READY_TIMEOUT_MILLIS;
    for (;;) {
      const ready = await Promise.all(this.members.map((member) => this.isReady(member)));
      if (ready.filter(Boolean).length >= members && this.owner !== undefined) {
        return;
      }
      if (Date.now() > until) {
        throw new Error('the members did not become ready');
      }
      await sleep(100);
    }
  }

  async isReady({ host }) {
    const { status } = await call({ host, port: READY_PORT, path: '/api/ready', timeout: 500 });
    return status === 200;
  }

  /** Sends a client's request, and records it with its answer. `status` is 0 if there was none. */
  async ask(member, method, path, { body, timeout = 3000, key = 'key-1', isQuiet = false } = {}) {
    const { host } = member;
    const sentAt = Date.now();
    const answer = await call({ host, port: FRONT_PORT, method, path, body, timeout, key });
    if (!isQuiet) {
      const size = body === undefined ? '' : ` (${JSON.stringify(body).length} bytes)`;
      this.note(
        `client ${method} ${path}${size} at ${member.id}: ${answer.status} ${JSON.stringify(answer.body)} after ${Date.now() - sentAt} ms`,
      );
    }
    return answer;
  }

  /** Submits a job as clients do: at another member until one accepts it. */
  async submit(path, body, { tries = 20 } = {}) {
    for (let attempt = 0; attempt < tries; attempt += 1) {
      const member = this.members[attempt % this.members.length];
      const { status } = await this.ask(member, 'POST', path, { body });
      if (status >= 200 && status < 300) {
        return true;
      }
      await sleep(500);
    }
    return false;
  }

  /** The state of a job, asked for at one member after the other until one answers. */
  async state(path, { tries = 10, isQuiet = true } = {}) {
    for (let attempt = 0; attempt < tries; attempt += 1) {
      const member = this.members[attempt % this.members.length];
      const { status, body } = await this.ask(member, 'GET', path, { isQuiet });
      if (status === 200) {
        return body.state;
      }
      if (status === 410) {
        return 'unknown (410)';
      }
      await sleep(300);
    }
    return undefined;
  }

  async close() {
    this.isClosed = true;
    const children = [
      ...this.members.map((member) => Object.assign(member, { isOurs: true }).child),
      ...[...this.workers.values()].map(({ child }) => child),
    ];
    await Promise.all(
      children
        .filter((child) => child.exitCode === null && child.signalCode === null)
        .map((child) => {
          const exited = once(child, 'exit');
          child.kill('SIGKILL');
          return exited;
        }),
    );
    this.store.close();
    rmSync(this.folder, { recursive: true, force: true });
  }

  settingsOf(id, host) {
    const bounds = Object.entries(this.bounds).map(([name, value]) => `${name} = ${value}`);
    return `nodeName = "${id}"
role = "member"
machineClass = "front"
serves = ["front"]
ip = "${host}"
zone = "z1"
region = "r1"
portRange = [${PEER_PORTS.join(',')}]
seeds = []
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = ${this.heartbeatMs}
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform"]
controlMode = "call"
advice = ""
[zones]
z1 = "r1"
[listen]
front = "${host}:${FRONT_PORT}"
ready = "${host}:${READY_PORT}"
[limits]
cpuWeight = 0.675
cores = 1
memoryMb = 350
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
${bounds.join('\n')}
[platform]
address = "${this.storeAddress}"
form = "log"
writesPerS = 800
readsPerS = 2000
`;
  }
}

function call({ host, port, method = 'GET', path, body, timeout, key }) {
  return new Promise((resolve) => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const none = () => resolve({ status: 0, body: undefined });
    const headers = {
      host: 'jobs.example',
      'x-timeout-ms': String(timeout),
      ...(key === undefined ? {} : { authorization: `Token ${key}` }),
      ...(text === undefined
        ? {}
        : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }),
    };
    const sent = request({ host, port, method, path, headers, timeout, agent: false });
    sent.once('timeout', () => sent.destroy());
    sent.once('error', none);
    sent.once('response', (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.once('error', none);
      response.once('end', () => {
        const received = Buffer.concat(chunks).toString();
        let decoded;
        try {
          decoded = received === '' ? undefined : JSON.parse(received);
        } catch {
          decoded = received.slice(0, 100);
        }
        resolve({ status: response.statusCode, body: decoded });
      });
    });
    sent.end(text);
  });
}

/** The machines on which processes ended by themselves three times or more, as the rule on faults counts. */
export function faultyMachines({ ownEnds }) {
  const counts = new Map();
  ownEnds.forEach((id) => counts.set(id, (counts.get(id) ?? 0) + 1));
  return [...counts].filter(([, count]) => count >= OWN_ENDS_OF_A_FAULT).map(([id]) => id);
}

/** Small jobs, one after the other, and what became of them. */
export class OrdinaryJobs {
  accepted = [];
  number = 0;

  constructor(deployment, { first, intervalMillis = 1000, workMillis = 500 }) {
    Object.assign(this, { deployment, first, intervalMillis, workMillis });
  }

  /** Hands in one job after the other for so long. */
  async handIn(millis) {
    const until = Date.now() + millis;
    const sent = [];
    while (Date.now() < until) {
      sent.push(this.handInOne());
      await sleep(this.intervalMillis);
    }
    await Promise.all(sent);
  }

  async handInOne() {
    const path = `/q1/${jobId(this.first + this.number)}`;
    this.number += 1;
    const work = this.workMillis;
    const phases = [{ count: 2, cpu: 1000, memMb: 256, estimateMs: work }];
    if (await this.deployment.submit(path, { spec: String(work), phases }, { tries: 3 })) {
      this.accepted.push(path);
    }
  }

  /** The accepted jobs that are not shown as completed within `finish_s`, with what is shown instead. */
  async unfinished() {
    const states = new Map(this.accepted.map((path) => [path, undefined]));
    const until = Date.now() + FINISH_MILLIS;
    const open = () => [...states].filter(([, state]) => state !== 'completed');
    while (open().length > 0 && Date.now() < until) {
      const answers = open().map(async ([path]) => {
        states.set(path, await this.deployment.state(path, { tries: 3 }));
      });
      await Promise.all(answers);
      await sleep(500);
    }
    return open().map(([path, state]) => `${path}: ${state ?? 'no answer'}`);
  }
}

export function configOf({ tenants, routes, version = 1 } = {}) {
  return {
    version,
    routes: routes ?? [routeOf('q1')],
    services: [{ name: 'svc', healthPath: '/health', maxConns: 64, enforceCapacity: false }],
    limits: { maxBodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
    tenants: tenants ?? [{ name: 't1', apiKeys: ['key-1'], priority: 1, weight: 100 }],
  };
}

export function routeOf(name, fields = {}) {
  return {
    name,
    host: 'jobs.example',
    pathPrefix: `/${name}/`,
    kind: 'unsafe',
    timeoutMs: 3000,
    targetLatencyMs: 600,
    priority: 0,
    service: 'svc',
    attempts: 4,
    slackFactor: 2,
    ...fields,
  };
}

export function jobId(number) {
  return (0xabc0_0000_0000 + number).toString(16).padStart(16, '0');
}

/** Runs a case with a deployment and exits with its verdict: a list of what broke the rule. */
export async function runCase(recordFile, options, size, act) {
  let code = EXIT_NOT_RUN;
  const deployment = new Deployment(recordFile, options);
  const ends = new Set(['SIGTERM', 'SIGINT']);
  ends.forEach((signal) =>
    process.once(signal, () => void deployment.close().then(() => process.exit(EXIT_NOT_RUN))),
  );
  try {
    await deployment.open(size);
    deployment.note(`ready; ${isTroubled ? 'with' : 'without'} the disruption`);
    const broken = await act(deployment);
    broken.forEach((text) => deployment.note(`BROKEN ${text}`));
    if (broken.length === 0) {
      deployment.note('the rule held');
    }
    code = broken.length === 0 ? EXIT_HELD : EXIT_BROKEN;
  } catch (error) {
    deployment.note(`could not run: ${error.stack}`);
  }
  await deployment.close();
  process.stdout.write(`${['held', 'broken', 'not run'][code]}\n`);
  process.exit(code);
}
