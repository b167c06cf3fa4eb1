/**
 * The state machine of one shard's owner. It takes inputs with the current time and returns outputs
 * for its caller to carry out. It does no I/O, so that a recorded trace of inputs replays to the
 * same outputs.
 */

import { match } from 'ts-pattern';
import {
  brandAs,
  taskOfAttempt,
  workOfTask,
  type AttemptId,
  type Epoch,
  type ShardId,
  type TaskId,
  type TeamId,
  type WorkId,
} from '@bamboowell/types/ids';
import type { Outcome } from '@bamboowell/types/work';
import type { Batch, Effect, ShardRecord, Stamped } from '@bamboowell/types/records';
import { positivePart, subtract, type Resources } from '@bamboowell/types/resources';
import type { TeamUsage } from '@bamboowell/policy/ordering';
import { NEVER, type Deadline, type Instant } from '@bamboowell/types/time';
import { ShardFold, type ShardSnapshot } from '@bamboowell/state/shard-fold';
import { Calls } from './calls.js';
import { Cancellations } from './cancellations.js';
import { Context, type OwnerOptions } from './context.js';
import { Outcomes } from './outcomes.js';
import { Health } from './health.js';
import { Limits } from './limits.js';
import { LiveAttempts } from './live-attempts.js';
import type { CellView, Input, Output } from './messages.js';
import { UsageEnforcement } from './usage-enforcement.js';
import { Preemptions } from './preemptions.js';
import { Reports } from './reports.js';
import { Sessions } from './sessions.js';
import { Starts } from './starts.js';
import { Stops } from './stops.js';
import { Submissions } from './submissions.js';
import { Takeover } from './takeover.js';
import { MaintenanceSchedule } from './maintenance-schedule.js';
import { WaitingTasks } from './waiting-tasks.js';

export class ShardOwner {
  private readonly context: Context;
  private readonly live: LiveAttempts;
  private readonly limits: Limits;
  private readonly sessions: Sessions;
  private readonly waiting: WaitingTasks;
  private readonly starts: Starts;
  private readonly outcomes: Outcomes;
  private readonly submissions: Submissions;
  private readonly calls: Calls;
  private readonly cancellations: Cancellations;
  private readonly stops: Stops;
  private readonly health: Health;
  private readonly preemptions: Preemptions;
  private readonly usageEnforcement: UsageEnforcement;
  private readonly reports: Reports;
  private readonly takeover: Takeover;
  /** Whether the last step left work that may be placed without further input. */
  private hasMore = false;
  private readonly maintenance = new MaintenanceSchedule();
  private releasing = false;

  constructor(options: OwnerOptions) {
    const context = new Context(options);
    this.context = context;
    this.live = new LiveAttempts(context);
    this.limits = new Limits(context, this.live);
    this.sessions = new Sessions(context);
    this.waiting = new WaitingTasks(context);
    this.stops = new Stops(context, this.live, this.limits);
    this.health = new Health(context, this.sessions, this.waiting, options.backoff);
    this.preemptions = new Preemptions(context, this.live, this.stops);
    this.usageEnforcement = new UsageEnforcement(context, this.live, this.stops);
    const { live, limits, sessions, waiting, health, preemptions, usageEnforcement, stops } = this;
    this.starts = new Starts(context, { live, limits, sessions, waiting, health, preemptions });
    this.outcomes = new Outcomes(context, this.live);
    const submissions = new Submissions(context);
    this.submissions = submissions;
    this.calls = new Calls(context, { live, limits, sessions, submissions, health });
    this.cancellations = new Cancellations(context, this.live, this.waiting);
    const { starts, outcomes, calls } = this;
    this.reports = new Reports(context, {
      live,
      sessions,
      starts,
      outcomes,
      calls,
      stops,
      health,
      usageEnforcement,
    });
    const { reports } = this;
    this.takeover = new Takeover(context, { sessions, reports, waiting });
  }

  get shard(): ShardId {
    return this.context.options.shard;
  }

  get fold(): ShardFold {
    return this.context.fold;
  }

  /** The epoch in which this process owns the shard, if it does. */
  get ownedEpoch(): Epoch | undefined {
    return this.context.ownedEpoch;
  }

  /** Takes one input and returns the outputs, in the order in which to carry them out. */
  step(input: Input, now: Instant): Output[] {
    this.context.now = now;
    this.receive(input);
    if ('deadline' in input) {
      this.maintenance.noteDeadline(input.deadline);
    }
    if (this.maintenance.isDue(input, now)) {
      this.runMaintenance();
    }
    if (MaintenanceSchedule.mayUnblockWork(input)) {
      this.placeWork();
    }
    return this.context.takeOutputs();
  }

  /** The latest time for the next step; with `tick` if there is no other input. */
  nextDeadline(): Deadline {
    return this.hasMore ? brandAs<Deadline>(this.context.now) : this.maintenance.deadline;
  }

  /** The resources of a team's live attempts in this shard. */
  runningOf(team: TeamId): Resources {
    return this.live.runningOf(team);
  }

  /** Teams that run work or hold a part of their limit in this shard. */
  teams(): TeamId[] {
    const running = [...this.live.all()].map((live) => live.team);
    return [...new Set([...running, ...(this.context.cell?.holdings.keys() ?? [])])];
  }

  /** The parts from which status and explanations are read. */
  view() {
    const { context, live, sessions, limits } = this;
    return { context, live, sessions, limits };
  }

  private receive(input: Input): void {
    match(input)
      .with({ kind: 'report' }, ({ report }) => {
        this.reports.receive(report);
      })
      .with({ kind: 'batch' }, ({ batch }) => {
        this.applyBatch(batch);
      })
      .with({ kind: 'submit' }, ({ work, deadline, token }) => {
        this.submissions.submit(work, deadline, token);
      })
      .with({ kind: 'restored' }, ({ snapshot }) => {
        this.restore(snapshot);
      })
      .with({ kind: 'rejected' }, ({ sequences }) => {
        for (const sequence of sequences) {
          this.submissions.rejected(sequence);
          this.cancellations.rejected(sequence);
          this.starts.voided(sequence);
          this.outcomes.rejected(sequence);
        }
      })
      .with({ kind: 'authority' }, ({ authority }) => {
        this.context.authority = authority;
      })
      .with({ kind: 'claim' }, ({ epoch, votes }) => {
        const owner = this.context.options.member;
        this.context.append({ kind: 'claim', epoch, owner, votes });
      })
      .with({ kind: 'epoch_known' }, ({ epoch }) => {
        if (epoch === this.context.ownedEpoch) {
          this.sessions.epochKnown();
        }
      })
      .with({ kind: 'cell' }, ({ view }) => {
        this.setCell(view);
      })
      .with({ kind: 'holding_settled' }, ({ team, change, amount, applied }) => {
        this.limits.settled(team, change, amount, applied);
      })
      .with({ kind: 'workers' }, ({ vms }) => {
        this.health.setWorkerCount(vms.length);
        this.takeover.updateFromVmList(vms);
      })
      .with({ kind: 'call' }, ({ work, deadline, token }) => {
        this.calls.call(work, deadline, token);
      })
      .with({ kind: 'cancel' }, ({ works, deadline, token }) => {
        this.cancellations.cancel(works, deadline, token);
      })
      .with({ kind: 'withdrawn' }, ({ sequence, state }) => {
        this.submissions.withdrawn(sequence, state);
      })
      .with({ kind: 'drain' }, () => {
        this.context.draining = true;
      })
      .with({ kind: 'tick' }, () => undefined)
      .exhaustive();
  }

  /** Handles passed deadlines, and does the periodic work of an owner. */
  private runMaintenance(): void {
    this.submissions.expire();
    this.calls.expire();
    this.cancellations.expire();
    if (this.context.ownedEpoch !== undefined) {
      this.maintainOwned();
    }
    this.maintenance.done(this.nextDue(), this.context.now);
  }

  private maintainOwned(): void {
    this.reports.endLapsedAttempts();
    this.outcomes.retry();
    this.sessions.endCooldowns();
    this.health.endQuarantines();
    this.waiting.releaseHeld();
    this.sessions.renewDue();
    this.stops.stopExcess();
    this.limits.giveBackIdle();
    this.limits.takeInAdvance();
  }

  /** Places work for which the input may have freed resources. */
  private placeWork(): void {
    if (this.context.ownedEpoch === undefined) {
      this.hasMore = false;
      return;
    }
    this.calls.place();
    this.hasMore = this.starts.place();
    this.release();
  }

  private nextDue(): Deadline {
    const deadlines = [
      this.sessions.nextDeadline(),
      this.submissions.nextDeadline(),
      this.calls.nextDeadline(),
      this.cancellations.nextDeadline(),
      this.limits.nextDeadline(),
      this.health.nextDeadline(),
      this.waiting.nextDeadline(),
    ];
    return brandAs<Deadline>(Math.min(...deadlines.map((deadline) => deadline ?? NEVER)));
  }

  private restore(snapshot: ShardSnapshot | undefined): void {
    this.loseOwnership();
    this.context.fold = snapshot === undefined ? new ShardFold() : ShardFold.restore(snapshot);
  }

  private applyBatch(batch: Batch<ShardRecord>): void {
    for (const stamped of batch.records) {
      const effect = this.context.fold.apply(stamped, batch.offset);
      this.notifyRead(stamped, effect);
      if (effect.kind === 'applied') {
        this.applied(stamped);
      }
    }
  }

  /** Tells the part that waits for the record that it was read back. */
  private notifyRead({ writer, sequence }: Stamped<ShardRecord>, effect: Effect): void {
    if (writer !== this.context.options.writer || effect.kind === 'repeated') {
      return;
    }
    this.submissions.settled(sequence, effect);
    this.cancellations.settled(sequence, effect);
    this.outcomes.settled(sequence);
    if (effect.kind === 'applied') {
      this.starts.confirmed(sequence);
    } else {
      this.starts.voided(sequence);
    }
  }

  private applied({ writer, record }: Stamped<ShardRecord>): void {
    match(record)
      .with({ kind: 'accept' }, ({ work }) => {
        this.accepted(work.id);
      })
      .with({ kind: 'place' }, ({ attempts }) => {
        for (const attempt of attempts) {
          this.context.emit({ kind: 'changed', work: workOfTask(attempt.task) });
        }
      })
      .with({ kind: 'end' }, ({ attempt, outcome }) => {
        this.ended(attempt, outcome);
      })
      .with({ kind: 'claim' }, ({ epoch }) => {
        this.claimed(writer === this.context.options.writer, epoch);
      })
      .with({ kind: 'release' }, () => {
        this.released();
      })
      .with({ kind: 'cancel' }, ({ works }) => {
        this.cancellations.applied(works);
      })
      .with({ kind: 'checkpoint' }, () => undefined)
      .exhaustive();
  }

  private accepted(work: WorkId): void {
    const entry = this.context.fold.get(work);
    if (this.context.ownedEpoch !== undefined && entry !== undefined) {
      this.waiting.resume(entry);
    }
    this.context.emit({ kind: 'changed', work });
  }

  private ended(attempt: AttemptId, outcome: Outcome): void {
    const task = taskOfAttempt(attempt);
    const work = workOfTask(task);
    if (this.context.ownedEpoch !== undefined) {
      this.waiting.refresh(task);
      this.recordHealth(task, outcome);
    }
    this.context.emit({ kind: 'changed', work });
  }

  /** Counts the outcome of an attempt towards the health of its worker and its work. */
  private recordHealth(task: TaskId, outcome: Outcome): void {
    const entry = this.context.fold.get(workOfTask(task));
    const { worker, failures } = this.context.fold.task(task) ?? {};
    if (entry !== undefined && worker !== undefined && worker !== null) {
      this.health.recordOutcome(entry.work, worker, outcome, failures ?? 0);
    }
  }

  private claimed(isOurs: boolean, epoch: Epoch): void {
    this.loseOwnership();
    if (isOurs) {
      this.takeover.takeOver(epoch);
    }
  }

  private released(): void {
    const wasOurs = this.context.ownedEpoch !== undefined;
    this.loseOwnership();
    if (wasOurs) {
      this.context.event('shard_released', {});
      this.context.emit({ kind: 'released' });
    }
  }

  /** Discards the state that only an owner has. */
  private loseOwnership(): void {
    if (this.context.ownedEpoch === undefined) {
      return;
    }
    this.context.event('shard_lost', { epoch: this.context.ownedEpoch });
    this.submissions.abandon();
    this.calls.abandon();
    this.cancellations.abandon();
    this.starts.clear();
    this.outcomes.clear();
    this.live.clear();
    this.waiting.clear();
    this.limits.clear();
    this.preemptions.clear();
    this.usageEnforcement.clear();
    this.sessions.clear();
    this.takeover.clear();
    this.releasing = false;
    this.context.ownedEpoch = undefined;
  }

  private setCell(view: CellView): void {
    this.context.cell = view;
    const shares = [...view.configuration.teams.values()].map(
      (team) => [team.id, team.share] as const,
    );
    this.context.ordering.setWeights(new Map(shares));
    this.context.ordering.setRemoteUsage(remoteUsageOf(view));
  }

  /** Releases a draining shard once no call or submission is pending. */
  private release(): void {
    const epoch = this.context.ownedEpoch;
    const isIdle = this.calls.size === 0 && this.submissions.size === 0;
    if (epoch !== undefined && this.context.draining && isIdle && !this.releasing) {
      this.releasing = true;
      this.context.append({ kind: 'release', epoch });
    }
  }
}

/** What other shards hold of the teams' limits. They use at most that, so stale values are safe. */
function remoteUsageOf({ holdings }: CellView): TeamUsage[] {
  return [...holdings].map(([team, { held, total }]) => ({
    team,
    running: positivePart(subtract(total, held)),
  }));
}
