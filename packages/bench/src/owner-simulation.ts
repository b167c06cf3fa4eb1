/** A shard's owner with workers that answer at once, fed by whoever keeps its log. */

import type { CellView, Input, Output, Token } from '@bamboowell/owner/messages';
import { DEFAULT_OWNER_SETTINGS } from '@bamboowell/owner/settings';
import { ShardOwner } from '@bamboowell/owner/shard-owner';
import { BestFit } from '@bamboowell/policy/best-fit';
import { FairShare } from '@bamboowell/policy/fair-share';
import { FullJitter } from '@bamboowell/policy/retry';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  brandAs,
  type AttemptId,
  type MemberId,
  type ShardId,
  type WorkerId,
  type WriterId,
} from '@bamboowell/types/ids';
import type { ShardRecord, Stamped } from '@bamboowell/types/records';
import type { Resources } from '@bamboowell/types/resources';
import { NEVER, type Instant, type WorkerInstant } from '@bamboowell/types/time';
import type { Shape } from '@bamboowell/types/work';
import type { WorkerCommand, WorkerReport } from '@bamboowell/types/worker-messages';
import {
  cellViewOf,
  EPOCH,
  incarnationOf,
  profileOf,
  vmOf,
  workerOf,
  workOf,
} from './owner-plan.js';

const SEED = 20_261_204;
const ANSWER = 'done';

/** What one owner is measured with. */
export interface OwnerSimulationOptions {
  readonly shard: ShardId;
  readonly workers: number;
  /** Of each worker. */
  readonly capacity: Resources;
}

/** What leaves the owner. */
export abstract class OwnerObserver {
  abstract appended(records: readonly Stamped<ShardRecord>[]): void;
  abstract commanded(command: WorkerCommand): void;
  abstract reported(report: WorkerReport): void;
}

interface Running {
  readonly worker: WorkerId;
  readonly attempt: AttemptId;
}

export class OwnerSimulation {
  readonly owner: ShardOwner;
  now: Instant = brandAs<Instant>(0);
  /** Attempts that run, oldest first. */
  readonly running: Running[] = [];
  private readonly reports: WorkerReport[] = [];
  private readonly view: CellView;
  private submitted = 0;

  constructor(
    private readonly plan: OwnerSimulationOptions,
    private readonly watcher: OwnerObserver,
  ) {
    const { shard } = plan;
    this.view = cellViewOf(shard);
    this.owner = new ShardOwner({
      shard,
      member: brandAs<MemberId>('entry-vm-00'),
      writer: brandAs<WriterId>(`entry-vm-00.0f8e2a4c.${shard}`),
      placement: new BestFit(),
      ordering: new FairShare(),
      backoff: new FullJitter(xoroshiro128plus(SEED)),
      settings: DEFAULT_OWNER_SETTINGS,
    });
  }

  /** Asks for the shard; it is owned once the record was read back. */
  claim(): void {
    const { shard, workers } = this.plan;
    const vms = Array.from({ length: workers }, (_, number) => vmOf(shard, number));
    this.step({ kind: 'restored', snapshot: undefined });
    this.step({ kind: 'authority', authority: { freshUntil: NEVER, mayRenew: true } });
    this.step({ kind: 'workers', vms });
    this.step({ kind: 'cell', view: this.view });
    this.step({ kind: 'claim', epoch: EPOCH, votes: [] });
  }

  /** Submits the next piece of work. */
  submit(demand: Resources, shape: Shape): void {
    const work = workOf(this.plan.shard, this.submitted, demand, shape);
    this.submitted += 1;
    const token = brandAs<Token>(this.submitted);
    this.step({ kind: 'submit', work, deadline: NEVER, token });
  }

  /** Lets the attempt that has run longest succeed. */
  endOldest(): void {
    const ended = this.running.shift();
    if (ended !== undefined) {
      const { worker, attempt } = ended;
      const outcome = { kind: 'succeeded' as const, answer: ANSWER };
      this.tell({ kind: 'ended', worker, attempt, outcome });
    }
  }

  /** Never ends what runs now. */
  keepRunningForever(): void {
    this.running.length = 0;
  }

  heartbeat(number: number): void {
    const worker = workerOf(this.plan.shard, number);
    this.tell({ kind: 'usage', worker, workerNow: this.workerNow, attempts: [], leaving: false });
  }

  /** Steps with `tick` if that is due. */
  tickIfDue(): void {
    if (this.now >= this.owner.nextDeadline()) {
      this.step({ kind: 'tick' });
    }
  }

  /** Takes one input, then all that workers answer to it. */
  step(input: Input): void {
    this.carryOut(this.owner.step(input, this.now));
    for (let report = this.reports.shift(); report !== undefined; report = this.reports.shift()) {
      this.watcher.reported(report);
      this.carryOut(this.owner.step({ kind: 'report', report }, this.now));
    }
  }

  private get workerNow(): WorkerInstant {
    return brandAs<WorkerInstant>(this.now);
  }

  private tell(report: WorkerReport): void {
    this.watcher.reported(report);
    this.step({ kind: 'report', report });
  }

  /** Plain comparisons here and in `answer`, so that little but the owner is measured. */
  private carryOut(outputs: readonly Output[]): void {
    for (const output of outputs) {
      if (output.kind === 'append') {
        this.watcher.appended(output.records);
      } else if (output.kind === 'command') {
        this.watcher.commanded(output.command);
        this.answer(output.worker, output.command);
      } else if (output.kind === 'take' || output.kind === 'give_back') {
        const { kind: change, team, amount } = output;
        this.step({ kind: 'holding_settled', team, change, amount, applied: true });
      } else if (output.kind === 'refuse') {
        throw new Error(`refused: ${output.refusal.detail}`);
      }
    }
  }

  private answer(worker: WorkerId, command: WorkerCommand): void {
    if (command.kind === 'attach') {
      this.attach(worker);
    } else if (command.kind === 'start') {
      const { attempt } = command;
      this.running.push({ worker, attempt });
      this.reports.push({ kind: 'started', worker, attempt });
    }
  }

  private attach(worker: WorkerId): void {
    const { shard, capacity } = this.plan;
    const number = Number(worker.slice(-4));
    this.reports.push({
      kind: 'attached',
      worker,
      incarnation: incarnationOf(worker),
      epoch: EPOCH,
      profile: profileOf(shard, number, capacity),
      workerNow: this.workerNow,
      attempts: [],
      leaving: false,
    });
  }
}
