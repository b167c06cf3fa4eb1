/** Plays the steps of a trace on a stage. */

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

const GET_MILLIS = 2_000;
const operator: Sender = { key: brandAs<KeyId>(OPERATOR), secret: OPERATOR };

export class TraceRunner {
  private readonly stage: SimulatedCell;
  private readonly recorder: Recorder;
  private readonly told: Responses = {
    workIds: new Map(),
    applied: new Map(),
    repeated: new Map(),
  };
  private readonly examiner: ExpectationChecker;
  private readonly cutOff = new Set<string>();
  private readonly disappointments: FailedExpectation[] = [];

  constructor(private readonly trace: Trace) {
    this.recorder = new Recorder(() => this.stage.clock.now());
    this.stage = new SimulatedCell(this.recorder, trace.header.seed);
    this.examiner = new ExpectationChecker(this.stage, this.recorder, this.told);
  }

  get observations() {
    return this.recorder.observations;
  }

  /** Plays the whole trace; resolves to the expectations that did not hold. */
  async run(): Promise<readonly FailedExpectation[]> {
    const { steps, expectations } = this.trace;
    const entries = [...steps, ...expectations].sort((left, right) => left.line - right.line);
    for (const entry of entries) {
      await this.stage.advanceTo(entry.at);
      if ('do' in entry) {
        await this.perform(entry);
      } else {
        await this.judge(entry);
      }
    }
    return this.disappointments;
  }

  private async perform(step: Step): Promise<void> {
    const { stage } = this;
    await match(step)
      .with({ do: 'add_worker' }, ({ worker, capacity, dataCentre, rack }) => {
        stage.addWorker({ worker, capacity, dataCentre, rack });
        this.recorder.addObservation({ at: step.at, saw: 'worker', worker, capacity });
      })
      .with({ do: 'add_daemon' }, async ({ daemon, region, dataCentre }) => {
        this.sawDaemon(daemon, 'up');
        await stage.addDaemon({ daemon, region, dataCentre });
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
        const works = requests.flatMap((request) => this.told.workIds.get(request) ?? []);
        void stage.daemon(through).backend.cancel(senderOf(key), works, this.deadline(GET_MILLIS));
      })
      .with({ do: 'daemon' }, (change) => this.changeDaemon(change))
      .with({ do: 'log' }, ({ is }) => {
        if (is === 'release') {
          stage.log.releaseLate();
        } else {
          stage.log.setDown(is === 'down');
        }
      })
      .with({ do: 'log_delay' }, ({ millis }) => {
        stage.log.setDelay(millis);
      })
      .with({ do: 'pace' }, ({ stepMillis }) => {
        stage.setTimeStep(stepMillis);
      })
      .with({ do: 'fail_appends' }, ({ as }) => {
        stage.log.failNext(...as);
      })
      .with({ do: 'cut' }, ({ from, to }) => {
        stage.partition(from, to);
        this.sawCutOff();
      })
      .with({ do: 'heal' }, () => {
        stage.heal();
        this.sawCutOff();
      })
      .with({ do: 'link' }, ({ worker, is }) => {
        stage.setLinkState(worker, is);
      })
      .with({ do: 'worker' }, ({ worker, is }) => {
        this.changeWorker(worker, is);
      })
      .with({ do: 'list' }, ({ is }) => {
        stage.setVmListState(is);
      })
      .with({ do: 'list_gone' }, ({ id }) => {
        stage.removeVmFromList(id);
      })
      .with({ do: 'list_leaving' }, ({ id }) => {
        stage.markVmLeaving(id);
        this.recorder.addObservation({ at: step.at, saw: 'leaving', worker: id });
      })
      .exhaustive();
    await stage.deliverMessages();
  }

  private apply({ through, base, changes, name }: Apply): void {
    const { backend } = this.stage.daemon(through);
    const run = async (): Promise<Result<Version>> => {
      const current = await backend.configuration(operator);
      const version =
        current.kind === 'done' ? current.value.configuration.version : brandAs<Version>(0);
      const from = base === null ? version : brandAs<Version>(base);
      return backend.apply(operator, from, changes.map(changeOf), this.deadline(GET_MILLIS));
    };
    void run().then((result) => {
      this.told.applied.set(name, result);
      if (result.kind === 'done') {
        this.recorder.addObservation({ at: this.now(), saw: 'applied', version: result.value });
      }
    });
  }

  private submit(submit: Submit): void {
    this.sawRequest(submit, 'submit');
    const order = this.orderOf(submit, submit.shape);
    const daemon = this.stage.daemon(submit.through);
    void daemon
      .trackRequest(
        daemon.backend.submit(senderOf(submit.key), order, this.deadline(submit.timeoutMillis)),
      )
      .then((result) => {
        const work = result.kind === 'done' ? result.value.work : (result.refusal.work ?? null);
        if (result.kind === 'done') {
          this.told.repeated.set(submit.request, result.value.repeated);
        }
        if (work !== null) {
          this.told.workIds.set(submit.request, work);
        }
        this.sawAnswer(submit, result, null, work);
      });
  }

  private call(call: Call): void {
    this.sawRequest(call, 'call');
    const daemon = this.stage.daemon(call.through);
    const order = this.orderOf(call, { kind: 'quick_call' });
    void daemon
      .trackRequest(
        daemon.backend.call(senderOf(call.key), order, this.deadline(call.timeoutMillis)),
      )
      .then((result) => {
        this.sawAnswer(call, result, result.kind === 'done' ? result.value.answer : null, null);
      });
  }

  private orderOf(step: Submit | Call, shape: Shape): WorkRequest {
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

  private sawRequest(
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

  private sawAnswer(
    { request, through }: Submit | Call,
    result: Result<unknown>,
    answer: string | null,
    work: string | null,
  ): void {
    if (!this.stage.daemon(through).gate.isOpen) {
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
    const staged = this.stage.daemon(daemon);
    await match(is)
      .with('killed', () => {
        this.stage.kill(daemon);
        this.sawDaemon(daemon, 'killed');
      })
      .with('paused', () => {
        this.stage.pause(daemon);
        this.sawDaemon(daemon, 'paused');
      })
      .with('resumed', () => {
        staged.gate.resume();
        this.sawDaemon(daemon, 'resumed');
      })
      .with('stopping', () => {
        this.sawDaemon(daemon, 'stopping');
        void staged.stop().then(() => {
          this.sawDaemon(daemon, 'ended');
        });
      })
      .with('started', async () => {
        this.sawDaemon(daemon, 'up');
        await this.stage.addDaemon(staged.options);
      })
      .exhaustive();
  }

  private changeWorker(id: string, is: Extract<Step, { do: 'worker' }>['is']): void {
    const worker = this.stage.worker(id);
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
        this.stage.disconnectWorker(id);
      })
      .with('gone', () => {
        worker.remove();
        this.stage.setLinkState(id, 'cut');
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

  /** Which daemons are cut from the log now, as far as that has changed. */
  private sawCutOff(): void {
    for (const daemon of this.stage.daemons.keys()) {
      const isCut = this.stage.isCutFromLog(daemon);
      if (isCut !== this.cutOff.has(daemon)) {
        this.sawDaemon(daemon, isCut ? 'cut_off' : 'reached');
        this.cutOff[isCut ? 'add' : 'delete'](daemon);
      }
    }
  }

  private sawDaemon(daemon: string, is: ObservationOf<'daemon'>['is']): void {
    this.recorder.addObservation({ at: this.now(), saw: 'daemon', daemon, is });
  }

  private async judge(expectation: WithLine<Expectation>): Promise<void> {
    const detail = await this.examiner.check(expectation);
    if (detail !== undefined) {
      this.disappointments.push({ line: expectation.line, detail });
    }
  }

  private now(): number {
    return this.stage.clock.now();
  }

  private deadline(millis: number) {
    return deadlineAfter(this.stage.clock.now(), millis);
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
    .otherwise((plain) => plain as Change);
}
