/**
 * The task that owns the stream `cell`. It folds the configuration and the shards' holdings of the
 * teams' upper limits, appends changes to them, and publishes the current state to its subscribers
 * with the deadline until which that state is known to be fresh.
 */

import { match, P } from 'ts-pattern';
import { SupervisedTask, type Watcher } from '@bamboowell/kernel/supervisor';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import { Task } from '@bamboowell/kernel/task';
import type { Log } from '@bamboowell/log/log';
import { cellCodec } from '@bamboowell/log/record-codecs';
import type { StreamEvent, StreamMessage } from '@bamboowell/log/stream-messages';
import { StreamTask } from '@bamboowell/log/stream-task';
import type { EventLog } from '@bamboowell/logger/logger';
import type {
  MembersEvent,
  MembersMessage,
  MemberView,
} from '@bamboowell/membership/members-messages';
import { configurationStatementOf, expectedMembers } from '@bamboowell/membership/ownership-inputs';
import { REPORT_INTERVAL_MILLIS } from '@bamboowell/ownership/bounds';
import { ConfigurationFreshness } from '@bamboowell/ownership/configuration-freshness';
import type { CellFold, CellSnapshot } from '@bamboowell/state/cell-fold';
import { applyChanges } from '@bamboowell/state/configuration';
import {
  brandAs,
  nextSequence,
  type MemberId,
  type Sequence,
  type Version,
  type WriterId,
} from '@bamboowell/types/ids';
import {
  CELL_STREAM,
  type Batch,
  type CellRecord,
  type Effect,
  type Stamped,
} from '@bamboowell/types/records';
import { deadlineAfter, type Deadline } from '@bamboowell/types/time';
import { done, refusalOf, refused, type Result } from '@bamboowell/types/verdict';
import { wrapMessages } from './adapter.js';
import type { CellEvent, CellMessage } from './cell-messages.js';
import { requestCellSnapshot } from './cell-handover.js';
import { CellState } from './cell-state.js';
import { viewsOf } from './cell-views.js';
import { newWriterId, type Environment } from './environment.js';
import type { ReporterMessage } from './reporter-task.js';

type Apply = Extract<CellMessage, { kind: 'apply' }>;
type ShardCellRecord = Extract<CellRecord, { kind: 'inherit' | 'take' | 'give_back' }>;
type HoldingChange = Extract<CellMessage, { kind: 'take' | 'give_back' }>;

const NOT_FRESH = brandAs<Deadline>(0);

/** Dependencies of a CellTask. */
export interface CellParts {
  readonly environment: Environment;
  readonly log: Log;
  readonly events: EventLog;
  readonly watcher: Watcher;
  readonly reporter: MailboxAddress<ReporterMessage>;
  readonly members: MailboxAddress<MembersMessage>;
}

export class CellTask extends Task<CellMessage> {
  private readonly state = new CellState();
  private readonly writer: WriterId;
  private readonly stream: SupervisedTask<StreamMessage<CellRecord>>;
  private readonly freshness: ConfigurationFreshness;
  private readonly subscribers = new Set<MailboxAddress<CellEvent>>();
  private readonly pendingChanges = new Map<Sequence, Apply>();
  /** Shards' records that were appended and are not yet read back. */
  private readonly pendingShardRecords = new Map<Sequence, ShardCellRecord>();
  /** Shards' records that the stream task rejected; appended again at the next report. */
  private readonly rejectedShardRecords: ShardCellRecord[] = [];
  private sequence = brandAs<Sequence>(0);
  private freshUntil = NOT_FRESH;
  private logAnswers = true;
  private isFirstLiveMember = true;
  private isSnapshotRequested = false;

  constructor(private readonly parts: CellParts) {
    super('cell', parts.environment.clock);
    this.writer = newWriterId(parts.environment);
    this.freshness = new ConfigurationFreshness(parts.environment.settings.memberId);
    this.stream = new SupervisedTask(() => this.makeStream(), this.clock, parts.watcher);
  }

  protected override async onStart(): Promise<void> {
    await this.stream.start();
    this.post({ kind: 'report' });
  }

  protected override onStop(): Promise<void> {
    return this.stream.stop();
  }

  protected receive(message: CellMessage): void {
    match(message)
      .with({ kind: 'subscribe' }, ({ subscriber }) => {
        this.subscribers.add(subscriber);
        subscriber.post(this.cellEvent());
        subscriber.post({ kind: 'freshness', freshUntil: this.freshUntil });
      })
      .with({ kind: 'apply' }, (apply) => {
        this.apply(apply);
      })
      .with({ kind: P.union('inherit', 'take', 'give_back') }, (record) => {
        this.appendForShard(record);
      })
      .with({ kind: 'members' }, ({ event }) => {
        this.handleMembersEvent(event);
      })
      .with({ kind: 'stream' }, ({ event }) => {
        this.handleStreamEvent(event);
      })
      .with({ kind: 'report' }, () => {
        this.retryRejected();
        this.updateFreshness();
        this.postAt(deadlineAfter(this.clock.now(), REPORT_INTERVAL_MILLIS), { kind: 'report' });
      })
      .with({ kind: 'snapshot' }, ({ reply }) => {
        reply(this.fold.snapshot());
      })
      .with({ kind: 'handed_over' }, ({ snapshot }) => {
        this.adoptSnapshot(snapshot);
      })
      .with({ kind: 'expire' }, ({ sequence }) => {
        this.withdrawExpired(sequence);
      })
      .with({ kind: 'withdrawn' }, ({ sequence, state }) => {
        this.handleWithdrawn(sequence, state);
      })
      .exhaustive();
  }

  private get fold(): CellFold {
    return this.state.current;
  }

  private makeStream(): StreamTask<CellRecord> {
    const { environment, log } = this.parts;
    return new StreamTask<CellRecord>({
      name: 'stream cell',
      stream: CELL_STREAM,
      writer: newWriterId(environment),
      log,
      clock: this.clock,
      subscriber: wrapMessages<StreamEvent<CellRecord>, CellMessage>(this, (event) => ({
        kind: 'stream',
        event,
      })),
      codec: cellCodec(),
      appendsPerSecond: environment.settings.log.appendsPerSecond,
      random: environment.random,
    });
  }

  private append(record: CellRecord): Sequence {
    this.sequence = nextSequence(this.sequence);
    const stamped = { writer: this.writer, sequence: this.sequence, record };
    this.stream.post({ kind: 'append', records: [stamped] });
    return this.sequence;
  }

  private appendForShard(record: ShardCellRecord): void {
    this.pendingShardRecords.set(this.append(record), record);
  }

  /** The record was never sent. A shard waits for its records, so they are appended again later. */
  private handleRejected(sequence: Sequence): void {
    const record = this.pendingShardRecords.get(sequence);
    this.pendingShardRecords.delete(sequence);
    if (record !== undefined) {
      this.rejectedShardRecords.push(record);
    }
    this.handleWithdrawn(sequence, 'withdrawn');
  }

  private retryRejected(): void {
    for (const record of this.rejectedShardRecords.splice(0)) {
      this.appendForShard(record);
    }
  }

  private apply(apply: Apply): void {
    const refusal = this.refusalOfChanges(apply);
    if (refusal !== undefined) {
      apply.reply(refusal);
      return;
    }
    const { base, changes, deadline } = apply;
    const sequence = this.append({ kind: 'change', base, changes });
    this.pendingChanges.set(sequence, apply);
    this.postAt(deadline, { kind: 'expire', sequence });
  }

  /** The refusal of changes that can't be applied to the current version; undefined if they can. */
  private refusalOfChanges({ base, changes }: Apply): Result<Version> | undefined {
    const { configuration } = this.fold;
    if (base !== configuration.version) {
      return conflict(base, configuration.version);
    }
    const result = applyChanges(configuration, changes);
    return result.kind === 'invalid' ? refused('invalid_configuration', result.detail) : undefined;
  }

  private withdrawExpired(sequence: Sequence): void {
    if (this.pendingChanges.has(sequence)) {
      this.stream.post({
        kind: 'withdraw',
        sequence,
        reply: (state) => {
          this.post({ kind: 'withdrawn', sequence, state });
        },
      });
    }
  }

  private handleWithdrawn(sequence: Sequence, state: 'withdrawn' | 'sent'): void {
    const apply = this.pendingChanges.get(sequence);
    this.pendingChanges.delete(sequence);
    apply?.reply(
      state === 'withdrawn'
        ? refused(
            'log_unavailable',
            'the log did not accept the change by the deadline; the change was withdrawn',
          )
        : {
            kind: 'refused',
            refusal: refusalOf(
              'may_have_run',
              'outcome_unknown',
              'the log has not confirmed the change by the deadline; it may still be applied',
            ),
          },
    );
  }

  private handleStreamEvent(event: StreamEvent<CellRecord>): void {
    match(event)
      .with({ kind: 'restored' }, ({ snapshot }) => {
        this.state.restart(
          snapshot === undefined ? undefined : (JSON.parse(snapshot) as CellSnapshot),
        );
        this.publishCell();
      })
      .with({ kind: 'batch' }, ({ batch }) => {
        this.applyBatch(batch);
      })
      .with({ kind: 'caught_up' }, ({ readAt }) => {
        this.logAnswers = true;
        this.freshness.recordRead(readAt, this.fold.upTo);
        this.updateFreshness();
      })
      .with({ kind: 'unavailable' }, () => {
        this.logAnswers = false;
        this.freshness.recordLogFailure();
        this.updateFreshness();
      })
      .with({ kind: 'rejected' }, ({ sequences }) => {
        for (const sequence of sequences) {
          this.handleRejected(sequence);
        }
      })
      .with({ kind: 'skipped' }, ({ offset }) => {
        this.parts.events.event('log.skipped', { stream: CELL_STREAM, offset });
      })
      .with({ kind: 'lost' }, ({ earliest }) => {
        this.parts.events.event('log.lost', { stream: CELL_STREAM, earliest });
      })
      .with({ kind: 'checkpoint_due' }, ({ overdue }) => {
        this.writeCheckpoint(overdue);
      })
      .exhaustive();
  }

  private applyBatch(batch: Batch<CellRecord>): void {
    let hasChanged = false;
    for (const stamped of batch.records) {
      const effect = this.state.apply(stamped, batch.offset);
      hasChanged ||= effect.kind === 'applied' && stamped.record.kind !== 'checkpoint';
      this.completeOwnRecord(stamped, effect);
    }
    if (hasChanged) {
      this.publishCell();
    }
  }

  private completeOwnRecord(
    { writer, sequence, record }: Stamped<CellRecord>,
    effect: Effect,
  ): void {
    if (writer !== this.writer || effect.kind === 'repeated') {
      return;
    }
    this.pendingShardRecords.delete(sequence);
    const applied = effect.kind === 'applied';
    match(record)
      .with({ kind: 'change' }, ({ base }) => {
        const { version } = this.fold.configuration;
        const apply = this.pendingChanges.get(sequence);
        this.pendingChanges.delete(sequence);
        apply?.reply(applied ? done(version) : conflict(base, version));
      })
      .with({ kind: P.union('take', 'give_back') }, (change) => {
        this.publishHoldingOutcome(change, applied);
      })
      .with({ kind: P.union('inherit', 'checkpoint') }, () => undefined)
      .exhaustive();
  }

  private publishHoldingOutcome(record: HoldingChange, applied: boolean): void {
    const { kind, shard, team, amount } = record;
    this.publishCell();
    this.publish({ kind: 'settled', shard, team, change: kind, amount, applied });
  }

  private handleMembersEvent(event: MembersEvent): void {
    match(event)
      .with({ kind: 'view' }, (view) => {
        const { memberId, region } = this.parts.environment.settings;
        this.freshness.setExpectedMembers(expectedMembers(view, { member: memberId, region }).cell);
        this.isFirstLiveMember = !view.members.some((one) => isLive(one) && one.member < memberId);
      })
      .with({ kind: 'heard' }, ({ view }) => {
        this.handleHeartbeat(view);
      })
      .with({ kind: 'paused' }, () => {
        this.freshness.resetAfterPause();
      })
      .exhaustive();
    this.updateFreshness();
  }

  private handleHeartbeat(view: MemberView): void {
    const statement = configurationStatementOf(view);
    if (statement !== undefined) {
      this.freshness.recordStatement(statement);
    }
    const upTo = view.heard?.heartbeat.cellUpTo ?? 0;
    if (!this.logAnswers && upTo > this.fold.upTo && !this.isSnapshotRequested) {
      this.requestSnapshot(view.member);
    }
  }

  /** Requests the cell's state from a member that has read further while the log is unavailable. */
  private requestSnapshot(member: MemberId): void {
    this.isSnapshotRequested = true;
    void requestCellSnapshot(this.parts.members, member, this.clock).then((snapshot) => {
      this.post({ kind: 'handed_over', snapshot });
    });
  }

  private adoptSnapshot(snapshot: CellSnapshot | undefined): void {
    this.isSnapshotRequested = false;
    if (snapshot !== undefined && this.state.adoptIfNewer(snapshot)) {
      const { version } = this.fold.configuration;
      this.parts.events.event('configuration.handed_over', { version, upTo: snapshot.upTo });
      this.freshness.recordHandover(snapshot.upTo);
      this.publishCell();
    }
  }

  private updateFreshness(): void {
    const status = this.freshness.status(this.clock.now());
    this.freshUntil = status.kind === 'fresh' ? status.freshUntil : NOT_FRESH;
    this.publish({ kind: 'freshness', freshUntil: this.freshUntil });
    this.report();
  }

  /**
   * The live member with the lowest id writes the checkpoint, or every member once it is overdue.
   * Members that see different first members write duplicates, which do no harm.
   */
  private writeCheckpoint(overdue: boolean): void {
    if (overdue || this.isFirstLiveMember) {
      this.stream.post({ kind: 'checkpoint', snapshot: JSON.stringify(this.fold.snapshot()) });
    }
  }

  private publishCell(): void {
    this.publish(this.cellEvent());
    this.report();
  }

  private report(): void {
    this.parts.reporter.post({
      kind: 'cell',
      version: this.fold.configuration.version,
      cellUpTo: this.fold.upTo,
      logAnswers: this.logAnswers,
      at: this.clock.now(),
    });
  }

  private cellEvent(): CellEvent {
    return { kind: 'cell', configuration: this.fold.configuration, shards: viewsOf(this.fold) };
  }

  private publish(event: CellEvent): void {
    for (const subscriber of this.subscribers) {
      subscriber.post(event);
    }
  }
}

function isLive({ heard, suspected }: MemberView): boolean {
  return heard !== undefined && !suspected;
}

function conflict(base: Version, current: Version): Result<Version> {
  return refused(
    'configuration_conflict',
    `the changes are based on version ${base}, but version ${current} is current`,
    'base',
  );
}
