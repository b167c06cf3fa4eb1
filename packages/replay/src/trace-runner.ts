/** Runs the steps of a trace on a simulated cell and checks its expectations. */

import { match } from 'ts-pattern';
import type { WorkRequest, Sender } from '@bamboowell/front/backend';
import type { Change } from '@bamboowell/types/declarations';
import {
  brandAs,
  type DataCentreId,
  type KeyId,
  type QueueId,
  type RequestId,
  type TeamId,
  type Version,
} from '@bamboowell/types/ids';
import { deadlineAfter } from '@bamboowell/types/time';
import type { Result } from '@bamboowell/types/verdict';
import type { Shape } from '@bamboowell/types/work';
import type { ObservationOf } from './observation.js';
import { ExpectationChecker, type Responses } from './expectation-checker.js';
import { Recorder } from './recorder.js';
import { OPERATOR, secretHashOf } from './simulation/simulated-daemon.js';
import { SimulatedCell } from './simulation/simulated-cell.js';
import type { Expectation, WithLine, Step, Trace, ConfigurationChange } from './trace.js';

type Submit = Extract<Step, { do: 'submit' }>;
type Call = Extract<Step, { do: 'call' }>;
type Apply = Extract<Step, { do: 'apply' }>;

/** An expectation that does not hold. */
export interface FailedExpectation {
  readonly line: number;
  readonly detail: string;
}

/** Timeout of operators' changes and of cancellations. */
const REQUEST_TIMEOUT_MILLIS = 2_000;
const operator: Sender = { key: brandAs<KeyId>(OPERATOR), secret: OPERATOR };

export class TraceRunner {
  private readonly cell: SimulatedCell;
  private readonly recorder: Recorder;
  private readonly responses: Responses = {
    workIds: new Map(),
    applied: new Map(),
    repeated: new Map(),
  };
  private readonly checker: ExpectationChecker;
  private readonly partitionedDaemons = new Set<string>();
  private readonly failed: FailedExpectation[] = [];

  constructor(private readonly trace: Trace) {
    this.recorder = new Recorder(() => this.cell.clock.now());
    this.cell = new SimulatedCell(this.recorder, trace.header.seed);
    this.checker = new ExpectationChecker(this.cell, this.recorder, this.responses);
  }

  get observations() {
    return this.recorder.observations;
  }

  /** Runs the whole trace; resolves to the expectations that did not hold. */
  async run(): Promise<readonly FailedExpectation[]> {
    const { steps, expectations } = this.trace;
    const entries = [...steps, ...expectations].sort((left, right) => left.line - right.line);
    for (const entry of entries) {
      await this.cell.advanceTo(entry.at);
      if ('do' in entry) {
        await this.runStep(entry);
      } else {
        await this.checkExpectation(entry);
      }
    }
    return this.failed;
  }

  private async runStep(step: Step): Promise<void> {
    const { cell } = this;
    await match(step)
      .with({ do: 'add_worker' }, ({ worker, capacity, dataCentre, rack }) => {
        cell.addWorker({ worker, capacity, dataCentre, rack });
        this.recorder.addObservation({ at: step.at, saw: 'worker', worker, capacity });
      })
      .with({ do: 'add_daemon' }, async ({ daemon, region, dataCentre }) => {
        this.observeDaemon(daemon, 'up');
        await cell.addDaemon({ daemon, region, dataCentre });
      })
      .with({ do: 'apply' }, (apply) => {
        this.apply(apply);
      })
      .with({ do: 'submit' }, (submit) => {
        this.submit(submit);
      })
      .with({ do: 'call' }, (call) => {
        this.call(call);
      })
      .with({ do: 'cancel' }, ({ through, key, requests }) => {
        const workIds = requests.flatMap((request) => this.responses.workIds.get(request) ?? []);
        void cell
          .daemon(through)
          .backend.cancel(senderOf(key), workIds, this.deadline(REQUEST_TIMEOUT_MILLIS));
      })
      .with({ do: 'daemon' }, (change) => this.changeDaemon(change))
      .with({ do: 'log' }, ({ is }) => {
        if (is === 'release') {
          cell.log.releaseLate();
        } else {
          cell.log.setDown(is === 'down');
        }
      })
      .with({ do: 'log_delay' }, ({ millis }) => {
        cell.log.setDelay(millis);
      })
      .with({ do: 'pace' }, ({ stepMillis }) => {
        cell.setTimeStep(stepMillis);
      })
      .with({ do: 'fail_appends' }, ({ as }) => {
        cell.log.failNext(...as);
      })
      .with({ do: 'cut' }, ({ from, to }) => {
        cell.partition(from, to);
        this.observePartitions();
      })
      .with({ do: 'heal' }, () => {
        cell.heal();
        this.observePartitions();
      })
      .with({ do: 'link' }, ({ worker, is }) => {
        cell.setLinkState(worker, is);
      })
      .with({ do: 'worker' }, ({ worker, is }) => {
        this.changeWorker(worker, is);
      })
      .with({ do: 'list' }, ({ is }) => {
        cell.setVmListState(is);
      })
      .with({ do: 'list_gone' }, ({ id }) => {
        cell.removeVmFromList(id);
      })
      .with({ do: 'list_leaving' }, ({ id }) => {
        cell.markVmLeaving(id);
        this.recorder.addObservation({ at: step.at, saw: 'leaving', worker: id });
      })
      .exhaustive();
    await cell.deliverMessages();
  }

  private apply({ through, base, changes, name }: Apply): void {
    const { backend } = this.cell.daemon(through);
    const run = async (): Promise<Result<Version>> => {
      const current = await backend.configuration(operator);
      const version =
        current.kind === 'done' ? current.value.configuration.version : brandAs<Version>(0);
      const from = base === null ? version : brandAs<Version>(base);
      return backend.apply(
        operator,
        from,
        changes.map(changeOf),
        this.deadline(REQUEST_TIMEOUT_MILLIS),
      );
    };
    void run().then((result) => {
      this.responses.applied.set(name, result);
      if (result.kind === 'done') {
        this.recorder.addObservation({ at: this.now(), saw: 'applied', version: result.value });
      }
    });
  }

  private submit(submit: Submit): void {
    this.observeRequest(submit, 'submit');
    const workRequest = this.workRequestOf(submit, submit.shape);
    const daemon = this.cell.daemon(submit.through);
    void daemon
      .trackRequest(
        daemon.backend.submit(
          senderOf(submit.key),
          workRequest,
          this.deadline(submit.timeoutMillis),
        ),
      )
      .then((result) => {
        const work = result.kind === 'done' ? result.value.work : (result.refusal.work ?? null);
        if (result.kind === 'done') {
          this.responses.repeated.set(submit.request, result.value.repeated);
        }
        if (work !== null) {
          this.responses.workIds.set(submit.request, work);
        }
        this.observeAnswer(submit, result, null, work);
      });
  }

  private call(call: Call): void {
    this.observeRequest(call, 'call');
    const daemon = this.cell.daemon(call.through);
    const workRequest = this.workRequestOf(call, { kind: 'quick_call' });
    void daemon
      .trackRequest(
        daemon.backend.call(senderOf(call.key), workRequest, this.deadline(call.timeoutMillis)),
      )
      .then((result) => {
        this.observeAnswer(call, result, result.kind === 'done' ? result.value.answer : null, null);
      });
  }

  private workRequestOf(step: Submit | Call, shape: Shape): WorkRequest {
    if (step.idempotent) {
      this.recorder.markIdempotent(step.request);
    }
    const requestId = (step.do === 'submit' ? step.requestId : null) ?? step.request;
    return {
      queue: brandAs<QueueId>(step.queue),
      requestId: brandAs<RequestId>(requestId),
      shape,
      urgency: step.urgency,
      demand: step.demand,
      expectedMillis: 0,
      idempotent: step.idempotent,
      checkpointable: step.checkpointable,
      payload: Recorder.payloadOf(requestId, step.payload),
      dataCentre: step.dataCentre === null ? null : brandAs<DataCentreId>(step.dataCentre),
    };
  }

  private observeRequest(
    { request, through, key, queue }: Submit | Call,
    kind: 'submit' | 'call',
  ): void {
    this.recorder.addObservation({
      at: this.now(),
      saw: 'request',
      request,
      daemon: through,
      key,
      queue,
      kind,
    });
  }

  private observeAnswer(
    { request, through }: Submit | Call,
    result: Result<unknown>,
    answer: string | null,
    work: string | null,
  ): void {
    if (!this.cell.daemon(through).gate.isOpen) {
      return;
    }
    const refusal = result.kind === 'refused' ? result.refusal : undefined;
    this.recorder.addObservation({
      at: this.now(),
      saw: 'answer',
      request,
      verdict: refusal?.verdict ?? 'done',
      reason: refusal?.reason ?? null,
      answer,
      work,
    });
  }

  private async changeDaemon({ daemon, is }: Extract<Step, { do: 'daemon' }>): Promise<void> {
    const target = this.cell.daemon(daemon);
    await match(is)
      .with('killed', () => {
        this.cell.kill(daemon);
        this.observeDaemon(daemon, 'killed');
      })
      .with('paused', () => {
        this.cell.pause(daemon);
        this.observeDaemon(daemon, 'paused');
      })
      .with('resumed', () => {
        target.gate.resume();
        this.observeDaemon(daemon, 'resumed');
      })
      .with('stopping', () => {
        this.observeDaemon(daemon, 'stopping');
        void target.stop().then(() => {
          this.observeDaemon(daemon, 'ended');
        });
      })
      .with('started', async () => {
        this.observeDaemon(daemon, 'up');
        await this.cell.addDaemon(target.options);
      })
      .exhaustive();
  }

  private changeWorker(id: string, is: Extract<Step, { do: 'worker' }>['is']): void {
    const worker = this.cell.worker(id);
    const slowMillis = 3_000;
    match(is)
      .with('failing', () => {
        worker.switches.failEverything = true;
      })
      .with('working', () => {
        worker.switches.failEverything = false;
        worker.switches.slowStartMillis = 0;
      })
      .with('slow', () => {
        worker.switches.slowStartMillis = slowMillis;
      })
      .with('leaving', () => {
        worker.switches.leaving = true;
        this.recorder.addObservation({ at: this.now(), saw: 'leaving', worker: id });
      })
      .with('restarted', () => {
        worker.restart();
        this.cell.disconnectWorker(id);
      })
      .with('gone', () => {
        worker.remove();
        this.cell.setLinkState(id, 'cut');
      })
      .with('repeating', () => {
        worker.repeatReports();
      })
      .with('unthrottled', () => {
        worker.ignoreThrottle();
      })
      .with('frozen', () => {
        worker.freeze();
        this.recorder.addObservation({
          at: this.now(),
          saw: 'worker_is',
          worker: id,
          is: 'frozen',
        });
      })
      .with('resumed', () => {
        worker.resume();
        this.recorder.addObservation({
          at: this.now(),
          saw: 'worker_is',
          worker: id,
          is: 'resumed',
        });
      })
      .exhaustive();
  }

  /** Adds an observation for each daemon whose connection to the log was cut or restored. */
  private observePartitions(): void {
    for (const daemon of this.cell.daemons.keys()) {
      const isPartitioned = this.cell.isPartitionedFromLog(daemon);
      if (isPartitioned !== this.partitionedDaemons.has(daemon)) {
        this.observeDaemon(daemon, isPartitioned ? 'cut_off' : 'reached');
        this.partitionedDaemons[isPartitioned ? 'add' : 'delete'](daemon);
      }
    }
  }

  private observeDaemon(daemon: string, is: ObservationOf<'daemon'>['is']): void {
    this.recorder.addObservation({ at: this.now(), saw: 'daemon', daemon, is });
  }

  private async checkExpectation(expectation: WithLine<Expectation>): Promise<void> {
    const detail = await this.checker.check(expectation);
    if (detail !== undefined) {
      this.failed.push({ line: expectation.line, detail });
    }
  }

  private now(): number {
    return this.cell.clock.now();
  }

  private deadline(millis: number) {
    return deadlineAfter(this.cell.clock.now(), millis);
  }
}

function senderOf(key: string | null): Sender {
  return key === null ? null : { key: brandAs<KeyId>(key), secret: key };
}

function changeOf(change: ConfigurationChange): Change {
  return match(change)
    .returnType<Change>()
    .with({ kind: 'grant_key' }, ({ id, team }) => ({
      kind: 'put_key',
      key: {
        id: brandAs<KeyId>(id),
        team: brandAs<TeamId>(team),
        secretHash: secretHashOf(id),
        withdrawn: false,
      },
    }))
    .otherwise((other) => other as Change);
}
