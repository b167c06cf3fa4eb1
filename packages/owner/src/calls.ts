/** Quick calls. They are placed on a slot, answered on the same request, and never recorded. */

import { match } from 'ts-pattern';
import { attemptIdOf, taskIdOf, type AttemptId, type WorkerId } from '@bamboowell/types/ids';
import { fits } from '@bamboowell/types/resources';
import { hasPassed, type Deadline, type Instant } from '@bamboowell/types/time';
import type { Outcome, Work } from '@bamboowell/types/work';
import type { WorkerReport } from '@bamboowell/types/worker-messages';
import { NO_SPREAD } from '@bamboowell/policy/fleet';
import { WaitEstimate, type Backlog } from '@bamboowell/policy/wait-estimate';
import type { Context } from './context.js';
import type { Health } from './health.js';
import type { Limits } from './limits.js';
import type { LiveAttempt, LiveAttempts } from './live-attempts.js';
import type { RetryReason, Token } from './messages.js';
import type { Session, Sessions } from './sessions.js';
import type { Submissions } from './submissions.js';

/** Maximum number of quick calls of a shard that wait for a slot. */
export const MAX_WAITING_CALLS = 2048;

interface Call {
  readonly work: Work;
  readonly deadline: Deadline;
  readonly token: Token;
  readonly waitingSince: Instant;
  attempts: number;
  /** Whether an attempt may have run. */
  mayHaveRun: boolean;
}

/** The parts of the owner that quick calls use. */
export interface CallParts {
  readonly live: LiveAttempts;
  readonly limits: Limits;
  readonly sessions: Sessions;
  readonly submissions: Submissions;
  readonly health: Health;
}

type StartRefusal = Extract<WorkerReport, { kind: 'start_refused' }>['why'];

export class Calls {
  private waiting: Call[] = [];
  private readonly estimate = new WaitEstimate();
  private readonly running = new Map<AttemptId, Call>();

  constructor(
    private readonly context: Context,
    private readonly parts: CallParts,
  ) {}

  /** Calls that have not been answered. */
  get size(): number {
    return this.waiting.length + this.running.size;
  }

  call(work: Work, deadline: Deadline, token: Token): void {
    const cause = this.parts.submissions.refusalCauseOf(work);
    if (cause !== undefined) {
      this.context.refuseNotRun(token, cause);
      return;
    }
    if (this.waiting.length >= MAX_WAITING_CALLS) {
      this.context.refuse(
        token,
        'not_run',
        'overloaded',
        `${MAX_WAITING_CALLS} calls are already waiting for a slot`,
      );
      return;
    }
    const estimatedStart = this.estimate.estimateStart(this.backlogOf(work), this.context.now);
    if (hasPassed(deadline, estimatedStart)) {
      this.context.refuse(
        token,
        'not_run',
        'deadline_unreachable',
        `the call would start ${Math.round(estimatedStart - deadline)} ms after its deadline`,
      );
      return;
    }
    const waitingSince = this.context.now;
    this.insert({ work, deadline, token, waitingSince, attempts: 0, mayHaveRun: false });
  }

  /** Starts the waiting calls that fit, in order. Urgent calls are first. */
  place(): void {
    if (!this.context.mayStart || !this.context.mayUseHoldings) {
      return;
    }
    const left: Call[] = [];
    for (const call of this.waiting) {
      if (!this.tryStart(call)) {
        left.push(call);
      }
    }
    this.waiting = left;
  }

  has(attempt: AttemptId): boolean {
    return this.running.has(attempt);
  }

  ended(live: LiveAttempt, outcome: Outcome): void {
    const call = this.takeRunning(live);
    const { worker } = live.attempt;
    if (call === undefined) {
      this.parts.health.recordInconclusive(worker);
      return;
    }
    this.parts.health.recordCallOutcome(call.work, worker, outcome);
    const { token } = call;
    match(outcome)
      .with({ kind: 'succeeded' }, ({ answer }) => {
        const { id } = live.attempt;
        this.context.respond(token, { kind: 'called', answer, worker, attempt: id });
      })
      .with({ kind: 'failed' }, ({ detail }) => {
        this.context.refuse(token, 'ran', 'worker_failed', detail);
      })
      .with({ kind: 'never_started' }, () => {
        this.retry(call, 'worker_refused');
      })
      .with({ kind: 'stopped' }, () => {
        this.context.refuse(token, 'ran', 'cancelled', 'the call was stopped on the worker');
      })
      .with({ kind: 'lost' }, () => {
        this.lost(call);
      })
      .exhaustive();
  }

  /** Retries a call, as the worker reported that the attempt did not and will not start. */
  startRefused(live: LiveAttempt, why: StartRefusal): void {
    const call = this.takeRunning(live);
    this.parts.health.recordInconclusive(live.attempt.worker);
    if (call !== undefined) {
      this.context.event('start_refused', {
        attempt: live.attempt.id,
        worker: live.attempt.worker,
        why,
      });
      this.retry(call, 'worker_refused');
    }
  }

  /** Sends the start again. The worker runs an attempt id at most once. */
  startAgain(live: LiveAttempt): void {
    const call = this.running.get(live.attempt.id);
    const session = this.parts.sessions.get(live.attempt.worker);
    if (call !== undefined && session !== undefined && this.context.mayStart) {
      this.sendStart(live, call, session);
    }
  }

  /** Refuses calls whose deadline has passed. Their attempts hold resources until they end. */
  expire(): void {
    const due = this.waiting.filter((call) => hasPassed(call.deadline, this.context.now));
    this.waiting = this.waiting.filter((call) => !due.includes(call));
    for (const call of due) {
      this.refuseWaiting(call);
    }
    for (const [attempt, call] of this.running) {
      if (hasPassed(call.deadline, this.context.now)) {
        this.running.delete(attempt);
        this.context.refuse(
          call.token,
          'may_have_run',
          'deadline_passed',
          'the worker did not answer in time',
        );
      }
    }
  }

  /** Refuses all calls, as this process no longer owns the shard. */
  abandon(): void {
    for (const call of this.waiting) {
      const verdict = call.mayHaveRun ? 'may_have_run' : 'not_run';
      this.context.refuse(
        call.token,
        verdict,
        'owner_changed',
        'the owner of the shard changed in the meantime',
      );
    }
    for (const call of this.running.values()) {
      this.context.refuse(
        call.token,
        'may_have_run',
        'owner_changed',
        'the owner of the shard changed in the meantime',
      );
    }
    this.waiting = [];
    this.running.clear();
  }

  nextDeadline(): Deadline | undefined {
    const deadlines = [...this.waiting, ...this.running.values()].map((call) => call.deadline);
    return deadlines.length === 0
      ? undefined
      : deadlines.reduce((left, right) => (left < right ? left : right));
  }

  private backlogOf({ queue }: Work): Backlog {
    const ahead = this.waiting.filter((call) => call.work.queue === queue);
    const oldestSince = ahead[0]?.waitingSince ?? this.context.now;
    return { queue, waiting: ahead.length, oldestSince };
  }

  private insert(call: Call): void {
    if (call.work.urgency !== 'urgent') {
      this.waiting.push(call);
      return;
    }
    const firstOther = this.waiting.findIndex((other) => other.work.urgency !== 'urgent');
    this.waiting.splice(firstOther < 0 ? this.waiting.length : firstOther, 0, call);
  }

  private tryStart(call: Call): boolean {
    const { team, demand } = call.work;
    if (!fits(demand, this.parts.limits.roomOf(team))) {
      this.parts.limits.requestMore(team, demand);
      return false;
    }
    const worker = this.context.options.placement.choose(this.context.fleet, demand, NO_SPREAD);
    if (worker === undefined || !this.context.fleet.reserve(worker, demand)) {
      return false;
    }
    this.start(call, worker);
    return true;
  }

  private start(call: Call, worker: WorkerId): void {
    const session = this.parts.sessions.get(worker);
    if (session === undefined) {
      throw new Error(`worker ${worker} was chosen but is not attached`);
    }
    call.attempts += 1;
    this.estimate.recordStart(call.work.queue, call.waitingSince, this.context.now);
    this.sendStart(this.addLive(call, worker), call, session);
  }

  private sendStart(live: LiveAttempt, call: Call, session: Session): void {
    const epoch = this.context.ownedEpoch;
    const startBy = this.parts.sessions.startBy(session);
    const leaseUntil = this.parts.sessions.grantLease(session);
    if (epoch === undefined || startBy === undefined || leaseUntil === undefined) {
      throw new Error(`worker ${session.worker} was chosen but is not attached`);
    }
    const { demand, payload } = call.work;
    const attempt = live.attempt.id;
    live.startBy = startBy;
    this.context.command(session.worker, {
      kind: 'start',
      epoch,
      attempt,
      demand,
      payload,
      startBy,
      leaseUntil,
    });
  }

  private addLive(call: Call, worker: WorkerId): LiveAttempt {
    const { work } = call;
    const task = taskIdOf(work.id, 0);
    const id = attemptIdOf(task, call.attempts);
    const incarnation = this.parts.sessions.get(worker)?.incarnation;
    if (incarnation === undefined) {
      throw new Error(`worker ${worker} was chosen but is not attached`);
    }
    const live: LiveAttempt = {
      attempt: { id, task, worker, incarnation },
      work: work.id,
      team: work.team,
      demand: work.demand,
      durable: false,
      phase: 'starting',
      stopping: false,
      knownSince: this.context.now,
      startBy: undefined,
    };
    this.parts.live.add(live);
    this.running.set(id, call);
    return live;
  }

  private takeRunning(live: LiveAttempt): Call | undefined {
    const call = this.running.get(live.attempt.id);
    this.running.delete(live.attempt.id);
    this.parts.live.remove(live);
    return call;
  }

  /** Counts a retry and puts the call back among the waiting ones. */
  private retry(call: Call, reason: RetryReason): void {
    this.context.emit({ kind: 'retried', reason });
    this.insert(call);
  }

  /**
   * Handles a lost attempt. All its leases have ended, so it no longer runs, but it may have run:
   * only an idempotent call is retried.
   */
  private lost(call: Call): void {
    call.mayHaveRun = true;
    if (call.work.idempotent) {
      this.retry(call, 'lease_lapsed');
      return;
    }
    this.context.refuse(
      call.token,
      'may_have_run',
      'worker_lost',
      'the worker was lost and may have run the call',
    );
  }

  private refuseWaiting(call: Call): void {
    if (call.mayHaveRun) {
      this.context.refuse(
        call.token,
        'may_have_run',
        'deadline_passed',
        'an earlier attempt may have run',
      );
      return;
    }
    const limitReached = !fits(call.work.demand, this.parts.limits.roomOf(call.work.team));
    const reason = limitReached ? 'team_limit_reached' : 'no_worker_fits';
    const detail = limitReached
      ? `team ${call.work.team} had no capacity left below its upper limit before the deadline`
      : 'no worker had a free slot before the deadline';
    this.context.refuse(call.token, 'not_run', reason, detail);
  }
}
