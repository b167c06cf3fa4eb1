/** One connection to a worker. Validates the worker's messages and passes them on in order. */

import { match } from 'ts-pattern';
import type { z } from 'zod';
import type { Clock } from '@bamboowell/kernel/clock';
import type { AttemptId, Incarnation, WorkerId } from '@bamboowell/types/ids';
import { deadlineAfter } from '@bamboowell/types/time';
import type { Outcome } from '@bamboowell/types/work';
import type { AttemptReport, WorkerCommand, WorkerReport } from '@bamboowell/types/worker-messages';
import type { Meter } from '@bamboowell/wire/meter';
import type { TcpConnection } from '@bamboowell/wire/tcp-connection';
import { DAMAGED_OUTCOME, verifyOutcome } from './verify-outcome.js';
import {
  ATTACHED,
  ENDED,
  FENCED,
  REPORTED_AGAIN,
  STARTED,
  START_REFUSED,
  USAGE,
  type Attached,
  type OutcomeWithDigest,
} from './worker-schema.js';

/** Maximum time for a worker to report an outcome again. */
const REPORT_AGAIN_MILLIS = 3000;

/** Callbacks of a session to its owner. */
export interface WorkerSessionEvents {
  /** A message has arrived; `reported` is called once for each. */
  arrived(session: WorkerSession): void;
  /** The message was handled; `report` is undefined if there is nothing to report. */
  reported(session: WorkerSession, report: WorkerReport | undefined): void;
}

export interface WorkerSessionOptions {
  readonly worker: WorkerId;
  readonly clock: Clock;
  readonly meter: Meter;
  readonly events: WorkerSessionEvents;
}

export class WorkerSession {
  /** Incarnation of the attached worker; undefined before it is attached. */
  incarnation: Incarnation | undefined;
  /** Whether the worker has answered the last `attach`, with `attached` or `fenced`. */
  isAnswered = true;
  /**
   * Whether an outcome was requested again. Reading must not pause meanwhile, or the answer would
   * not be read.
   */
  private isRequestingAgain = false;
  /**
   * Resolves once all messages so far are handled. They are handled one at a time, because an
   * outcome may have to be requested again.
   */
  private handled: Promise<void> = Promise.resolve();

  constructor(
    private readonly connection: TcpConnection,
    private readonly options: WorkerSessionOptions,
  ) {
    this.accept('attached', ATTACHED, (answer) => this.attached(answer));
    this.accept('fenced', FENCED, ({ epoch }) => {
      this.isAnswered = true;
      return { kind: 'fenced', worker: this.worker, epoch };
    });
    this.accept('started', STARTED, ({ attempt }) => ({
      kind: 'started',
      worker: this.worker,
      attempt,
    }));
    this.accept('start_refused', START_REFUSED, ({ attempt, why }) => ({
      kind: 'start_refused',
      worker: this.worker,
      attempt,
      why,
    }));
    this.accept('ended', ENDED, ({ attempt, outcome }) => this.endedOf(attempt, outcome));
    this.accept('usage', USAGE, (usage) => ({ kind: 'usage', worker: this.worker, ...usage }));
  }

  /** Sends a command. `not_sent`: no byte of it was sent. */
  send(command: WorkerCommand): 'sent' | 'not_sent' {
    const { kind, ...params } = command;
    this.isAnswered &&= kind !== 'attach';
    return this.connection.notify(kind, params) === 'sent' ? 'sent' : 'not_sent';
  }

  /** Stops reading, so that the worker's messages wait in the network. */
  pause(): void {
    if (!this.isRequestingAgain) {
      this.connection.pause();
    }
  }

  resume(): void {
    this.connection.resume();
  }

  close(): void {
    this.connection.close();
  }

  private get worker(): WorkerId {
    return this.options.worker;
  }

  private accept<Schema extends z.ZodType>(
    method: string,
    schema: Schema,
    report: (message: z.output<Schema>) => Promise<WorkerReport | undefined> | WorkerReport,
  ): void {
    this.connection.handle(method, (params) => {
      this.options.events.arrived(this);
      this.handled = this.handled.then(async () => {
        const parsed = schema.safeParse(params);
        if (!parsed.success) {
          this.options.meter.count(`worker.junk.${method}`, 1);
        }
        this.options.events.reported(this, parsed.success ? await report(parsed.data) : undefined);
      });
    });
  }

  private async attached(answer: Attached): Promise<WorkerReport | undefined> {
    if (answer.profile.id !== this.worker) {
      this.options.meter.count('worker.wrong_worker', 1);
      this.close();
      return undefined;
    }
    const attempts: AttemptReport[] = [];
    for (const attempt of answer.attempts) {
      const report = await this.attemptReportOf(attempt);
      if (report === undefined) {
        return undefined;
      }
      attempts.push(report);
    }
    this.isAnswered = true;
    this.incarnation = answer.incarnation;
    return { kind: 'attached', worker: this.worker, ...answer, attempts };
  }

  private async attemptReportOf(
    report: Attached['attempts'][number],
  ): Promise<AttemptReport | undefined> {
    const { attempt, demand, state } = report;
    if (state.kind === 'running') {
      return { attempt, demand, state };
    }
    const outcome = await this.intactOutcome(attempt, state.outcome);
    return outcome && { attempt, demand, state: { kind: 'ended', outcome } };
  }

  private async endedOf(
    attempt: AttemptId,
    received: OutcomeWithDigest,
  ): Promise<WorkerReport | undefined> {
    const outcome = await this.intactOutcome(attempt, received);
    return outcome && { kind: 'ended', worker: this.worker, attempt, outcome };
  }

  /**
   * Returns the outcome, which is requested once more if it is damaged. Closes the connection if
   * that request is not answered.
   */
  private async intactOutcome(
    attempt: AttemptId,
    received: OutcomeWithDigest,
  ): Promise<Outcome | undefined> {
    const outcome = verifyOutcome(received);
    if (outcome !== 'damaged') {
      return outcome;
    }
    this.options.meter.count('worker.damaged_answers', 1);
    return this.requestAgain(attempt);
  }

  private async requestAgain(attempt: AttemptId): Promise<Outcome | undefined> {
    this.isRequestingAgain = true;
    this.connection.resume();
    const deadline = deadlineAfter(this.options.clock.now(), REPORT_AGAIN_MILLIS);
    const answer = await this.connection.request('report_again', { attempt }, deadline);
    this.isRequestingAgain = false;
    return match(answer)
      .with({ kind: 'answered' }, ({ value }) => this.secondOutcome(value))
      .with({ kind: 'failed' }, () => DAMAGED_OUTCOME)
      .with({ kind: 'not_sent' }, { kind: 'unknown' }, () => {
        // A new connection starts with `attached`, which lists the outcome again.
        this.close();
        return undefined;
      })
      .exhaustive();
  }

  private secondOutcome(value: unknown): Outcome {
    const parsed = REPORTED_AGAIN.safeParse(value);
    const outcome = parsed.success ? verifyOutcome(parsed.data) : 'damaged';
    if (outcome !== 'damaged') {
      return outcome;
    }
    this.options.meter.count('worker.damaged_twice', 1);
    return DAMAGED_OUTCOME;
  }
}
