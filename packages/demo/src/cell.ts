/** A whole cell on one machine: log, VM list, workers and daemons, each a process of its own. */

import { createHash, randomBytes } from 'node:crypto';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { createClient, type Client } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import {
  CallerService,
  OperatorService,
} from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import type { Address } from '@bamboowell/types/vm';
import { request } from 'undici';
import { Child } from './child.js';
import { freePort } from './free-port.js';

/** One worker of the cell. */
export interface WorkerPlan {
  readonly id: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly accelerators?: number;
}

/** One daemon of the cell. */
export interface DaemonPlan {
  readonly id: string;
  readonly region: string;
  readonly dataCentre: string;
}

export interface CellPlan {
  readonly workers: readonly WorkerPlan[];
  readonly daemons: readonly DaemonPlan[];
  /** Data centres and their regions. */
  readonly regions: Readonly<Record<string, string>>;
}

interface RunningDaemon {
  readonly plan: DaemonPlan;
  readonly peerPort: number;
  readonly callerPort: number;
  child: Child;
}

const LOOPBACK = '127.0.0.1';
const SECRET_BYTES = 18;
const MEMORY_MIB = 131_072;
const MILLICORES = 64_000;
const SLOTS = 8;

const OK = 200;
const READY_PAUSE_MILLIS = 50;
const READY_TRIES = 400;

/** A secret, and the hash that is stored in its place. */
export interface KeySecret {
  readonly secret: string;
  readonly hash: string;
}

export function newSecret(): KeySecret {
  const secret = randomBytes(SECRET_BYTES).toString('hex');
  return { secret, hash: createHash('sha256').update(secret).digest('hex') };
}

export class Cell {
  readonly operator = newSecret();
  readonly workers = new Map<string, Child>();
  private readonly running = new Map<string, RunningDaemon>();
  private readonly leaving = new Set<string>();

  private constructor(
    private readonly plan: CellPlan,
    private readonly directory: string,
    readonly log: Child,
    readonly vms: Child,
  ) {}

  static async start(plan: CellPlan): Promise<Cell> {
    const directory = await mkdtemp(join(tmpdir(), 'bamboowell-'));
    const log = await Child.start('log', 'log', ['--port', '0']);
    const vms = await Child.start('vms', 'vms', ['--port', '0']);
    const cell = new Cell(plan, directory, log, vms);
    try {
      await cell.startAll();
    } catch (error) {
      await cell.stop();
      throw error;
    }
    return cell;
  }

  get daemonIds(): string[] {
    return [...this.running.keys()];
  }

  daemon(id: string): Child {
    return this.runningDaemon(id).child;
  }

  /** Starts a daemon, also one that was killed before, and waits until it is ready. */
  async startDaemon(id: string): Promise<void> {
    await this.launchDaemon(id);
    await this.untilReady(id);
  }

  /** Starts a daemon and waits until it listens. */
  async launchDaemon(id: string): Promise<void> {
    const daemon = this.runningDaemon(id);
    const file = join(this.directory, `${id}.json`);
    await writeFile(file, JSON.stringify(this.settingsOf(daemon)));
    daemon.child = await Child.start(id, 'daemon', ['--settings', file]);
  }

  async startWorker(worker: WorkerPlan): Promise<void> {
    const args = {
      id: worker.id,
      'data-centre': worker.dataCentre,
      rack: worker.rack,
      port: '0',
      millicores: String(MILLICORES),
      'memory-mib': String(MEMORY_MIB),
      accelerators: String(worker.accelerators ?? 0),
      slots: String(SLOTS),
    };
    const list = Object.entries(args).flatMap(([name, value]) => [`--${name}`, value]);
    this.workers.set(worker.id, await Child.start(worker.id, 'worker', list));
  }

  /** Shows a VM as leaving in the VM list. */
  async markLeaving(id: string): Promise<void> {
    this.leaving.add(id);
    await this.publishVms();
  }

  /** Sets switches of the VM list's stand-in. */
  async switchVms(switches: object): Promise<void> {
    await put(this.vms.address, '/switches', switches);
  }

  /** Sets the VM list to the daemons and workers of the cell. */
  async publishVms(): Promise<void> {
    const daemons = [...this.running.values()].map(({ plan, peerPort }) => ({
      role: 'entry',
      member: plan.id,
      region: plan.region,
      dataCentre: plan.dataCentre,
      address: { host: LOOPBACK, port: peerPort },
      state: this.leaving.has(plan.id) ? 'leaving' : 'live',
    }));
    const workers = this.plan.workers.map((worker) => ({
      role: 'worker',
      worker: worker.id,
      region: this.plan.regions[worker.dataCentre],
      dataCentre: worker.dataCentre,
      rack: worker.rack,
      address: this.workers.get(worker.id)?.address,
      state: this.leaving.has(worker.id) ? 'leaving' : 'live',
    }));
    await put(this.vms.address, '/vms', { vms: [...daemons, ...workers] });
  }

  /** Sets switches of the log's stand-in and returns all of them. */
  switchLog(switches: object): Promise<object> {
    return put(this.log.address, '/switches', switches);
  }

  operators(daemon: string): Client<typeof OperatorService> {
    return createClient(
      OperatorService,
      this.transport(daemon, `operator.${this.operator.secret}`),
    );
  }

  callers(daemon: string, key?: string): Client<typeof CallerService> {
    return createClient(CallerService, this.transport(daemon, key));
  }

  /** `host:port` at which the daemon takes calls. */
  callerAddress(id: string): string {
    return `${LOOPBACK}:${this.runningDaemon(id).callerPort}`;
  }

  /** Kills all processes. */
  async stop(): Promise<void> {
    const daemons = [...this.running.values()].map(({ child }) => child);
    const children = [...daemons, ...this.workers.values(), this.log, this.vms];
    await Promise.all(children.map((child) => child.kill()));
    await rm(this.directory, { recursive: true, force: true });
  }

  private async startAll(): Promise<void> {
    for (const worker of this.plan.workers) {
      await this.startWorker(worker);
    }
    for (const daemon of this.plan.daemons) {
      this.running.set(daemon.id, {
        plan: daemon,
        peerPort: await freePort(),
        callerPort: await freePort(),
        child: this.vms,
      });
    }
    await this.publishVms();
    await Promise.all(this.plan.daemons.map(({ id }) => this.startDaemon(id)));
  }

  /** Waits until the daemon reports that it takes requests. */
  async untilReady(id: string): Promise<void> {
    for (let attempt = 0; attempt < READY_TRIES; attempt += 1) {
      const { statusCode, body } = await request(`http://${this.callerAddress(id)}/readyz`);
      await body.dump();
      if (statusCode === OK) {
        return;
      }
      await sleep(READY_PAUSE_MILLIS);
    }
    throw new Error(`${id} did not become ready; its log: ${this.daemon(id).log.join('\n')}`);
  }

  private runningDaemon(id: string): RunningDaemon {
    const daemon = this.running.get(id);
    if (daemon === undefined) {
      throw new Error(`the cell has no daemon ${id}`);
    }
    return daemon;
  }

  private settingsOf({ plan, peerPort, callerPort }: RunningDaemon) {
    return {
      memberId: plan.id,
      region: plan.region,
      dataCentre: plan.dataCentre,
      callers: { host: LOOPBACK, port: callerPort },
      peers: { host: LOOPBACK, port: peerPort },
      log: { url: urlOf(this.log.address) },
      vmList: { url: urlOf(this.vms.address), refreshMillis: 500 },
      operators: [{ id: 'operator', secretHash: this.operator.hash }],
      leases: { leaseMillis: 6000, renewMillis: 2000 },
    };
  }

  private transport(daemon: string, key: string | undefined) {
    return createConnectTransport({
      baseUrl: `http://${this.callerAddress(daemon)}`,
      httpVersion: '1.1',
      interceptors: [
        (next) => (message) => {
          if (key !== undefined) {
            message.header.set('authorization', `Bearer ${key}`);
          }
          return next(message);
        },
      ],
    });
  }
}

function urlOf({ host, port }: Address): string {
  return `http://${host}:${port}`;
}

async function put(address: Address, path: string, body: object): Promise<object> {
  const { statusCode, body: answer } = await request(`${urlOf(address)}${path}`, {
    method: 'PUT',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
  const text = await answer.text();
  if (statusCode >= 300) {
    throw new Error(`PUT ${path} was answered ${statusCode}: ${text}`);
  }
  return JSON.parse(text) as object;
}
