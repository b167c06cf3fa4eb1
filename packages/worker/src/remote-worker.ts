/**
 * The task that owns the connection to one worker. It reconnects when the connection ends, sends
 * the last `attach` again on each new connection, and posts the worker's reports to `reports`.
 */

import { match } from 'ts-pattern';
import { Task } from '@bamboowell/kernel/task';
import { deadlineAfter } from '@bamboowell/types/time';
import { done, refused, type Result } from '@bamboowell/types/verdict';
import type { WorkerCommand, WorkerReport } from '@bamboowell/types/worker-messages';
import { connect } from '@bamboowell/wire/connect';
import { DiscardingMeter, type Meter } from '@bamboowell/wire/meter';
import type { TcpConnection } from '@bamboowell/wire/tcp-connection';
import { Backoff } from './backoff.js';
import type {
  AttachCommand,
  RemoteWorkerMessage,
  RemoteWorkerOptions,
} from './remote-worker-messages.js';
import { ReportQueue } from './report-queue.js';
import type { WorkerLink } from './worker-link.js';
import { UnansweredStarts } from './unanswered-starts.js';
import { WorkerSession } from './worker-session.js';

const CONNECT_TIMEOUT_MILLIS = 3000;
/** A connection on which `attach` was not answered for this long is replaced. */
const ATTACH_TIMEOUT_MILLIS = 3000;
/** Delay before reports are posted again after their mailbox was full. */
const FLUSH_RETRY_MILLIS = 20;
/** Reading from the worker pauses while this many reports wait for space in their mailbox. */
export const MAX_WAITING_REPORTS = 256;

export class RemoteWorker extends Task<RemoteWorkerMessage> implements WorkerLink {
  private readonly meter: Meter;
  private readonly backoff: Backoff;
  private readonly queue: ReportQueue<WorkerReport>;
  private readonly unansweredStarts = new UnansweredStarts();
  private session: WorkerSession | undefined;
  private lastAttach: AttachCommand | undefined;
  private isAttached = false;
  private isFlushDue = false;
  /** Number of messages of the worker that have arrived but were not handled by this task yet. */
  private unhandledCount = 0;

  constructor(private readonly options: RemoteWorkerOptions) {
    super(`worker ${options.worker}`, options.clock);
    this.meter = options.meter ?? new DiscardingMeter();
    this.backoff = new Backoff(options.random);
    this.queue = new ReportQueue(options.reports);
  }

  /**
   * `attach` is kept and sent on each connection; other commands need an attached worker. A start
   * that was sent before and not answered is not refused, because it may still run: only `detached`
   * and the next `attached` tell its outcome.
   */
  send(command: WorkerCommand): Result<null> {
    if (command.kind !== 'attach' && !this.isAttached) {
      this.meter.count(`worker.refused.${command.kind}`, 1);
      return this.isUnansweredStart(command)
        ? done(null)
        : refused('worker_lost', `the worker ${this.options.worker} is not attached`);
    }
    return match(this.post({ kind: 'command', command }))
      .with('accepted', () => done(null))
      .with('full', () => refused('overloaded', 'too many commands wait for the worker'))
      .with('stopped', () => refused('shutting_down', 'the link to the worker is closed'))
      .exhaustive();
  }

  close(): Promise<void> {
    return this.stop();
  }

  protected override onStart(): void {
    this.post({ kind: 'connect' });
  }

  protected override onStop(): void {
    this.session?.close();
    this.session = undefined;
    this.isAttached = false;
  }

  protected receive(message: RemoteWorkerMessage): Promise<void> | void {
    match(message)
      .with({ kind: 'connect' }, () => {
        this.connect();
      })
      .with({ kind: 'connected' }, ({ connection }) => {
        this.connected(connection);
      })
      .with({ kind: 'unreachable' }, () => {
        this.meter.count('worker.unreachable', 1);
        this.connectLater();
      })
      .with({ kind: 'command' }, ({ command }) => {
        this.handleCommand(command);
      })
      .with({ kind: 'reported' }, ({ session, report }) => {
        this.handleReport(session, report);
      })
      .with({ kind: 'attach_overdue' }, ({ session }) => {
        this.attachOverdue(session);
      })
      .with({ kind: 'connection_ended' }, ({ session }) => {
        this.connectionEnded(session);
      })
      .with({ kind: 'flush' }, () => {
        this.isFlushDue = false;
        this.flush();
      })
      .exhaustive();
  }

  private connect(): void {
    const { address, clock, tls, worker } = this.options;
    const deadline = deadlineAfter(clock.now(), CONNECT_TIMEOUT_MILLIS);
    const identity = tls === undefined ? {} : { tls, expectedPeer: worker };
    void connect({ address, clock, deadline, meter: this.meter, ...identity }).then((result) => {
      if ('kind' in result) {
        this.post(result);
      } else if (this.post({ kind: 'connected', connection: result }) !== 'accepted') {
        result.close();
      }
    });
  }

  private connectLater(): void {
    const at = deadlineAfter(this.clock.now(), this.backoff.nextMillis());
    this.meter.count('worker.reconnects', 1);
    this.postAt(at, { kind: 'connect' });
  }

  private connected(connection: TcpConnection): void {
    const session = new WorkerSession(connection, {
      worker: this.options.worker,
      clock: this.clock,
      meter: this.meter,
      events: {
        arrived: (from) => {
          this.unhandledCount += 1;
          this.pauseOrResume(from);
        },
        reported: (from, report) => {
          this.postReport(from, report);
        },
      },
    });
    this.session = session;
    void connection.ended.then(() => this.post({ kind: 'connection_ended', session }));
    if (this.lastAttach !== undefined) {
      this.attach(session, this.lastAttach);
    }
  }

  private attach(session: WorkerSession, command: AttachCommand): void {
    session.send(command);
    const deadline = deadlineAfter(this.clock.now(), ATTACH_TIMEOUT_MILLIS);
    this.postAt(deadline, { kind: 'attach_overdue', session });
  }

  private attachOverdue(session: WorkerSession): void {
    if (session === this.session && !session.isAnswered) {
      this.meter.count('worker.attach_timeout', 1);
      session.close();
    }
  }

  private handleCommand(command: WorkerCommand): void {
    if (command.kind === 'attach') {
      this.lastAttach = command;
      if (this.session !== undefined) {
        this.attach(this.session, command);
      }
      return;
    }
    const sent = this.isAttached ? this.session?.send(command) : 'not_sent';
    if (sent !== 'sent') {
      this.notSent(command);
    } else if (command.kind === 'start') {
      this.unansweredStarts.sent(command);
    }
  }

  private notSent(command: WorkerCommand): void {
    this.meter.count(`worker.not_sent.${command.kind}`, 1);
    if (command.kind === 'start' && !this.isUnansweredStart(command)) {
      const { attempt } = command;
      const { worker } = this.options;
      this.report({ kind: 'start_refused', worker, attempt, why: 'not_sent' });
    }
  }

  private isUnansweredStart(command: WorkerCommand): boolean {
    return command.kind === 'start' && this.unansweredStarts.has(command.attempt);
  }

  /** Called when the session has a report, while this task may be handling another message. */
  private postReport(session: WorkerSession, report: WorkerReport | undefined): void {
    if (this.post({ kind: 'reported', session, report }) !== 'accepted') {
      this.unhandledCount -= 1;
      // The worker keeps its outcomes and lists them when it is attached again.
      session.close();
    }
  }

  private handleReport(session: WorkerSession, report: WorkerReport | undefined): void {
    this.unhandledCount -= 1;
    if (session === this.session && report !== undefined) {
      this.updateState(report);
      this.report(report);
    }
    this.pauseOrResume(session);
  }

  private updateState(report: WorkerReport): void {
    this.unansweredStarts.reported(report);
    if (report.kind === 'attached') {
      this.isAttached = true;
      this.backoff.reset();
    }
    if (report.kind === 'fenced' && report.epoch > (this.lastAttach?.epoch ?? 0)) {
      this.isAttached = false;
    }
  }

  private connectionEnded(session: WorkerSession): void {
    if (session !== this.session) {
      return;
    }
    this.session = undefined;
    this.isAttached = false;
    if (session.incarnation !== undefined) {
      const { worker } = this.options;
      this.report({ kind: 'detached', worker, incarnation: session.incarnation });
    }
    this.connectLater();
  }

  private report(report: WorkerReport): void {
    this.queue.add(report);
    this.flush();
  }

  private flush(): void {
    this.queue.flush();
    if (this.queue.size > 0 && !this.isFlushDue) {
      this.isFlushDue = true;
      this.meter.count('worker.reports_full', 1);
      this.postAt(deadlineAfter(this.clock.now(), FLUSH_RETRY_MILLIS), { kind: 'flush' });
    }
    if (this.session !== undefined) {
      this.pauseOrResume(this.session);
    }
  }

  private pauseOrResume(session: WorkerSession): void {
    if (this.unhandledCount + this.queue.size >= MAX_WAITING_REPORTS) {
      session.pause();
    } else {
      session.resume();
    }
  }
}
