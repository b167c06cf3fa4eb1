/** State that all parts of an owner share: the fold, the fleet, waiting work and the outputs. */

import {
  brandAs,
  nextSequence,
  type Epoch,
  type MemberId,
  type Sequence,
  type ShardId,
  type WorkerId,
  type WriterId,
} from '@bamboowell/types/ids';
import type { ShardRecord } from '@bamboowell/types/records';
import { hasPassed, type Deadline, type Instant } from '@bamboowell/types/time';
import { refusalOf, type Reason, type Verdict } from '@bamboowell/types/verdict';
import type { WorkId } from '@bamboowell/types/ids';
import type { WorkerCommand } from '@bamboowell/types/worker-messages';
import { ShardFold } from '@bamboowell/state/shard-fold';
import { Fleet } from '@bamboowell/policy/fleet';
import type { Ordering } from '@bamboowell/policy/ordering';
import type { Placement } from '@bamboowell/policy/placement';
import type { Backoff } from '@bamboowell/policy/retry';
import type { Authority, CellView, OwnerEvent, Output, Response, Token } from './messages.js';
import type { OwnerSettings } from './settings.js';

/** Options of one owner. */
export interface OwnerOptions {
  readonly shard: ShardId;
  readonly member: MemberId;
  readonly writer: WriterId;
  readonly placement: Placement;
  readonly ordering: Ordering;
  /** The delay before work is retried after a failure. */
  readonly backoff: Backoff;
  readonly settings: OwnerSettings;
}

const NO_AUTHORITY: Authority = { freshUntil: brandAs<Deadline>(0), mayRenew: false };

/** Why a request is refused. */
export interface RefusalCause {
  readonly reason: Reason;
  readonly detail: string;
  /** Path of the invalid field, if there is one. */
  readonly field?: string;
}

export class Context {
  fold = new ShardFold();
  readonly fleet = new Fleet();
  authority: Authority = NO_AUTHORITY;
  cell: CellView | undefined;
  now: Instant = brandAs<Instant>(0);
  /** The epoch in which this process owns the shard, once its claim was read back. */
  ownedEpoch: Epoch | undefined;
  draining = false;
  /** Number of the shard's workers in the VM list; undefined until the list was read. */
  listedWorkerCount: number | undefined;
  private outputs: Output[] = [];
  private sequence: Sequence = brandAs<Sequence>(0);

  constructor(readonly options: OwnerOptions) {}

  get settings(): OwnerSettings {
    return this.options.settings;
  }

  get ordering(): Ordering {
    return this.options.ordering;
  }

  /** Whether this process may start work now. */
  get mayStart(): boolean {
    return this.ownedEpoch !== undefined && !hasPassed(this.authority.freshUntil, this.now);
  }

  /** Whether this epoch has taken over the holdings, so that they may be used. */
  get mayUseHoldings(): boolean {
    return this.cell !== undefined && this.cell.epoch === this.ownedEpoch;
  }

  emit(output: Output): void {
    this.outputs.push(output);
  }

  /** Returns and clears the outputs since the last call. */
  takeOutputs(): Output[] {
    const outputs = this.outputs;
    this.outputs = [];
    return outputs;
  }

  /** Stamps a record with writer and sequence, and emits it to be appended. */
  append(record: ShardRecord): Sequence {
    this.sequence = nextSequence(this.sequence);
    const stamped = { writer: this.options.writer, sequence: this.sequence, record };
    this.emit({ kind: 'append', records: [stamped] });
    return this.sequence;
  }

  command(worker: WorkerId, command: WorkerCommand): void {
    this.emit({ kind: 'command', worker, command });
  }

  respond(token: Token, response: Response): void {
    this.emit({ kind: 'respond', token, response });
  }

  refuse(
    token: Token,
    verdict: Verdict,
    reason: Reason,
    detail: string,
    work: WorkId | null = null,
  ): void {
    const refusal = refusalOf(verdict, reason, detail);
    this.emit({ kind: 'refuse', token, refusal: work === null ? refusal : { ...refusal, work } });
  }

  /** Refuses a request of which nothing has run. */
  refuseNotRun(token: Token, { reason, detail, field }: RefusalCause): void {
    this.emit({ kind: 'refuse', token, refusal: refusalOf('not_run', reason, detail, field) });
  }

  event(name: string, fields: OwnerEvent['fields']): void {
    this.emit({ kind: 'event', event: { name, fields: { shard: this.options.shard, ...fields } } });
  }
}
