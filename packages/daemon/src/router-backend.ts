/** The backend of the front end: authorises requests and forwards them to the shards' owners. */

import { ask } from '@bamboowell/kernel/ask';
import type { Clock } from '@bamboowell/kernel/clock';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import {
  Backend,
  type Acceptance,
  type CallAnswer,
  type CancelOutcome,
  type CellStatus,
  type Explanation,
  type MemberVersion,
  type WorkRequest,
  type Sender,
  type ShardView,
  type WorkView,
} from '@bamboowell/front/backend';
import type { Counters } from '@bamboowell/metrics/counters';
import { refusalCounter } from '@bamboowell/metrics/names';
import type { Response } from '@bamboowell/owner/messages';
import type { Change, Configuration } from '@bamboowell/types/declarations';
import {
  brandAs,
  shardOfWork,
  teamOfWork,
  type MemberId,
  type RegionId,
  type ShardId,
  type TeamId,
  type Version,
  type WorkId,
} from '@bamboowell/types/ids';
import { deadlineAfter, hasPassed, MILLIS_PER_SECOND, type Deadline } from '@bamboowell/types/time';
import { done, refusalOf, refused, type Result } from '@bamboowell/types/verdict';
import {
  operatorRefusal,
  teamOfSender,
  type AuthorisationContext,
  type OperatorKey,
} from './authorise.js';
import type { CellMessage } from './cell-messages.js';
import type { Forwarder } from './forwarder.js';
import type { RoutingTable } from './routing-task.js';
import { ShardChoice } from './shard-choice.js';
import { WorkAdmission } from './work-admission.js';
import { watchWork, type WatchParts } from './watch-work.js';

export interface RouterParts {
  readonly self: MemberId;
  readonly region: RegionId;
  readonly operators: readonly OperatorKey[];
  readonly clock: Clock;
  readonly counters: Counters;
  readonly cell: MailboxAddress<CellMessage>;
  readonly forwarder: Forwarder;
  readonly watch: WatchParts;
  readonly unique: () => string;
  /** Seed of the random choices between shards. */
  readonly seed: number;
}

/**
 * How much longer than the caller's deadline the cell may take to answer. Also limits the lookup
 * of a work item's queue.
 */
const GRACE_MILLIS = MILLIS_PER_SECOND;

export class RouterBackend extends Backend {
  private readonly admission: WorkAdmission;

  constructor(private readonly parts: RouterParts) {
    super();
    const choice = new ShardChoice(parts.region, parts.seed);
    this.admission = new WorkAdmission({ ...parts, choice });
  }

  async submit(
    sender: Sender,
    request: WorkRequest,
    deadline: Deadline,
  ): Promise<Result<Acceptance>> {
    const work = await this.admission.admit(sender, request, deadline);
    if (work.kind === 'refused') {
      return this.countRefusal(work);
    }
    const result = await this.forward<Response>(
      work.value.id,
      { kind: 'submit', work: work.value },
      deadline,
    );
    return this.countRefusal(expectKind(withWorkId(result, work.value.id), 'accepted'));
  }

  async call(
    sender: Sender,
    request: WorkRequest,
    deadline: Deadline,
  ): Promise<Result<CallAnswer>> {
    const work = await this.admission.admit(sender, request, deadline);
    if (work.kind === 'refused') {
      return this.countRefusal(work);
    }
    const result = await this.forward<Response>(
      work.value.id,
      { kind: 'call', work: work.value },
      deadline,
    );
    return this.countRefusal(expectKind(withWorkId(result, work.value.id), 'called'));
  }

  async get(sender: Sender, work: WorkId, deadline: Deadline): Promise<Result<WorkView>> {
    const refusal = await this.accessRefusal(sender, work);
    return this.countRefusal(
      refusal ?? (await this.forward<WorkView>(work, { kind: 'get', work }, deadline)),
    );
  }

  async *watch(sender: Sender, work: WorkId, signal: AbortSignal): AsyncIterable<Result<WorkView>> {
    const refusal = await this.accessRefusal(sender, work);
    if (refusal !== undefined) {
      yield this.countRefusal(refusal);
      return;
    }
    yield* watchWork(this.parts.watch, work, signal);
  }

  async cancel(
    sender: Sender,
    works: readonly WorkId[],
    deadline: Deadline,
  ): Promise<Result<readonly CancelOutcome[]>> {
    for (const work of works) {
      const refusal = await this.accessRefusal(sender, work);
      if (refusal !== undefined) {
        return this.countRefusal(refusal);
      }
    }
    const groups = groupByShard(works);
    const results = await Promise.all(
      [...groups].map(([shard, group]) => this.cancelInShard(shard, group, deadline)),
    );
    return this.countRefusal(done(results.flat()));
  }

  async explain(sender: Sender, work: WorkId, deadline: Deadline): Promise<Result<Explanation>> {
    const refusal = await this.accessRefusal(sender, work);
    return this.countRefusal(
      refusal ?? (await this.forward<Explanation>(work, { kind: 'explain', work }, deadline)),
    );
  }

  async configuration(
    sender: Sender,
  ): Promise<Result<{ configuration: Configuration; fresh: boolean }>> {
    const table = await this.tableForOperator(sender);
    if (table.kind === 'refused') {
      return this.countRefusal(table);
    }
    const { configuration, freshUntil } = table.value;
    return done({ configuration, fresh: !hasPassed(freshUntil, this.parts.clock.now()) });
  }

  async apply(
    sender: Sender,
    base: Version,
    changes: readonly Change[],
    deadline: Deadline,
  ): Promise<Result<Version>> {
    const table = await this.tableForOperator(sender);
    if (table.kind === 'refused') {
      return this.countRefusal(table);
    }
    const { cell, clock } = this.parts;
    const answer = await ask<CellMessage, Result<Version>>(
      cell,
      (reply) => ({ kind: 'apply', base, changes, deadline, reply }),
      deadlineAfter(brandAs(deadline), GRACE_MILLIS),
      clock,
    );
    if (answer.kind === 'answered') {
      return this.countRefusal(answer.value);
    }
    return this.countRefusal(
      answer.why === 'timeout'
        ? {
            kind: 'refused',
            refusal: refusalOf(
              'may_have_run',
              'outcome_unknown',
              'the change was not confirmed by the deadline; it may still be applied',
            ),
          }
        : refused('overloaded', 'too many configuration changes are waiting in this daemon'),
    );
  }

  async enforcement(sender: Sender, version: Version): Promise<Result<readonly MemberVersion[]>> {
    const table = await this.tableForOperator(sender);
    return table.kind === 'refused'
      ? this.countRefusal(table)
      : done(this.versionsOf(table.value, version));
  }

  async status(sender: Sender, deadline: Deadline): Promise<Result<CellStatus>> {
    const table = await this.tableForOperator(sender);
    if (table.kind === 'refused') {
      return this.countRefusal(table);
    }
    const { configuration, freshUntil } = table.value;
    const shards = [...configuration.dataCentres.keys()].map((id) => brandAs<ShardId>(id));
    return done({
      member: this.parts.self,
      version: configuration.version,
      fresh: !hasPassed(freshUntil, this.parts.clock.now()),
      shards: await Promise.all(shards.map((shard) => this.shardStatus(shard, deadline))),
      members: this.versionsOf(table.value, configuration.version),
    });
  }

  private async shardStatus(shard: ShardId, deadline: Deadline): Promise<ShardView> {
    const result = await this.parts.forwarder.forward(shard, { kind: 'status' }, deadline);
    return result.kind === 'done'
      ? (result.value as ShardView)
      : {
          shard,
          owner: '',
          epoch: 0,
          fresh: false,
          waiting: 0,
          running: 0,
          workers: [],
          teams: [],
          error: result.refusal.detail,
        };
  }

  private async cancelInShard(
    shard: ShardId,
    works: readonly WorkId[],
    deadline: Deadline,
  ): Promise<readonly CancelOutcome[]> {
    const result = await this.parts.forwarder.forward(shard, { kind: 'cancel', works }, deadline);
    const response = expectKind(result as Result<Response>, 'cancelled');
    if (response.kind === 'done') {
      return response.value.outcomes;
    }
    const { reason } = response.refusal;
    return works.map((work) => ({ work, verdict: 'may_have_run', reason }));
  }

  private async forward<Value>(
    work: WorkId,
    operation: Parameters<Forwarder['forward']>[1],
    deadline: Deadline,
  ): Promise<Result<Value>> {
    return (await this.parts.forwarder.forward(
      shardOfWork(work),
      operation,
      deadline,
    )) as Result<Value>;
  }

  /** The refusal for a sender that may not access the work item; undefined if it may. */
  private async accessRefusal(sender: Sender, work: WorkId): Promise<Result<never> | undefined> {
    const table = await this.parts.forwarder.table();
    if (table.kind === 'refused') {
      return table;
    }
    const context = this.authorisationContext(table.value);
    if (operatorRefusal(sender, context) === undefined) {
      return undefined;
    }
    const team = teamOfSender(sender, context);
    if (team.kind === 'done' && team.value === teamOfWork(work)) {
      return undefined;
    }
    if (await this.isInOpenQueue(work, table.value)) {
      return undefined;
    }
    return team.kind === 'refused'
      ? team
      : refused('unknown_work', `there is no work item ${work} of team ${team.value}`, 'workId');
  }

  /** Whether the work item is in an open queue, so that anyone who knows its id may access it. */
  private async isInOpenQueue(work: WorkId, table: RoutingTable): Promise<boolean> {
    const { configuration } = table;
    if (!hasOpenQueue(configuration, teamOfWork(work))) {
      return false;
    }
    const deadline = deadlineAfter(this.parts.clock.now(), GRACE_MILLIS);
    const view = await this.forward<WorkView>(work, { kind: 'get', work }, deadline);
    return (
      view.kind === 'done' && configuration.queues.get(view.value.queue)?.access.kind === 'open'
    );
  }

  private async tableForOperator(sender: Sender): Promise<Result<RoutingTable>> {
    const table = await this.parts.forwarder.table();
    if (table.kind === 'refused') {
      return table;
    }
    return operatorRefusal(sender, this.authorisationContext(table.value)) ?? table;
  }

  private authorisationContext({ configuration, freshUntil }: RoutingTable): AuthorisationContext {
    const { operators, clock } = this.parts;
    return { configuration, freshUntil, operators, now: clock.now() };
  }

  private versionsOf({ configuration, members }: RoutingTable, version: Version): MemberVersion[] {
    const others = members
      .filter(({ heard }) => heard?.heartbeat.phase !== 'left')
      .map(({ member, heard, suspected }) => ({
        member,
        version: heard?.heartbeat.version ?? brandAs<Version>(0),
        reachable: heard !== undefined && !suspected,
      }));
    const own = { member: this.parts.self, version: configuration.version, reachable: true };
    return [own, ...others].sort(
      (left, right) => Number(left.version >= version) - Number(right.version >= version),
    );
  }

  private countRefusal<Value>(result: Result<Value>): Result<Value> {
    if (result.kind === 'refused') {
      this.parts.counters.increment(refusalCounter(result.refusal.reason));
    }
    return result;
  }
}

/** Whether work of the team may have been accepted without a key. */
function hasOpenQueue({ queues }: Configuration, team: TeamId): boolean {
  return [...queues.values()].some(({ access }) => access.kind === 'open' && access.team === team);
}

function groupByShard(works: readonly WorkId[]): ReadonlyMap<ShardId, readonly WorkId[]> {
  const groups = new Map<ShardId, WorkId[]>();
  for (const work of works) {
    const shard = shardOfWork(work);
    groups.set(shard, [...(groups.get(shard) ?? []), work]);
  }
  return groups;
}

/** Adds the work id to a refusal if the work item may have been accepted, so callers can query it. */
function withWorkId(result: Result<Response>, work: WorkId): Result<Response> {
  if (result.kind === 'done' || result.refusal.verdict === 'not_run') {
    return result;
  }
  return { kind: 'refused', refusal: { work, ...result.refusal } };
}

function expectKind<Kind extends Response['kind']>(
  result: Result<Response>,
  kind: Kind,
): Result<Extract<Response, { kind: Kind }>> {
  if (result.kind === 'refused') {
    return result;
  }
  return result.value.kind === kind
    ? done(result.value as Extract<Response, { kind: Kind }>)
    : {
        kind: 'refused',
        refusal: refusalOf(
          'may_have_run',
          'internal',
          `the shard's owner sent an unexpected answer: ${result.value.kind}`,
        ),
      };
}
