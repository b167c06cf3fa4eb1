/**
 * The task that owns the stream `cell`: it folds the configuration and the holdings, applies
 * changes, and tells its subscribers what is in force and for how long that may be relied on.
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

/** What the task works with. */
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
  private readonly applies = new Map<Sequence, Apply>();
  /** Records of shards on the way to the log. */
  private readonly forShards = new Map<Sequence, ShardCellRecord>();
  /** Had no room on the way to the log. */
  private readonly unsent: ShardCellRecord[] = [];
  private sequence = brandAs<Sequence>(0);
  private freshUntil = NOT_FRESH;
  private logAnswers = true;
  private isFirstMember = true;
  private isAsking = false;

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
        this.membersEvent(event);
      })
      .with({ kind: 'stream' }, ({ event }) => {
        this.streamEvent(event);
      })
      .with({ kind: 'report' }, () => {
        this.retryUnsent();
        this.updateFreshness();
        this.postAt(deadlineAfter(this.clock.now(), REPORT_INTERVAL_MILLIS), { kind: 'report' });
      })
      .with({ kind: 'snapshot' }, ({ reply }) => {
        reply(this.fold.snapshot());
      })
      .with({ kind: 'handed_over' }, ({ snapshot }) => {
        this.handedOver(snapshot);
      })
      .with({ kind: 'expire' }, ({ sequence }) => {
        this.expire(sequence);
      })
      .with({ kind: 'withdrawn' }, ({ sequence, state }) => {
        this.withdrawn(sequence, state);
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
    this.forShards.set(this.append(record), record);
  }

  /** The record was never sent. Shards wait for theirs, so that it is appended again, later. */
  private rejected(sequence: Sequence): void {
    const record = this.forShards.get(sequence);
    this.forShards.delete(sequence);
    if (record !== undefined) {
      this.unsent.push(record);
    }
    this.withdrawn(sequence, 'withdrawn');
  }

  private retryUnsent(): void {
    for (const record of this.unsent.splice(0)) {
      this.appendForShard(record);
    }
  }

  private apply(apply: Apply): void {
    const objection = this.objectionTo(apply);
    if (objection !== undefined) {
      apply.reply(objection);
      return;
    }
    const { base, changes, deadline } = apply;
    const sequence = this.append({ kind: 'change', base, changes });
    this.applies.set(sequence, apply);
    this.postAt(deadline, { kind: 'expire', sequence });
  }

  /** Why the changes can't be applied to the version that is current here. */
  private objectionTo({ base, changes }: Apply): Result<Version> | undefined {
    const { configuration } = this.fold;
    if (base !== configuration.version) {
      return conflict(base, configuration.version);
    }
    const result = applyChanges(configuration, changes);
    return result.kind === 'invalid' ? refused('invalid_configuration', result.detail) : undefined;
  }

  private expire(sequence: Sequence): void {
    if (this.applies.has(sequence)) {
      this.stream.post({
        kind: 'withdraw',
        sequence,
        reply: (state) => {
          this.post({ kind: 'withdrawn', sequence, state });
        },
      });
    }
  }

  private withdrawn(sequence: Sequence, state: 'withdrawn' | 'sent'): void {
    const apply = this.applies.get(sequence);
    this.applies.delete(sequence);
    apply?.reply(
      state === 'withdrawn'
        ? refused('log_unavailable', 'the log did not take the change in time; it was withdrawn')
        : {
            kind: 'refused',
            refusal: refusalOf(
              'may_have_run',
              'outcome_unknown',
              'the log has not confirmed the change in time',
            ),
          },
    );
  }

  private streamEvent(event: StreamEvent<CellRecord>): void {
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
          this.rejected(sequence);
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
      this.settle(stamped, effect);
    }
    if (hasChanged) {
      this.publishCell();
    }
  }

  private settle({ writer, sequence, record }: Stamped<CellRecord>, effect: Effect): void {
    if (writer !== this.writer || effect.kind === 'repeated') {
      return;
    }
    this.forShards.delete(sequence);
    const applied = effect.kind === 'applied';
    match(record)
      .with({ kind: 'change' }, ({ base }) => {
        const { version } = this.fold.configuration;
        const apply = this.applies.get(sequence);
        this.applies.delete(sequence);
        apply?.reply(applied ? done(version) : conflict(base, version));
      })
      .with({ kind: P.union('take', 'give_back') }, (change) => {
        this.settled(change, applied);
      })
      .with({ kind: P.union('inherit', 'checkpoint') }, () => undefined)
      .exhaustive();
  }

  private settled(record: HoldingChange, applied: boolean): void {
    const { kind, shard, team, amount } = record;
    this.publishCell();
    this.publish({ kind: 'settled', shard, team, change: kind, amount, applied });
  }

  private membersEvent(event: MembersEvent): void {
    match(event)
      .with({ kind: 'view' }, (view) => {
        const { memberId, region } = this.parts.environment.settings;
        this.freshness.setExpectedMembers(expectedMembers(view, { member: memberId, region }).cell);
        this.isFirstMember = !view.members.some((one) => isLive(one) && one.member < memberId);
      })
      .with({ kind: 'heard' }, ({ view }) => {
        this.heard(view);
      })
      .with({ kind: 'paused' }, () => {
        this.freshness.resetAfterPause();
      })
      .exhaustive();
    this.updateFreshness();
  }

  private heard(view: MemberView): void {
    const statement = configurationStatementOf(view);
    if (statement !== undefined) {
      this.freshness.recordStatement(statement);
    }
    const upTo = view.heard?.heartbeat.cellUpTo ?? 0;
    if (!this.logAnswers && upTo > this.fold.upTo && !this.isAsking) {
      this.askFor(view.member);
    }
  }

  /** Asks a member for the state of the cell that the log does not give. */
  private askFor(member: MemberId): void {
    this.isAsking = true;
    void requestCellSnapshot(this.parts.members, member, this.clock).then((snapshot) => {
      this.post({ kind: 'handed_over', snapshot });
    });
  }

  private handedOver(snapshot: CellSnapshot | undefined): void {
    this.isAsking = false;
    if (snapshot !== undefined && this.state.adoptIfNewer(snapshot)) {
      const { version } = this.fold.configuration;
      this.parts.events.event('configuration.handed_over', { version, upTo: snapshot.upTo });
      this.freshness.recordHandover(snapshot.upTo);
      this.publishCell();
    }
  }

  private updateFreshness(): void {
    const standing = this.freshness.status(this.clock.now());
    this.freshUntil = standing.kind === 'fresh' ? standing.freshUntil : NOT_FRESH;
    this.publish({ kind: 'freshness', freshUntil: this.freshUntil });
    this.report();
  }

  /** The first live member writes; if others see another first one, a second copy does no harm. */
  private writeCheckpoint(overdue: boolean): void {
    if (overdue || this.isFirstMember) {
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
