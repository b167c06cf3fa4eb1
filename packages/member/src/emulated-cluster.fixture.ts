/** Complete members on an emulated platform, driven by one manual clock. */

import { Kernel } from '@bamboowell/kernel/kernel';
import { ManualClock } from '@bamboowell/kernel/manual-clock';
import type { Alarm } from '@bamboowell/kernel/clock';
import { Service, type ServiceKey } from '@bamboowell/kernel/service';
import { ask } from '@bamboowell/kernel/ask';
import { EventLog } from '@bamboowell/logger/logger';
import type { Fields } from '@bamboowell/logger/line';
import { lineOf } from '@bamboowell/logger/line';
import {
  brandAs,
  type DataCentreId,
  type Incarnation,
  type MemberId,
  type Offset,
  type WorkerId,
} from '@bamboowell/types/ids';
import type {
  JobConfiguration,
  JobId,
  JobPlan,
  StepId,
  Ticket,
  WorkerRegistration,
} from '@bamboowell/types/job';
import { NO_RESOURCES } from '@bamboowell/types/resources';
import { DEFAULT_SCHEDULING, type SchedulingOptions } from '@bamboowell/types/scheduling';
import { deadlineAfter } from '@bamboowell/types/time';
import type { GatewayMessage, JobReply, JobRequest } from './gateway-messages.js';
import {
  EmulatedCuts,
  OneWayCut,
  Partition,
  type Attachment,
  type NetworkEnd,
} from './emulated-cuts.fixture.js';
import { EmulatedLines, EmulatedLink } from './emulated-link.fixture.js';
import { EmulatedNetwork, EmulatedPeers } from './emulated-peers.fixture.js';
import {
  NO_FAULTS,
  EmulatedStore,
  EmulatedStorePort,
  type StoreFaults,
  type StoreUse,
} from './emulated-store.fixture.js';
import {
  EmulatedWorker,
  EmulatedWorkerPort,
  type WorkerFaults,
} from './emulated-workers.fixture.js';
import { ProcessClock } from './process-clock.fixture.js';
import { ADVICE, DOCUMENTS, EVENTS, GATEWAY, OWNER, OWNERSHIP, STORE, WORKERS } from './keys.js';
import { JobInvariants } from './job-invariants.fixture.js';
import { SILENCE_TIMEOUT_MILLIS, SUSPICION_MILLIS } from './owner-silence.js';
import { AdvicePort, Documents, type AdviceAnswer, type Decoded } from './ports.js';
import { shutDown } from './shutdown.js';
import {
  ConfigurationService,
  GatewayService,
  ReaderLinkService,
  OwnerService,
  OwnershipService,
  PeersService,
  TrafficService,
} from './services.js';
import type { Machine } from './settings.js';
import type { Store } from './store.js';

const START_WALL_MILLIS = 1_700_000_000_000;
const LONGEST_LEASE_MILLIS = 6000;
const GANG_ASSEMBLY_MILLIS = 3000;
const CONFIGURATION_LIFETIME_MILLIS = 2000;
/** A machine with more resources than a member needs in any role. */
const AMPLE_MACHINE: Machine = { cores: 1, memoryMib: 1024, linkMbps: 1000 };
/** Region of the store, and of members by default. */
const STORE_REGION = 'r1';

class StaticService<Handle> extends Service<Handle> {
  readonly dependencies = [];

  constructor(
    readonly key: ServiceKey<Handle>,
    private readonly handle: Handle,
  ) {
    super();
  }

  start(): Promise<Handle> {
    return Promise.resolve(this.handle);
  }

  stop(): Promise<void> {
    return Promise.resolve();
  }
}

export class JsonDocuments extends Documents {
  configuration(key: string, value: string): Decoded<JobConfiguration> | undefined {
    return key === 'config'
      ? { kind: 'decoded', value: JSON.parse(value) as JobConfiguration }
      : undefined;
  }

  worker(_key: string, value: string): Decoded<WorkerRegistration> {
    return { kind: 'decoded', value: JSON.parse(value) as WorkerRegistration };
  }

  workerId(key: string): WorkerId {
    return brandAs<WorkerId>(key);
  }

  readonly keyBeforeEvacuations = 'evacuate';

  evacuatedZone(key: string): DataCentreId | undefined {
    return key.startsWith('evacuate/') ? brandAs<DataCentreId>(key.slice(9)) : undefined;
  }

  evacuation(key: string, value: string): Decoded<DataCentreId> {
    const zone = brandAs<DataCentreId>(key.slice(9));
    return value === '{}'
      ? { kind: 'decoded', value: zone }
      : { kind: 'unreadable', detail: 'not an object' };
  }
}

/** An adviser that grants every requested worker. */
class GrantingAdvice extends AdvicePort {
  constructor(private readonly clock: ProcessClock) {
    super();
  }

  async ask(step: StepId, workers: readonly WorkerId[]): Promise<AdviceAnswer> {
    await this.clock.sleepUntil(deadlineAfter(this.clock.now(), 15));
    const ticket = brandAs<Ticket>(`ticket ${step}`);
    return {
      kind: 'granted',
      granted: workers.map((worker) => ({ worker, ticket })),
      validMillis: 2500,
    };
  }
}

class ListLog extends EventLog {
  constructor(
    private readonly member: string,
    private readonly lines: string[],
    private readonly now: () => number,
  ) {
    super();
  }

  event(name: string, fields: Fields = {}): void {
    this.lines.push(`${Math.round(this.now())} ${this.member} ${lineOf(name, fields)}`);
  }
}

/** One process of a member; a restart creates a new one. */
export interface EmulatedMember {
  readonly name: string;
  readonly clock: ProcessClock;
  readonly kernel: Kernel;
  readonly storeFaults: StoreFaults;
  /** Its calls that read from the store. */
  readonly storeUse: StoreUse;
  readonly workerFaults: WorkerFaults;
  /** Undefined until the kernel starts the peers service. */
  peers: EmulatedPeers | undefined;
}

export interface ClusterOptions {
  readonly members?: number;
  readonly workers?: readonly {
    readonly name: string;
    readonly capacity: typeof NO_RESOURCES;
    readonly zone?: string;
  }[];
  readonly configuration: JobConfiguration;
  /** By default the operator's evacuations are not followed. */
  readonly evacuationBoundMillis?: number;
  /** The switches of the scheduler; the default ones if left out. */
  readonly scheduling?: SchedulingOptions;
  /** Resources of a member's machine; ample by default. */
  readonly machineOf?: (name: string) => Machine;
  /** Region of a member; that of the store by default. */
  readonly regionOf?: (name: string) => string;
  /** Bandwidth between two regions in each direction; unlimited by default. */
  readonly lineMbps?: number;
  /** Whether polls of a frozen member end in time, so that it finds their answers when it is thawed. */
  readonly endsPollsOfFrozen?: boolean;
  /** Returns a number from 0 to 1. */
  readonly random?: () => number;
}

export function emulatedCluster(options: ClusterOptions) {
  const clock = new ManualClock(1000);
  const now = (): number => clock.now();
  const random = options.random ?? (() => 0.5);
  const store = new EmulatedStore();
  const lines = new EmulatedLines(clock, options.lineMbps);
  const cuts = new EmulatedCuts();
  const network = new EmulatedNetwork(lines, cuts);
  const jobs = new JobInvariants(now, options.evacuationBoundMillis);
  const log: string[] = [];
  const workers = new Map<WorkerId, EmulatedWorker>();
  for (const { name, capacity, zone } of options.workers ?? []) {
    const worker = new EmulatedWorker(name, capacity, now, jobs, random);
    worker.zone = zone ?? worker.zone;
    workers.set(worker.id, worker);
  }
  jobs.setWorkers(workers.values());
  const members = new Map<string, EmulatedMember>();
  /** What others notice of the silence of frozen members, by name. */
  const silences = new Map<string, Alarm[]>();
  let incarnations = 0;

  const write = (topic: 'operator' | 'workers', key: string, value: string | undefined): void => {
    const end = brandAs<Offset>(store.topic(topic).records.length);
    store.append(topic, [{ key, value }], { kind: 'end_is', end });
  };
  const list = (worker: EmulatedWorker): void => {
    write('workers', worker.id, JSON.stringify(worker.registration()));
  };

  const endsOf = (names: readonly string[]): Set<NetworkEnd> =>
    new Set(names.map((name) => (name === 'store' ? name : brandAs<MemberId>(name))));

  const launch = async (name: string): Promise<EmulatedMember> => {
    incarnations += 1;
    const processClock = new ProcessClock(clock);
    const machine = options.machineOf?.(name) ?? AMPLE_MACHINE;
    const link = new EmulatedLink(clock, machine.linkMbps);
    const kernel = new Kernel();
    const attachment: Attachment = { member: brandAs<MemberId>(name), cuts, clock };
    const storeFaults = { ...NO_FAULTS };
    const region = options.regionOf?.(name) ?? STORE_REGION;
    const storePort = new EmulatedStorePort(
      store,
      processClock,
      storeFaults,
      random,
      link,
      attachment,
      lines.between(STORE_REGION, region),
    );
    const member: EmulatedMember = {
      name,
      clock: processClock,
      kernel,
      storeFaults,
      storeUse: storePort.use,
      workerFaults: { unreachable: new Set(), lateOrderRate: 0 },
      peers: undefined,
    };
    const environment = {
      settings: {
        member: brandAs<MemberId>(name),
        incarnation: brandAs<Incarnation>(`${name}-${incarnations}`),
        region,
        machine,
        peerAddress: { host: name, port: 1 },
        peerPorts: 1,
        configurationLifetimeMillis: CONFIGURATION_LIFETIME_MILLIS,
        longestLeaseMillis: LONGEST_LEASE_MILLIS,
        gangAssemblyMillis: GANG_ASSEMBLY_MILLIS,
        scheduling: options.scheduling ?? DEFAULT_SCHEDULING,
        evacuationBoundMillis: options.evacuationBoundMillis,
        stopMillis: 6000,
      },
      clock: processClock,
      random,
      wallMillis: () => START_WALL_MILLIS + clock.now(),
      gauges: { cpuMicros: () => 0, residentBytes: () => 0 },
      onFailure: (task: string, error: unknown) => {
        jobs.addViolation(`task ${task} of ${name} failed: ${String(error)} ${stackOf(error)}`);
      },
    };
    kernel.register(new StaticService(EVENTS, new ListLog(name, log, now)));
    kernel.register(new StaticService<Store>(STORE, storePort));
    kernel.register(
      new StaticService(
        WORKERS,
        new EmulatedWorkerPort(
          workers,
          processClock,
          member.workerFaults,
          random,
          link,
          attachment,
          options.endsPollsOfFrozen === true ? clock : processClock,
        ),
      ),
    );
    kernel.register(new TrafficService());
    kernel.register(new StaticService(ADVICE, new GrantingAdvice(processClock)));
    kernel.register(new StaticService<Documents>(DOCUMENTS, new JsonDocuments()));
    kernel.register(new ConfigurationService(environment));
    kernel.register(new GatewayService(environment));
    kernel.register(new OwnerService(environment));
    kernel.register(
      new PeersService(environment, (peersOptions) => {
        member.peers = new EmulatedPeers(peersOptions, processClock, link, network);
        return member.peers;
      }),
    );
    kernel.register(new ReaderLinkService(environment));
    kernel.register(new OwnershipService(environment));
    await kernel.start(deadlineAfter(processClock.now(), 1000));
    members.set(name, member);
    return member;
  };

  const flush = (): Promise<void> =>
    new Promise((resolve) => {
      setImmediate(resolve);
    });

  const cluster = {
    clock,
    now,
    store,
    jobs,
    log,
    workers,
    members,
    lines,
    cuts,
    launch,
    /** Separates members, workers and the store, given by name, from all others. */
    partition: (names: readonly string[]): Partition => {
      const partition = new Partition(endsOf(names));
      cuts.add(partition);
      return partition;
    },
    /** Stops what some send to others; calls in the other direction arrive, but get no answer. */
    cutOneWay: (
      from: readonly string[],
      to: readonly string[],
      lateMillis?: () => number,
    ): OneWayCut => {
      const cut = new OneWayCut(endsOf(from), endsOf(to), lateMillis);
      cuts.add(cut);
      return cut;
    },
    /** Lets two ends reach each other again that the partition separates. */
    join: (partition: Partition, left: string, right: string): void => {
      const [leftEnd, rightEnd] = endsOf([left, right]);
      if (leftEnd !== undefined && rightEnd !== undefined) {
        cuts.join(partition, leftEnd, rightEnd);
      }
    },
    list,
    /** Deletes the worker's record, as after it has left or been silent for long. */
    unlist: (worker: EmulatedWorker): void => {
      write('workers', worker.id, undefined);
    },
    declare: (configuration: JobConfiguration): void => {
      write('operator', 'config', JSON.stringify(configuration));
    },
    /** Writes a record of the operator that is not the configuration. */
    declareOther: (key: string, value: string | undefined): void => {
      write('operator', key, value);
      const zone = key.replace(/^evacuate\//, '');
      if (value === undefined) {
        jobs.evacuatedAt.delete(zone);
      } else if (zone !== key && !jobs.evacuatedAt.has(zone)) {
        jobs.evacuatedAt.set(zone, now());
      }
    },
    /** Advances time in small steps, so that all processes act in order. */
    run: async (millis: number): Promise<void> => {
      const until = clock.now() + millis;
      while (clock.now() < until) {
        clock.advance(STEP_MILLIS);
        workers.forEach((worker) => {
          worker.tick();
        });
        await flush();
      }
    },
    kill: (name: string): void => {
      const member = members.get(name);
      silences.get(name)?.forEach((alarm) => {
        alarm.cancel();
      });
      member?.clock.end();
      member?.peers?.processEnded();
      members.delete(name);
    },
    /** @param silenceMillis how long the other ends of its connections wait for a message. */
    freeze: (name: string, silenceMillis = SILENCE_TIMEOUT_MILLIS): void => {
      const member = members.get(name);
      member?.clock.freeze();
      const afterSilence = (afterMillis: number, act: () => void): Alarm =>
        clock.wakeAt(deadlineAfter(clock.now(), afterMillis), act);
      silences.set(name, [
        afterSilence(Math.min(SUSPICION_MILLIS, silenceMillis), () => {
          member?.peers?.suspectAsSilent(true);
        }),
        afterSilence(silenceMillis, () => {
          member?.peers?.dropAsSilent();
        }),
      ]);
    },
    thaw: (name: string): void => {
      const member = members.get(name);
      if (member?.clock.state === 'frozen') {
        silences.get(name)?.forEach((alarm) => {
          alarm.cancel();
        });
        member.clock.thaw();
        member.peers?.suspectAsSilent(false);
      }
    },
    /**
     * Shuts a member down as on SIGTERM, with the given grace period; resolves when the process has
     * ended.
     */
    shutDown: async (name: string, graceMillis = 5000): Promise<void> => {
      const member = members.get(name);
      if (member === undefined) {
        return;
      }
      await shutDown({
        clock: member.clock,
        gateway: member.kernel.find(GATEWAY),
        owner: member.kernel.find(OWNER),
        ownership: member.kernel.find(OWNERSHIP),
        lastRequestsAt: deadlineAfter(member.clock.now(), 1000),
        deadline: deadlineAfter(member.clock.now(), graceMillis),
      });
      cluster.kill(name);
    },
    /** Sends a request to a member; resolves to undefined if it doesn't answer. */
    request: async (
      name: string,
      verb: JobRequest['verb'],
      job: JobId,
      plan?: JobPlan,
      key = 'key',
    ): Promise<JobReply | undefined> => {
      const member = members.get(name);
      if (member === undefined) {
        return undefined;
      }
      if (plan !== undefined) {
        jobs.plans.set(job, plan);
      }
      const request: JobRequest = {
        verb,
        host: 'example',
        path: `/plans/${job}`,
        key,
        waitMillis: 3000,
        body: plan === undefined ? undefined : { kind: 'decoded', value: plan },
      };
      const answer = await ask<GatewayMessage, JobReply>(
        member.kernel.find(GATEWAY),
        (reply) => ({ kind: 'request', request, reply }),
        deadlineAfter(clock.now(), 5000),
        clock,
      );
      return answer.kind === 'answered' ? answer.value : undefined;
    },
    /** Returns the member that last logged that it serves as owner. */
    ownerName: (): string | undefined =>
      log
        .findLast((line) => line.includes('event=owner.ready'))
        ?.split(' ')
        .at(1),
  };
  cluster.declare(options.configuration);
  workers.forEach(list);
  return cluster;
}

/** Time step of the emulation. */
const STEP_MILLIS = 2;

function stackOf(error: unknown): string {
  return error instanceof Error ? (error.stack ?? '') : '';
}
