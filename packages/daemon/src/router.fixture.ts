/** Builds forwarders and router backends over fake shards and a fake second daemon. */

import { createHash } from 'node:crypto';
import type { WorkRequest } from '@bamboowell/front/backend';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import { ManualClock } from '@bamboowell/kernel/manual-clock';
import type { MembersMessage } from '@bamboowell/membership/members-messages';
import { MemoryCounters } from '@bamboowell/metrics/counters';
import type { Configuration, Key, Queue } from '@bamboowell/types/declarations';
import {
  brandAs,
  type DataCentreId,
  type Epoch,
  type KeyId,
  type MemberId,
  type QueueId,
  type RegionId,
  type RequestId,
  type ShardId,
  type TeamId,
  type Version,
} from '@bamboowell/types/ids';
import { NO_RESOURCES } from '@bamboowell/types/resources';
import { deadlineAfter, NEVER, type Deadline } from '@bamboowell/types/time';
import type { Result } from '@bamboowell/types/verdict';
import type { WireAnswer } from '@bamboowell/wire/connection';
import type { CellMessage } from './cell-messages.js';
import { Forwarder } from './forwarder.js';
import { LocalShards } from './local-shards.js';
import { parseForwardedRequest, type ForwardedRequest } from './peer-messages.js';
import { RouterBackend } from './router-backend.js';
import type { RoutingMessage, RoutingTable, RoutingEntry } from './routing-task.js';
import type { ShardMessage, ShardsMessage } from './shard-messages.js';

export const SELF = brandAs<MemberId>('entry-1');
export const OTHER = brandAs<MemberId>('entry-2');
export const SHARD = brandAs<ShardId>('nairobi-1');
export const OTHER_SHARD = brandAs<ShardId>('nairobi-2');
export const SECRET = 'tulip';
export const REGION = brandAs<RegionId>('kenya');

export function hashOf(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}

export function keyFor(id: string, team: string | null, withdrawn = false): Key {
  return {
    id: brandAs<KeyId>(id),
    team: team === null ? null : brandAs<TeamId>(team),
    secretHash: hashOf(SECRET),
    withdrawn,
  };
}

function queueFor(id: string, access: Queue['access']): Queue {
  return { id: brandAs<QueueId>(id), access, maxWaiting: 10 };
}

/**
 * Team `holds` with a key `k-holds` and the queue `nightly`, team `spares` with `k-spares`, team
 * `guests` with the open queue `open`, an operator's key `k-root`, a withdrawn key `k-old`.
 */
export function testConfiguration(): Configuration {
  const teams = ['holds', 'spares', 'guests'].map((id) => brandAs<TeamId>(id));
  const [holds, spares, guests] = teams as [TeamId, TeamId, TeamId];
  const keys = [
    keyFor('k-holds', holds),
    keyFor('k-spares', spares),
    keyFor('k-root', null),
    keyFor('k-old', holds, true),
  ];
  const queues = [
    queueFor('nightly', { kind: 'teams', teams: [holds] }),
    queueFor('open', { kind: 'open', team: guests }),
  ];
  const centres = [SHARD, OTHER_SHARD].map((shard) => brandAs<DataCentreId>(shard));
  return {
    version: brandAs<Version>(3),
    teams: new Map(teams.map((id) => [id, { id, share: 1, limit: NO_RESOURCES }])),
    queues: new Map(queues.map((queue) => [queue.id, queue])),
    keys: new Map(keys.map((key) => [key.id, key])),
    dataCentres: new Map(centres.map((id) => [id, { id, region: REGION }])),
  };
}

export function credentials(key: string, secret = SECRET) {
  return { key: brandAs<KeyId>(key), secret };
}

export function routingEntryOn(member: MemberId): RoutingEntry {
  return { member, epoch: brandAs<Epoch>(1), running: 0, waiting: 0 };
}

export function workRequest(changes: Partial<WorkRequest> = {}): WorkRequest {
  return {
    queue: brandAs<QueueId>('nightly'),
    requestId: brandAs<RequestId>('r-1'),
    shape: { kind: 'batch', tasks: 1 },
    urgency: 'ordinary',
    demand: { ...NO_RESOURCES, slots: 1 },
    expectedMillis: 0,
    idempotent: false,
    checkpointable: false,
    payload: '',
    dataCentre: null,
    ...changes,
  };
}

export interface RouterHarnessOptions {
  readonly table?: Partial<RoutingTable>;
  /** Answers of this daemon's own shards, in order; the last one is repeated. */
  readonly local?: readonly Result<unknown>[];
  /** Answers of the other daemon, in order; the last one is repeated. */
  readonly remote?: readonly WireAnswer[];
}

export interface RouterHarness {
  readonly clock: ManualClock;
  readonly counters: MemoryCounters;
  readonly forwarder: Forwarder;
  readonly backend: RouterBackend;
  /** Messages that reached this daemon's own shards. */
  readonly delivered: { readonly shard: ShardId; readonly message: ShardMessage }[];
  /** Requests that went to the other daemon. */
  readonly sent: ForwardedRequest[];
  /** A deadline ten seconds away. */
  readonly deadline: Deadline;
  /** Awaits the promise while advancing the clock in steps. */
  readonly settle: <Value>(promise: Promise<Value>) => Promise<Value>;
}

/** A router of the daemon `entry-1` with fakes for its shards, routing table and other daemon. */
export function routerHarness(options: RouterHarnessOptions = {}): RouterHarness {
  const clock = new ManualClock(1_000);
  const counters = new MemoryCounters();
  const delivered: RouterHarness['delivered'] = [];
  const sent: ForwardedRequest[] = [];
  const shards = fakeShards(options.local ?? [], delivered);
  const parts = {
    self: SELF,
    clock,
    random: () => 0.5,
    counters,
    members: fakeMembers(options.remote ?? [], sent),
    routing: fakeRouting(options.table ?? {}),
    local: new LocalShards(shards, clock),
  };
  const forwarder = new Forwarder(parts);
  const backend = new RouterBackend({
    ...parts,
    region: REGION,
    operators: [{ id: brandAs<KeyId>('k-first'), secretHash: hashOf(SECRET) }],
    cell: { post: () => 'full' } satisfies MailboxAddress<CellMessage>,
    forwarder,
    watch: { shards, forwarder, clock },
    unique: () => 'u1',
    seed: 5,
  });
  const deadline = deadlineAfter(clock.now(), 10_000);
  const settle = <Value>(promise: Promise<Value>) => settleWithin(clock, promise);
  return { clock, counters, forwarder, backend, delivered, sent, deadline, settle };
}

const STEP_MILLIS = 25;
const STEPS = 1_000;

async function settleWithin<Value>(clock: ManualClock, promise: Promise<Value>): Promise<Value> {
  const state = { isSettled: false };
  const watched = promise.finally(() => {
    state.isSettled = true;
  });
  for (let step = 0; step < STEPS; step += 1) {
    await new Promise((resolve) => setImmediate(resolve));
    if (state.isSettled) {
      return watched;
    }
    clock.advance(STEP_MILLIS);
  }
  throw new Error('the promise did not settle');
}

function fakeRouting(changes: Partial<RoutingTable>): MailboxAddress<RoutingMessage> {
  const table = {
    configuration: testConfiguration(),
    freshUntil: NEVER,
    owners: new Map(),
    local: new Map(),
    members: [],
    ...changes,
  };
  return {
    post: (message) => {
      if (message.kind === 'read') {
        message.reply(table);
      }
      return 'accepted';
    },
  };
}

/** Answers each message with the next answer. Without answers it never replies. */
function fakeShards(
  answers: readonly Result<unknown>[],
  delivered: RouterHarness['delivered'],
): MailboxAddress<ShardsMessage> {
  const next = sequenceOf(answers);
  return {
    post: (message) => {
      if (message.kind !== 'deliver') {
        return 'accepted';
      }
      delivered.push(message);
      const answer = next();
      if (answer !== undefined && 'reply' in message.message) {
        (message.message.reply as (result: Result<unknown>) => void)(answer);
      }
      return 'accepted';
    },
  };
}

function fakeMembers(
  answers: readonly WireAnswer[],
  sent: ForwardedRequest[],
): MailboxAddress<MembersMessage> {
  const next = sequenceOf(answers);
  return {
    post: (message) => {
      if (message.kind !== 'request') {
        return 'accepted';
      }
      const request = parseForwardedRequest(message.params);
      if (request === undefined) {
        throw new Error('a malformed request was sent');
      }
      sent.push(request);
      const answer = next();
      if (answer !== undefined) {
        message.reply(answer);
      }
      return 'accepted';
    },
  };
}

function sequenceOf<Item>(items: readonly Item[]): () => Item | undefined {
  let at = 0;
  return () => {
    const item = items[Math.min(at, items.length - 1)];
    at += 1;
    return item;
  };
}
