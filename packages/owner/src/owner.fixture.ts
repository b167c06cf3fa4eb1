/** A shard's owner with a simulated log. Tests send the worker's reports themselves. */

import { Backoff } from '@bamboowell/policy/retry';
import { FirstComeFirstServed } from '@bamboowell/policy/ordering';
import { FirstFit, type Placement } from '@bamboowell/policy/placement';
import { EMPTY_CONFIGURATION } from '@bamboowell/state/configuration';
import type { Configuration } from '@bamboowell/types/declarations';
import {
  brandAs,
  workIdFrom,
  type AttemptId,
  type DataCentreId,
  type Epoch,
  type Incarnation,
  type MemberId,
  type Offset,
  type QueueId,
  type RackId,
  type RegionId,
  type RequestId,
  type ShardId,
  type TeamId,
  type WorkerId,
  type WriterId,
} from '@bamboowell/types/ids';
import type { ShardRecord, Stamped } from '@bamboowell/types/records';
import { NO_RESOURCES, type Resources } from '@bamboowell/types/resources';
import {
  deadlineAfter,
  NEVER,
  type Deadline,
  type Instant,
  type WorkerInstant,
} from '@bamboowell/types/time';
import type { Work } from '@bamboowell/types/work';
import type { AttemptReport, WorkerCommand, WorkerReport } from '@bamboowell/types/worker-messages';
import type { Input, Output, Token } from './messages.js';
import { DEFAULT_OWNER_SETTINGS } from './settings.js';
import { ShardOwner } from './shard-owner.js';

export const SHARD = brandAs<ShardId>('a');
export const TEAM = brandAs<TeamId>('lab');
export const WORKER = brandAs<WorkerId>('w1');
export const CAPACITY: Resources = { millicores: 8000, memoryMib: 8192, accelerators: 0, slots: 8 };
export const SMALL: Resources = { millicores: 1000, memoryMib: 512, accelerators: 0, slots: 0 };
export const SLOT: Resources = { ...NO_RESOURCES, slots: 1 };

const EPOCH = brandAs<Epoch>(1);
const WORKER_CLOCK_AHEAD_MILLIS = 5_000_000;

/** Retries at once. */
class NoDelay extends Backoff {
  retryAt(_failures: number, now: Instant): Deadline {
    return deadlineAfter(now, 0);
  }
}

export function workOf(changes: Partial<Work> = {}): Work {
  const requestId = changes.requestId ?? brandAs<RequestId>('r1');
  return {
    id: workIdFrom(SHARD, TEAM, requestId),
    team: TEAM,
    queue: brandAs<QueueId>('runs'),
    requestId,
    shape: { kind: 'batch', tasks: 1 },
    urgency: 'ordinary',
    demand: SMALL,
    expectedMillis: 0,
    idempotent: false,
    checkpointable: false,
    payload: '',
    ...changes,
  };
}

export function workerNamed(name: string): WorkerId {
  return brandAs<WorkerId>(name);
}

export function requestNamed(name: string): RequestId {
  return brandAs<RequestId>(name);
}

function configurationWith(limit: Resources): Configuration {
  const queue = {
    id: brandAs<QueueId>('runs'),
    access: { kind: 'teams' as const, teams: [TEAM] },
    maxWaiting: 100,
  };
  const dataCentre = { id: brandAs<DataCentreId>('a'), region: brandAs<RegionId>('r') };
  return {
    ...EMPTY_CONFIGURATION,
    teams: new Map([[TEAM, { id: TEAM, share: 1, limit }]]),
    queues: new Map([[queue.id, queue]]),
    dataCentres: new Map([[dataCentre.id, dataCentre]]),
  };
}

/** An owner under test. Methods that step it return the outputs of those steps. */
export class OwnerHarness {
  readonly owner: ShardOwner;
  now = brandAs<Instant>(1_000_000);
  /** Whether appended records are read back at once. */
  isLogUp = true;
  readonly unread: Stamped<ShardRecord>[] = [];
  private offset = 0;
  private tokens = 0;

  /** @param writer differs between owners that fold the same stream. */
  constructor(writer = 'e1/1/1', placement: Placement = new FirstFit()) {
    this.owner = new ShardOwner({
      shard: SHARD,
      member: brandAs<MemberId>('e1'),
      writer: brandAs<WriterId>(writer),
      placement,
      ordering: new FirstComeFirstServed(),
      backoff: new NoDelay(),
      settings: DEFAULT_OWNER_SETTINGS,
    });
  }

  /** Steps the owner and, while the log is up, reads its records back until there are no more. */
  step(input: Input): Output[] {
    const outputs = this.owner.step(input, this.now);
    const records = outputs.flatMap((output) => (output.kind === 'append' ? output.records : []));
    this.unread.push(...records);
    return this.isLogUp ? [...outputs, ...this.readBack()] : outputs;
  }

  readBack(): Output[] {
    const records = this.unread.splice(0);
    if (records.length === 0) {
      return [];
    }
    this.offset += 1;
    return this.step({ kind: 'batch', batch: { offset: brandAs<Offset>(this.offset), records } });
  }

  advance(millis: number): Output[] {
    this.now = brandAs<Instant>(this.now + millis);
    const outputs = this.step({ kind: 'authority', authority: this.freshAuthority() });
    return [...outputs, ...this.step({ kind: 'tick' })];
  }

  /** Claims the shard, takes the limit in full, and attaches one worker. */
  takeOwnership(limit: Resources = CAPACITY): void {
    this.step({ kind: 'restored', snapshot: undefined });
    this.step({ kind: 'authority', authority: this.freshAuthority() });
    this.step({ kind: 'workers', vms: [this.listedWorker()] });
    this.step({ kind: 'claim', epoch: EPOCH, votes: [] });
    this.setHolding(limit);
    this.attach();
  }

  setHolding(limit: Resources, allowed: Resources = limit): Output[] {
    const holding = { held: limit, total: limit, allowed };
    return this.step({
      kind: 'cell',
      view: {
        configuration: configurationWith(limit),
        epoch: EPOCH,
        holdings: new Map([[TEAM, holding]]),
      },
    });
  }

  attach(attempts: readonly AttemptReport[] = [], incarnation = 'w1-1'): Output[] {
    return this.attachWorker(WORKER, attempts, incarnation);
  }

  /** Attaches another worker that runs nothing. */
  attachAs(name: string): Output[] {
    return this.attachWorker(workerNamed(name), [], `${name}-1`);
  }

  private attachWorker(
    worker: WorkerId,
    attempts: readonly AttemptReport[],
    incarnation: string,
  ): Output[] {
    return this.report({
      kind: 'attached',
      worker,
      incarnation: brandAs<Incarnation>(incarnation),
      epoch: EPOCH,
      profile: {
        id: worker,
        dataCentre: brandAs<DataCentreId>('a'),
        rack: brandAs<RackId>('k1'),
        capacity: CAPACITY,
      },
      workerNow: this.workerNow(),
      attempts,
      leaving: false,
    });
  }

  report(report: WorkerReport): Output[] {
    return this.step({ kind: 'report', report });
  }

  heartbeat(): Output[] {
    return this.report({
      kind: 'usage',
      worker: WORKER,
      workerNow: this.workerNow(),
      attempts: [],
      leaving: false,
    });
  }

  submit(work: Work, timeoutMillis = 5_000): Output[] {
    return this.step({
      kind: 'submit',
      work,
      deadline: deadlineAfter(this.now, timeoutMillis),
      token: this.token(),
    });
  }

  call(work: Work, timeoutMillis = 60_000): Output[] {
    return this.step({
      kind: 'call',
      work,
      deadline: deadlineAfter(this.now, timeoutMillis),
      token: this.token(),
    });
  }

  workerNow(): WorkerInstant {
    return brandAs<WorkerInstant>(this.now + WORKER_CLOCK_AHEAD_MILLIS);
  }

  private token(): Token {
    this.tokens += 1;
    return brandAs<Token>(this.tokens);
  }

  private freshAuthority() {
    return { freshUntil: NEVER, mayRenew: true };
  }

  listedWorker() {
    const vm = {
      role: 'worker' as const,
      worker: WORKER,
      region: brandAs<RegionId>('r'),
      dataCentre: brandAs<DataCentreId>('a'),
      rack: brandAs<RackId>('k1'),
      address: { host: '127.0.0.1', port: 1 },
      state: 'live' as const,
    };
    return { worker: WORKER, vm };
  }
}

/** A harness whose owner owns the shard. */
export function owningHarness(limit?: Resources, placement?: Placement): OwnerHarness {
  const harness = new OwnerHarness('e1/1/1', placement);
  harness.takeOwnership(limit);
  return harness;
}

/** The commands of the given kind in the outputs. */
export function commandsOf(
  outputs: readonly Output[],
  kind: WorkerCommand['kind'],
): WorkerCommand[] {
  return outputs.flatMap((output) =>
    output.kind === 'command' && output.command.kind === kind ? [output.command] : [],
  );
}

export function startedAttempts(outputs: readonly Output[]): AttemptId[] {
  return commandsOf(outputs, 'start').flatMap((command) =>
    'attempt' in command ? [command.attempt] : [],
  );
}

export function responsesOf(outputs: readonly Output[]) {
  return outputs.flatMap((output) => (output.kind === 'respond' ? [output.response] : []));
}

export function refusalsOf(outputs: readonly Output[]) {
  return outputs.flatMap((output) => (output.kind === 'refuse' ? [output.refusal] : []));
}
