/** A shard's owner with workers that answer at once. The caller keeps the log and reads it back. */

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

/** The shard and the workers of an owner. */
export interface OwnerSimulationOptions {
  readonly shard: ShardId;
  readonly workers: number;
  /** Of each worker. */
  readonly capacity: Resources;
}

/** Receives the owner's appends, its commands to workers and the workers' reports. */
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
  /** Running attempts, oldest first. */
  readonly running: Running[] = [];
  private readonly reports: WorkerReport[] = [];
  private readonly view: CellView;
  private submitted = 0;

  constructor(
    private readonly options: OwnerSimulationOptions,
    private readonly observer: OwnerObserver,
  ) {
    const { shard } = options;
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

  /** Claims the shard. The owner holds it once the claim record is read back. */
  claim(): void {
    const { shard, workers } = this.options;
    const vms = Array.from({ length: workers }, (_, number) => vmOf(shard, number));
    this.step({ kind: 'restored', snapshot: undefined });
    this.step({ kind: 'authority', authority: { freshUntil: NEVER, mayRenew: true } });
    this.step({ kind: 'workers', vms });
    this.step({ kind: 'cell', view: this.view });
    this.step({ kind: 'claim', epoch: EPOCH, votes: [] });
  }

  /** Submits the next work item. */
  submit(demand: Resources, shape: Shape): void {
    const work = workOf(this.options.shard, this.submitted, demand, shape);
    this.submitted += 1;
    const token = brandAs<Token>(this.submitted);
    this.step({ kind: 'submit', work, deadline: NEVER, token });
  }

  /** Lets the longest-running attempt succeed. */
  endOldest(): void {
    const ended = this.running.shift();
    if (ended !== undefined) {
      const { worker, attempt } = ended;
      const outcome = { kind: 'succeeded' as const, answer: ANSWER };
      this.report({ kind: 'ended', worker, attempt, outcome });
    }
  }

  /** Lets the attempts that run now never end. */
  keepRunningForever(): void {
    this.running.length = 0;
  }

  heartbeat(number: number): void {
    const worker = workerOf(this.options.shard, number);
    this.report({ kind: 'usage', worker, workerNow: this.workerNow, attempts: [], leaving: false });
  }

  /** Sends the owner a `tick` if its next deadline has come. */
  tickIfDue(): void {
    if (this.now >= this.owner.nextDeadline()) {
      this.step({ kind: 'tick' });
    }
  }

  /** Gives the owner one input, then the reports with which workers answer its commands. */
  step(input: Input): void {
    this.handleOutputs(this.owner.step(input, this.now));
    for (let report = this.reports.shift(); report !== undefined; report = this.reports.shift()) {
      this.observer.reported(report);
      this.handleOutputs(this.owner.step({ kind: 'report', report }, this.now));
    }
  }

  private get workerNow(): WorkerInstant {
    return brandAs<WorkerInstant>(this.now);
  }

  private report(report: WorkerReport): void {
    this.observer.reported(report);
    this.step({ kind: 'report', report });
  }

  /** Plain comparisons, here and in `answer`, keep nearly all measured time the owner's own. */
  private handleOutputs(outputs: readonly Output[]): void {
    for (const output of outputs) {
      if (output.kind === 'append') {
        this.observer.appended(output.records);
      } else if (output.kind === 'command') {
        this.observer.commanded(output.command);
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
    const { shard, capacity } = this.options;
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
