/**
 * The task of one shard: it owns the shard's stream, the links to its workers and the state
 * machine of its owner, and passes messages between them.
 */

import { match, P } from 'ts-pattern';
import type { Reply } from '@bamboowell/kernel/ask';
import type { Alarm } from '@bamboowell/kernel/clock';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import { SupervisedTask, type Watcher } from '@bamboowell/kernel/supervisor';
import { Task } from '@bamboowell/kernel/task';
import type { Log } from '@bamboowell/log/log';
import { shardCodec } from '@bamboowell/log/record-codecs';
import type { StreamEvent, StreamMessage } from '@bamboowell/log/stream-messages';
import { StreamTask } from '@bamboowell/log/stream-task';
import type { EventLog } from '@bamboowell/logger/logger';
import type { MembersEvent } from '@bamboowell/membership/members-messages';
import type { Counters } from '@bamboowell/metrics/counters';
import { REPORT_INTERVAL_MILLIS } from '@bamboowell/ownership/bounds';
import { retryCounter } from '@bamboowell/metrics/names';
import type { Authority, Input, Output, Response, Token } from '@bamboowell/owner/messages';
import { ShardOwner } from '@bamboowell/owner/shard-owner';
import type { ShardSnapshot } from '@bamboowell/state/shard-fold';
import { brandAs, type Epoch, type ShardId } from '@bamboowell/types/ids';
import { streamOfShard, type ShardRecord, type Stamped } from '@bamboowell/types/records';
import { deadlineAfter, NEVER, type Deadline, type Instant } from '@bamboowell/types/time';
import { done, type Result } from '@bamboowell/types/verdict';
import { wrapMessages } from './adapter.js';
import type { CellEvent, CellMessage } from './cell-messages.js';
import { ClaimPlanner } from './claim-planner.js';
import { newWriterId, type Environment } from './environment.js';
import { newOwner } from './new-owner.js';
import type { LinkMaker } from './platform.js';
import type { ReporterMessage } from './reporter-task.js';
import type { ShardMessage, ShardQuery, ShardRequest, WorkerVm } from './shard-messages.js';
import { answerQuery } from './shard-queries.js';
import { WorkWatchers } from './work-watchers.js';
import { WorkerLinks } from './worker-links.js';

/** Dependencies of a ShardTask. */
export interface ShardParts {
  readonly environment: Environment;
  readonly shard: ShardId;
  readonly log: Log;
  readonly events: EventLog;
  readonly counters: Counters;
  readonly watcher: Watcher;
  readonly reporter: MailboxAddress<ReporterMessage>;
  readonly cell: MailboxAddress<CellMessage>;
  readonly links: LinkMaker;
}

const NO_AUTHORITY: Authority = { freshUntil: brandAs<Deadline>(0), mayRenew: false };

export class ShardTask extends Task<ShardMessage> {
  private readonly owner: ShardOwner;
  private readonly planner: ClaimPlanner;
  private readonly stream: SupervisedTask<StreamMessage<ShardRecord>>;
  private readonly links: WorkerLinks;
  private readonly replies = new Map<Token, Reply<Result<Response>>>();
  private readonly watchers = new WorkWatchers();
  private readonly drainReplies: Reply<null>[] = [];
  private lastToken = 0;
  private tickAt: Deadline = NEVER;
  private tickAlarm: Alarm | undefined;
  private isCaughtUp = false;
  private logUnavailableSince: Instant | undefined;

  constructor(private readonly parts: ShardParts) {
    super(`shard ${parts.shard}`, parts.environment.clock);
    const { environment, shard } = parts;
    const { memberId: member, region } = environment.settings;
    this.owner = newOwner(environment, shard);
    this.planner = new ClaimPlanner({ self: { member, region }, shard });
    this.stream = new SupervisedTask(() => this.makeStream(), this.clock, parts.watcher);
    const reports = wrapMessages(
      this,
      (report: Extract<ShardMessage, { kind: 'report' }>['report']) => ({
        kind: 'report' as const,
        report,
      }),
    );
    const { links: maker, watcher } = parts;
    this.links = new WorkerLinks({ maker, reports, watcher, clock: this.clock });
  }

  protected override async onStart(): Promise<void> {
    await this.stream.start();
    this.post({ kind: 'tick' });
  }

  protected override async onStop(): Promise<void> {
    await this.links.closeAll();
    await this.stream.stop();
  }

  protected receive(message: ShardMessage): void {
    match(message)
      .with({ kind: 'request' }, ({ request, reply }) => {
        this.request(request, reply);
      })
      .with({ kind: P.union('get', 'explain', 'status') }, (query) => {
        this.answer(query);
      })
      .with({ kind: 'watch' }, ({ work, watcher }) => {
        this.watchers.add(work, watcher);
      })
      .with({ kind: 'unwatch' }, ({ work, watcher }) => {
        this.watchers.remove(work, watcher);
      })
      .with({ kind: 'stream' }, ({ event }) => {
        this.handleStreamEvent(event);
      })
      .with({ kind: 'members' }, ({ event }) => {
        this.handleMembersEvent(event);
      })
      .with({ kind: 'cell' }, ({ event }) => {
        this.handleCellEvent(event);
      })
      .with({ kind: 'workers' }, ({ vms }) => {
        this.updateWorkers(vms);
      })
      .with({ kind: 'report' }, ({ report }) => {
        this.step({ kind: 'report', report });
      })
      .with({ kind: 'withdrawn' }, (withdrawn) => {
        this.step(withdrawn);
      })
      .with({ kind: 'drain' }, ({ reply }) => {
        this.releaseShard(reply);
      })
      .with({ kind: 'tick' }, () => {
        this.tick();
      })
      .exhaustive();
  }

  private makeStream(): StreamTask<ShardRecord> {
    const { environment, shard, log } = this.parts;
    return new StreamTask<ShardRecord>({
      name: `stream ${shard}`,
      stream: streamOfShard(shard),
      writer: newWriterId(environment),
      log,
      clock: this.clock,
      subscriber: wrapMessages<StreamEvent<ShardRecord>, ShardMessage>(this, (event) => ({
        kind: 'stream',
        event,
      })),
      codec: shardCodec(),
      appendsPerSecond: environment.settings.log.appendsPerSecond,
      random: environment.random,
    });
  }

  private request(request: ShardRequest, reply: Reply<Result<Response>>): void {
    this.lastToken += 1;
    const token = brandAs<Token>(this.lastToken);
    this.replies.set(token, reply);
    this.step({ ...request, token });
  }

  private answer(query: ShardQuery): void {
    if (query.kind === 'status') {
      this.step({ kind: 'tick' });
    }
    answerQuery(this.owner, query);
  }

  private handleStreamEvent(event: StreamEvent<ShardRecord>): void {
    match(event)
      .with({ kind: 'restored' }, ({ snapshot }) => {
        this.isCaughtUp = false;
        const restored =
          snapshot === undefined ? undefined : (JSON.parse(snapshot) as ShardSnapshot);
        this.step({ kind: 'restored', snapshot: restored });
      })
      .with({ kind: 'batch' }, ({ batch }) => {
        this.step({ kind: 'batch', batch });
      })
      .with({ kind: 'caught_up' }, ({ readAt }) => {
        this.isCaughtUp = true;
        this.logUnavailableSince = undefined;
        this.recordEpoch();
        this.planner.recordRead(readAt, this.ownership(), this.clock.now());
        this.updateOwnership();
      })
      .with({ kind: 'unavailable' }, ({ since }) => {
        this.logUnavailableSince ??= since;
        this.planner.recordLogFailure();
        this.updateOwnership();
      })
      .with({ kind: 'rejected' }, ({ sequences }) => {
        this.step({ kind: 'rejected', sequences });
      })
      .with({ kind: 'skipped' }, ({ offset }) => {
        this.event('log.skipped', { offset });
      })
      .with({ kind: 'lost' }, ({ earliest }) => {
        this.event('log.lost', { earliest });
      })
      .with({ kind: 'checkpoint_due' }, () => {
        this.writeCheckpoint();
      })
      .exhaustive();
  }

  private writeCheckpoint(): void {
    if (this.owner.ownedEpoch !== undefined) {
      this.stream.post({
        kind: 'checkpoint',
        snapshot: JSON.stringify(this.owner.fold.snapshot()),
      });
    }
  }

  private handleMembersEvent(event: MembersEvent): void {
    this.planner.handleMembersEvent(event, this.clock.now());
    this.updateOwnership();
  }

  private handleCellEvent(event: CellEvent): void {
    match(event)
      .with({ kind: 'cell' }, ({ configuration, shards }) => {
        const { region } = this.parts.environment.settings;
        const inRegion = [...configuration.dataCentres.values()].filter(
          (each) => each.region === region,
        );
        this.planner.setShards(inRegion.map(({ id }) => brandAs<ShardId>(id)));
        const view = shards.get(this.parts.shard);
        if (view !== undefined) {
          this.step({ kind: 'cell', view });
        }
      })
      .with({ kind: 'settled' }, ({ shard, team, change, amount, applied }) => {
        if (shard === this.parts.shard) {
          this.step({ kind: 'holding_settled', team, change, amount, applied });
        }
      })
      .with({ kind: 'freshness' }, () => undefined)
      .exhaustive();
  }

  private updateWorkers(vms: readonly WorkerVm[]): void {
    this.links.updateFromVmList(vms);
    this.step({ kind: 'workers', vms: vms.map((vm) => ({ worker: vm.worker, vm })) });
  }

  private releaseShard(reply: Reply<null>): void {
    this.planner.setLeaving();
    if (this.owner.ownedEpoch === undefined) {
      reply(null);
      return;
    }
    this.drainReplies.push(reply);
    this.step({ kind: 'drain' });
  }

  private tick(): void {
    this.tickAt = NEVER;
    this.updateOwnership();
    this.step({ kind: 'tick' });
  }

  /** Re-evaluates who owns the shard, and claims it if this member should. */
  private updateOwnership(): void {
    const now = this.clock.now();
    this.step({ kind: 'authority', authority: this.authority(now) });
    const epoch = this.owner.ownedEpoch;
    if (epoch !== undefined && this.planner.isKnownToAll(epoch)) {
      this.step({ kind: 'epoch_known', epoch });
    }
    const plan = this.planner.plan(this.ownership(), epoch !== undefined, now);
    if (plan.kind === 'claim') {
      const afterRelease = this.owner.fold.owner === null;
      this.planner.ledger.recordAppend(this.parts.shard, { epoch: plan.epoch, afterRelease });
      this.event('shard.claim', { epoch: plan.epoch, votes: plan.votes.length });
      this.step({ kind: 'claim', epoch: plan.epoch, votes: plan.votes });
    }
    this.report();
    this.wakeAt(deadlineAfter(now, REPORT_INTERVAL_MILLIS));
  }

  private authority(now: Instant): Authority {
    const status = this.planner.status(now);
    return match(status)
      .returnType<Authority>()
      .with({ kind: 'fresh' }, ({ freshUntil }) => ({ freshUntil, mayRenew: true }))
      .with({ kind: 'stale' }, ({ why }) => ({
        freshUntil: NO_AUTHORITY.freshUntil,
        mayRenew: why !== 'higher_epoch' && this.mayRenewInOutage(now),
      }))
      .with({ kind: 'not_owner' }, () => NO_AUTHORITY)
      .exhaustive();
  }

  private mayRenewInOutage(now: Instant): boolean {
    const since = this.logUnavailableSince;
    const { outageRenewalMillis } = this.owner.view().context.settings;
    return since !== undefined && now < deadlineAfter(since, outageRenewalMillis);
  }

  private ownership() {
    const { epoch, owner } = this.owner.fold;
    return { epoch, owner };
  }

  private recordEpoch(): void {
    const { shard } = this.parts;
    const epoch = this.owner.ownedEpoch;
    if (epoch !== undefined) {
      this.planner.ledger.recordApplied(shard, epoch);
    }
    this.planner.ledger.recordFoldedEpoch(shard, this.owner.fold.epoch);
  }

  private report(): void {
    const { shard } = this.parts;
    const { live, context } = this.owner.view();
    const isOwned = this.owner.ownedEpoch !== undefined;
    this.parts.reporter.post({
      kind: 'shard',
      report: {
        shard,
        epoch: this.isCaughtUp ? this.owner.fold.epoch : undefined,
        logAnswers: this.logUnavailableSince === undefined,
        hasUnresolvedClaim: this.planner.ledger.isUnresolved(shard),
        load: isOwned ? { running: live.size, waiting: context.ordering.size } : undefined,
        at: this.clock.now(),
      },
    });
  }

  private step(input: Input): void {
    const previousEpoch = this.owner.ownedEpoch;
    const outputs = this.owner.step(input, this.clock.now());
    for (const output of outputs) {
      this.execute(output);
    }
    this.closeLinksIfOwnershipLost(previousEpoch);
    if (input.kind === 'batch') {
      this.recordEpoch();
    }
    this.wakeAt(this.owner.nextDeadline());
  }

  private closeLinksIfOwnershipLost(previousEpoch: Epoch | undefined): void {
    if (previousEpoch !== undefined && this.owner.ownedEpoch === undefined) {
      void this.links.closeAll();
    }
  }

  private wakeAt(deadline: Deadline): void {
    if (deadline < this.tickAt) {
      this.tickAlarm?.cancel();
      this.tickAt = deadline;
      this.tickAlarm = this.postAt(deadline, { kind: 'tick' });
    }
  }

  private execute(output: Output): void {
    const { cell, shard } = this.parts;
    match(output)
      .with({ kind: 'append' }, ({ records }) => {
        this.endOwnershipOnRelease(records);
        this.stream.post({ kind: 'append', records });
      })
      .with({ kind: 'withdraw' }, ({ sequence }) => {
        this.stream.post({
          kind: 'withdraw',
          sequence,
          reply: (state) => {
            this.post({ kind: 'withdrawn', sequence, state });
          },
        });
      })
      .with({ kind: 'command' }, ({ worker, command }) => {
        this.links.send(worker, command);
      })
      .with({ kind: 'respond' }, ({ token, response }) => {
        this.reply(token, done(response));
      })
      .with({ kind: 'refuse' }, ({ token, refusal }) => {
        this.reply(token, { kind: 'refused', refusal });
      })
      .with({ kind: 'inherit' }, ({ epoch }) => {
        cell.post({ kind: 'inherit', shard, epoch });
      })
      .with({ kind: P.union('take', 'give_back') }, (change) => {
        cell.post({ ...change, shard });
      })
      .with({ kind: 'changed' }, ({ work }) => {
        this.watchers.notify(work);
      })
      .with({ kind: 'event' }, ({ event }) => {
        this.event(event.name, event.fields);
      })
      .with({ kind: 'retried' }, ({ reason }) => {
        this.parts.counters.increment(retryCounter(reason));
      })
      .with({ kind: 'released' }, () => {
        this.replyToDrains();
      })
      .exhaustive();
  }

  /** After a release the next owner does not wait, so ownership must end before the append. */
  private endOwnershipOnRelease(records: readonly Stamped<ShardRecord>[]): void {
    if (records.some(({ record }) => record.kind === 'release')) {
      this.planner.startRelease();
    }
  }

  private reply(token: Token, result: Result<Response>): void {
    const reply = this.replies.get(token);
    this.replies.delete(token);
    reply?.(result);
  }

  private replyToDrains(): void {
    for (const reply of this.drainReplies.splice(0)) {
      reply(null);
    }
  }

  private event(name: string, fields: Readonly<Record<string, string | number | boolean>>): void {
    this.parts.events.event(name, { shard: this.parts.shard, ...fields });
  }
}
