/**
 * A model of three members that share one log. Random schedules delay, reorder and lose messages
 * and log operations in every way that the platform allows. After each step, no two members may
 * both be exclusive owners. With any one guard removed, the same schedules must find two owners.
 */

import test from 'ava';
import fc from 'fast-check';
import { ShardFold } from '@bamboowell/state/shard-fold';
import {
  brandAs,
  type Epoch,
  type Incarnation,
  type MemberId,
  type Offset,
  type Sequence,
  type ShardId,
  type WriterId,
} from '@bamboowell/types/ids';
import type { ShardRecord, Stamped } from '@bamboowell/types/records';
import { hasPassed, type Instant } from '@bamboowell/types/time';
import { ClaimLedger } from './claim-ledger.js';
import { ClaimSchedule } from './claims.js';
import {
  OwnershipFreshness,
  type OwnershipStatus,
  type MemberStatement,
} from './ownership-freshness.js';
import { FailureDetector } from './failure-detector.js';

const SHARD = brandAs<ShardId>('shard-1');
const MEMBERS = ['a', 'b', 'c'].map((name) => brandAs<MemberId>(name));
/** Clocks start at different values, and their rates differ by up to two percent. */
const CLOCKS = [
  { offset: 0, rate: 1 },
  { offset: 100_000, rate: 1.01 },
  { offset: 5_000_000, rate: 0.99 },
];

/**
 * The rules that keep an owner exclusive. A run removes at most one of them.
 * - `handover`: a new owner waits until no earlier owner can be fresh.
 * - `echo`: a statement dates from when its receiver sent the newest heartbeat that the sender had
 *   received, not from its receipt.
 * - `every_member`: without the log, an owner needs the statements of all other members.
 * - `log_read_sent`: a read of the log dates from when it was sent, not from its answer.
 * - `own_incarnation`: a member owns nothing by a claim of its earlier incarnation.
 * - `release_first`: an owner stops acting before it appends the release.
 * - `epochs_and_log_answers`: statements carry epochs and whether the log answers the member.
 * - `fence`: a worker refuses starts of epochs below the highest that it has seen.
 */
type Guard =
  | 'none'
  | 'handover'
  | 'echo'
  | 'every_member'
  | 'log_read_sent'
  | 'own_incarnation'
  | 'release_first'
  | 'epochs_and_log_answers'
  | 'fence';

function itemAt<Item>(items: readonly Item[], index: number): Item {
  const item = items[index];
  if (item === undefined) {
    throw new RangeError(`no item ${index}`);
  }
  return item;
}

interface Message {
  readonly from: number;
  readonly to: number;
  readonly statement: Omit<MemberStatement, 'madeAfter'>;
  readonly suspects: ReadonlySet<MemberId>;
  readonly echoOfSentAt: Instant | undefined;
  readonly sentAt: Instant;
}

interface Node {
  readonly index: number;
  readonly member: MemberId;
  readonly incarnation: Incarnation;
  readonly writer: WriterId;
  readonly freshness: OwnershipFreshness;
  readonly failureDetector: FailureDetector;
  readonly ledger: ClaimLedger;
  readonly claimSchedule: ClaimSchedule;
  fold: ShardFold;
  sequence: number;
  read: { readonly sentAt: Instant; served: number | undefined } | undefined;
  lastReadAt: Instant | undefined;
  logAnswered: boolean;
  hasRead: boolean;
  /** When the newest message of each other member was sent; echoed in this node's messages. */
  readonly newestSentAt: Map<MemberId, Instant>;
  readonly votes: Map<MemberId, ReadonlySet<MemberId>>;
}

class Cluster {
  private time = 0;
  private restarts = 0;
  private readonly log: Stamped<ShardRecord>[] = [];
  private readonly appends: Stamped<ShardRecord>[] = [];
  private readonly messages: Message[] = [];
  private readonly cutOff = new Set<number>();
  private readonly asleep = new Set<number>();
  private readonly logUp = MEMBERS.map(() => true);
  private readonly nodes: Node[];
  private workerEpoch = brandAs<Epoch>(0);

  constructor(private readonly removed: Guard) {
    this.nodes = MEMBERS.map((_, index) => this.newNode(index));
  }

  step({ kind, node: index, amount }: Step): void {
    const node = itemAt(this.nodes, index);
    switch (kind) {
      case 'pass':
        this.time += amount * 40;
        break;
      case 'beat':
        this.sendHeartbeats(node);
        break;
      case 'deliver_one':
        this.deliver(this.messages.splice(amount % Math.max(1, this.messages.length), 1));
        break;
      case 'deliver_all':
        this.deliver(this.takeMessages(({ to }) => to === index));
        break;
      case 'lose':
        this.takeMessages(({ from }) => from === index);
        break;
      case 'send_read':
        node.read ??= { sentAt: this.now(node), served: undefined };
        break;
      case 'serve_read':
        this.serveRead(node);
        break;
      case 'finish_read':
        this.finishRead(node);
        break;
      case 'claim':
        this.claim(node);
        break;
      case 'land':
        this.log.push(...this.appends.splice(amount % Math.max(1, this.appends.length), 1));
        break;
      case 'release':
        this.release(node);
        break;
      case 'restart':
        this.nodes[index] = this.newNode(index);
        break;
      case 'log_down':
        this.logUp[index] = false;
        break;
      case 'log_up':
        this.logUp[index] = true;
        break;
      case 'attach':
        this.attach(node);
        break;
      case 'cut':
        this.cutOff.add(index);
        break;
      case 'heal':
        this.cutOff.delete(index);
        break;
      case 'sleep':
        this.asleep.add(index);
        break;
      case 'wake':
        this.asleep.delete(index);
        break;
      case 'round':
        this.round(amount);
        break;
    }
  }

  /** Describes two members that may both act as owner, if there are any. */
  conflict(): string | undefined {
    const fresh = this.nodes.flatMap((node) => this.freshOf(node));
    for (const older of fresh) {
      for (const newer of fresh) {
        if (older.epoch < newer.epoch && newer.exclusive) {
          return `${older.epoch} and ${newer.epoch}`;
        }
        if (older.epoch < newer.epoch && older.mayStart && newer.epoch === this.workerEpoch) {
          return `start at ${older.epoch} on a worker of ${newer.epoch}`;
        }
      }
    }
    const epochs = fresh.map(({ epoch }) => epoch);
    return new Set(epochs).size < epochs.length ? 'one epoch twice' : undefined;
  }

  /** The highest epoch in which some member is fresh. */
  highestFreshEpoch(): number {
    return Math.max(0, ...this.nodes.flatMap((node) => this.freshOf(node)).map((o) => o.epoch));
  }

  private freshOf(node: Node) {
    const now = this.now(node);
    const status: OwnershipStatus = node.freshness.status(now);
    if (status.kind !== 'fresh') {
      return [];
    }
    const { epoch, exclusiveFrom } = status;
    const exclusive = this.removed === 'handover' || hasPassed(exclusiveFrom, now);
    const mayStart = this.removed === 'fence' || epoch >= this.workerEpoch;
    return [{ epoch, exclusive, mayStart }];
  }

  private now({ index }: { readonly index: number }): Instant {
    const clock = itemAt(CLOCKS, index);
    return brandAs<Instant>(clock.offset + this.time * clock.rate);
  }

  private newNode(index: number): Node {
    this.restarts += 1;
    const member = itemAt(MEMBERS, index);
    const freshness = new OwnershipFreshness(member, SHARD);
    const others = MEMBERS.filter((other) => other !== member);
    freshness.setExpectedMembers(this.removed === 'every_member' ? others.slice(0, 1) : others);
    const failureDetector = new FailureDetector(this.now({ index }));
    others.forEach((other) => {
      failureDetector.monitor(other, this.now({ index }));
    });
    const name = `${member}-${this.restarts}`;
    return {
      index,
      member,
      incarnation: brandAs<Incarnation>(name),
      writer: brandAs<WriterId>(name),
      freshness,
      failureDetector,
      ledger: new ClaimLedger(),
      claimSchedule: new ClaimSchedule(),
      fold: new ShardFold(),
      sequence: 0,
      read: undefined,
      lastReadAt: undefined,
      logAnswered: true,
      hasRead: false,
      newestSentAt: new Map(),
      votes: new Map(),
    };
  }

  private sendHeartbeats(node: Node): void {
    const sentAt = this.now(node);
    const suspects = node.failureDetector.suspects(sentAt);
    const statement = {
      member: node.member,
      incarnation: node.incarnation,
      logAnswers: node.logAnswered,
      unresolvedClaims: node.ledger.unresolvedShards(),
      epochs: new Map(node.hasRead ? [[SHARD, node.fold.epoch]] : []),
      left: false,
    };
    node.logAnswered = false;
    MEMBERS.forEach((member, to) => {
      if (to !== node.index) {
        const echoOfSentAt = node.newestSentAt.get(member);
        this.messages.push({ from: node.index, to, statement, suspects, echoOfSentAt, sentAt });
      }
    });
  }

  private deliver(messages: readonly Message[]): void {
    for (const { from, to, statement, suspects, echoOfSentAt, sentAt } of messages) {
      const node = itemAt(this.nodes, to);
      const sender = itemAt(MEMBERS, from);
      const now = this.now(node);
      const at = this.removed === 'echo' ? now : echoOfSentAt;
      node.failureDetector.recordHeartbeat(sender, now);
      node.votes.set(sender, suspects);
      node.newestSentAt.set(sender, sentAt);
      if (at !== undefined) {
        node.freshness.recordStatement({ ...this.withGuardRemoved(statement), madeAfter: at }, now);
      }
    }
  }

  private withGuardRemoved(
    statement: Omit<MemberStatement, 'madeAfter'>,
  ): Omit<MemberStatement, 'madeAfter'> {
    return this.removed === 'epochs_and_log_answers'
      ? { ...statement, logAnswers: false, epochs: new Map([[SHARD, brandAs<Epoch>(0)]]) }
      : statement;
  }

  private serveRead(node: Node): void {
    if (!this.logUp[node.index]) {
      node.freshness.recordLogFailure();
      node.read = undefined;
    } else if (node.read !== undefined) {
      node.read.served = this.log.length;
    }
  }

  private finishRead(node: Node): void {
    const served = node.read?.served;
    if (node.read === undefined || served === undefined) {
      return;
    }
    for (let offset = node.fold.upTo as number; offset < served; offset += 1) {
      this.fold(node, itemAt(this.log, offset), brandAs<Offset>(offset));
    }
    const { epoch, owner } = node.fold;
    const readAt = this.removed === 'log_read_sent' ? this.now(node) : node.read.sentAt;
    node.read = undefined;
    node.lastReadAt = readAt;
    node.logAnswered = true;
    node.hasRead = true;
    node.ledger.recordFoldedEpoch(SHARD, epoch);
    node.freshness.recordRead(readAt, { epoch, owner }, this.wonClaim(node), this.now(node));
  }

  private fold(node: Node, stamped: Stamped<ShardRecord>, offset: Offset): void {
    const effect = node.fold.apply(stamped, offset);
    const { record, writer } = stamped;
    if (effect.kind === 'applied' && record.kind === 'claim' && writer === node.writer) {
      node.ledger.recordApplied(SHARD, record.epoch);
    }
  }

  private wonClaim(node: Node) {
    const { epoch, owner } = node.fold;
    return this.removed === 'own_incarnation' && owner === node.member
      ? { epoch, afterRelease: true }
      : node.ledger.wonClaim(SHARD, epoch);
  }

  private claim(node: Node): void {
    const now = this.now(node);
    const { epoch, owner } = node.fold;
    const suspects = node.failureDetector.suspects(now);
    const plan = node.claimSchedule.plan({
      self: node.member,
      shard: SHARD,
      shards: [SHARD],
      fold: { epoch, owner },
      foldIsFresh: node.lastReadAt !== undefined && now - node.lastReadAt < 4000,
      claimedBySelf: node.ledger.wonClaim(SHARD, epoch) !== undefined,
      claimUnresolved: node.ledger.isUnresolved(SHARD),
      candidates: MEMBERS.map((member) => ({
        member,
        live: !suspects.has(member),
        leaving: false,
      })),
      voters: { region: MEMBERS, witnesses: [] },
      votes: new Map([...node.votes, [node.member, suspects]]),
      now,
    });
    if (plan.kind === 'claim') {
      const afterRelease = plan.votes.length === 0;
      node.ledger.recordAppend(SHARD, { epoch: plan.epoch, afterRelease });
      const { votes } = plan;
      this.append(node, { kind: 'claim', epoch: plan.epoch, owner: node.member, votes });
    }
  }

  private release(node: Node): void {
    const status = node.freshness.status(this.now(node));
    if (status.kind === 'fresh') {
      if (this.removed !== 'release_first') {
        node.freshness.startRelease();
      }
      this.append(node, { kind: 'release', epoch: status.epoch });
    }
  }

  private append(node: Node, record: ShardRecord): void {
    node.sequence += 1;
    const sequence = brandAs<Sequence>(node.sequence);
    this.appends.push({ writer: node.writer, sequence, record });
  }

  private attach(node: Node): void {
    const status = node.freshness.status(this.now(node));
    if (status.kind === 'fresh' && status.epoch > this.workerEpoch) {
      this.workerEpoch = status.epoch;
    }
  }

  /**
   * One second in which all members that are not paused read the log, claim if they may, and send
   * heartbeats. `amount` decides whether their reads finish and whether appends reach the log.
   */
  private round(amount: number): void {
    this.time += 500;
    for (const node of this.awake()) {
      node.read ??= { sentAt: this.now(node), served: undefined };
      this.serveRead(node);
      if (amount % 5 > 0) {
        this.finishRead(node);
      }
      this.claim(node);
    }
    if (amount % 4 > 0) {
      this.log.push(...this.appends.splice(0));
    }
    for (const node of this.awake()) {
      this.sendHeartbeats(node);
    }
    this.time += 500;
    this.deliver(this.takeMessages(({ from, to }) => this.isDelivered(from, to)));
  }

  private awake(): Node[] {
    return this.nodes.filter(({ index }) => !this.asleep.has(index));
  }

  private isDelivered(from: number, to: number): boolean {
    return !this.cutOff.has(from) && !this.cutOff.has(to) && !this.asleep.has(to);
  }

  private takeMessages(wanted: (message: Message) => boolean): Message[] {
    const taken = this.messages.filter(wanted);
    const rest = this.messages.filter((message) => !wanted(message));
    this.messages.splice(0, this.messages.length, ...rest);
    return taken;
  }
}

/**
 * The kinds of random events. `pass` lets time pass, `beat` sends a member's heartbeats, and `lose`
 * drops its messages. `land` lets an append reach the log. `cut` and `heal` separate a member from
 * the others and reconnect it. `sleep` and `wake` pause and resume it.
 */
const EVENTS = [
  ...['pass', 'beat', 'deliver_one', 'deliver_all', 'lose', 'send_read', 'serve_read'],
  ...['finish_read', 'claim', 'land', 'release', 'restart', 'attach', 'attach'],
  ...['log_down', 'log_down', 'log_up', 'cut', 'heal', 'sleep', 'wake'],
] as const;

interface Step {
  readonly kind: (typeof EVENTS)[number] | 'round';
  readonly node: number;
  readonly amount: number;
}

/** Random events, each followed by rounds that leave time for suspicion and claims. */
function schedules() {
  const event = fc.record({
    kind: fc.constantFrom(...EVENTS),
    node: fc.nat(MEMBERS.length - 1),
    amount: fc.nat(50),
  });
  const rounds = fc.array(fc.nat(50), { maxLength: 6, size: 'max' });
  const eventAndRounds = fc.tuple(event, rounds).map(([first, amounts]): Step[] => {
    return [first, ...amounts.map((amount) => ({ kind: 'round' as const, node: 0, amount }))];
  });
  return fc
    .array(eventAndRounds, { minLength: 5, maxLength: 40, size: 'max' })
    .map((stretches) => stretches.flat());
}

/** The first conflict in the schedule, if any. */
function conflictIn(schedule: readonly Step[], removed: Guard): string | undefined {
  const cluster = new Cluster(removed);
  for (const step of schedule) {
    cluster.step(step);
    const conflict = cluster.conflict();
    if (conflict !== undefined) {
      return conflict;
    }
  }
  return undefined;
}

function steps(kind: Step['kind'], node = 0, amount = 1): Step[] {
  return [{ kind, node, amount }];
}

/** Rounds in which reads finish. `land` tells whether appends reach the log too. */
function rounds(count: number, land: boolean): Step[] {
  return Array.from({ length: count }, () => steps('round', 0, land ? 1 : 4)).flat();
}

/**
 * The owner c can't reach the log. While c is cut off, b claims with the vote of a. Then b is cut
 * off, c and a receive each other's heartbeats again, and b's claim reaches the log.
 */
function claimAcrossTwoCuts(): Step[] {
  const [a, b, c] = [0, 1, 2];
  return [
    ...rounds(4, true),
    ...steps('log_down', c),
    ...steps('log_down', a),
    ...steps('cut', c),
    ...rounds(6, false),
    ...steps('cut', b),
    ...steps('heal', c),
    ...rounds(4, false),
    ...steps('land'),
    ...rounds(6, false),
  ];
}

/** Statements made before b's claim reach the owner c only after b has become the owner. */
function statementsHeldBack(): Step[] {
  const [a, b, c] = [0, 1, 2];
  return [
    ...rounds(4, true),
    ...[a, b, c].flatMap((node) => steps('log_down', node)),
    ...rounds(3, true),
    ...steps('cut', c),
    ...rounds(1, true),
    ...steps('log_up', b),
    ...rounds(12, true),
    ...steps('deliver_one', c, 0),
    ...steps('deliver_one', c, 0),
  ];
}

/** The owner c is cut off from the members but not from the log, and a has just claimed. */
function successorAttaches(): Step[] {
  const [a, , c] = [0, 1, 2];
  return [
    ...rounds(4, true),
    ...steps('cut', c),
    ...rounds(6, false),
    ...steps('land', a, 0),
    ...steps('send_read', a),
    ...steps('serve_read', a),
    ...steps('finish_read', a),
    ...steps('attach', a),
  ];
}

function check(removed: Guard) {
  const property = fc.property(schedules(), (schedule) => {
    return conflictIn(schedule, removed) === undefined;
  });
  const examples: [Step[]][] = [
    [claimAcrossTwoCuts()],
    [statementsHeldBack()],
    [successorAttaches()],
  ];
  return fc.check(property, { seed: 20_261_204, numRuns: 2000, examples, endOnFailure: true });
}

test('no schedule gives two exclusive owners', (t) => {
  const result = check('none');
  t.false(result.failed, JSON.stringify(result.counterexample));
});

test('the schedules hand shards over repeatedly', (t) => {
  const reached = fc.sample(schedules(), { seed: 20_261_204, numRuns: 200 }).map((schedule) => {
    const cluster = new Cluster('none');
    return Math.max(
      ...schedule.map((step) => {
        cluster.step(step);
        return cluster.highestFreshEpoch();
      }),
    );
  });
  t.true(reached.filter((epoch) => epoch >= 2).length >= 100);
  t.true(reached.some((epoch) => epoch >= 4));
});

for (const guard of [
  'handover',
  'echo',
  'every_member',
  'log_read_sent',
  'own_incarnation',
  'release_first',
  'epochs_and_log_answers',
  'fence',
] as const) {
  test(`without the guard ${guard} the schedules find two owners`, (t) => {
    t.true(check(guard).failed);
  });
}
