/** Checks a trace's expectations against the observations and the responses so far. */

import { match } from 'ts-pattern';
import type { Sender, WorkView } from '@bamboowell/front/backend';
import { brandAs, type KeyId, type Version, type WorkId } from '@bamboowell/types/ids';
import { add, fits, NO_RESOURCES, type Resources } from '@bamboowell/types/resources';
import { deadlineAfter } from '@bamboowell/types/time';
import type { Result } from '@bamboowell/types/verdict';
import type { ObservationOf } from './observation.js';
import type { Recorder } from './recorder.js';
import { OPERATOR } from './simulation/simulated-daemon.js';
import type { SimulatedCell } from './simulation/simulated-cell.js';
import type { Expectation } from './trace.js';

/** Responses to callers and operators, by the trace's names for its requests and changes. */
export interface Responses {
  readonly workIds: Map<string, WorkId>;
  readonly applied: Map<string, Result<Version>>;
  readonly repeated: Map<string, boolean>;
}

/** Timeout of a query for the state of work. */
const GET_TIMEOUT_MILLIS = 2_000;

const operator: Sender = { key: brandAs<KeyId>(OPERATOR), secret: OPERATOR };

export class ExpectationChecker {
  constructor(
    private readonly cell: SimulatedCell,
    private readonly recorder: Recorder,
    private readonly responses: Readonly<Responses>,
  ) {}

  /** Returns why the expectation does not hold, or `undefined` if it holds. */
  async check(expectation: Expectation): Promise<string | undefined> {
    return match(expectation)
      .returnType<string | undefined | Promise<string | undefined>>()
      .with({ expect: 'answer' }, (expected) => this.checkAnswer(expected))
      .with({ expect: 'runs' }, (expected) => this.checkRuns(expected))
      .with({ expect: 'state' }, ({ request, phases }) => this.checkState(request, phases))
      .with({ expect: 'owner' }, (expected) => this.checkOwner(expected))
      .with({ expect: 'version' }, ({ daemon, is }) => this.checkVersion(daemon, is))
      .with({ expect: 'applied' }, (expected) => this.checkApplied(expected))
      .with({ expect: 'running' }, (expected) => this.checkRunning(expected))
      .with({ expect: 'logged' }, (expected) => this.checkLogged(expected))
      .exhaustive();
  }

  private checkAnswer({
    request,
    verdict,
    reason,
    answer,
    repeated,
  }: Extract<Expectation, { expect: 'answer' }>): string | undefined {
    const answers = this.observationsOf('answer').filter((each) => each.request === request);
    const [first] = answers;
    if (first === undefined) {
      return verdict === 'none_yet'
        ? undefined
        : `request ${request} has no answer, expected ${verdict}`;
    }
    if (answers.length > 1) {
      return `request ${request} was answered ${answers.length} times`;
    }
    if (first.verdict !== verdict) {
      return `request ${request} was answered ${first.verdict} (${first.reason ?? ''}), expected ${verdict}`;
    }
    if (reason !== undefined && first.reason !== reason) {
      return `request ${request} was refused with reason ${first.reason ?? ''}, expected ${reason}`;
    }
    if (repeated !== undefined && this.responses.repeated.get(request) !== repeated) {
      return `request ${request} was${repeated ? ' not' : ''} answered as a repetition`;
    }
    return answer !== undefined && first.answer !== answer
      ? `request ${request} got the answer ${first.answer ?? ''}, expected ${answer}`
      : undefined;
  }

  private checkRuns({
    request,
    count,
    atMost,
    worker,
    notOn,
  }: Extract<Expectation, { expect: 'runs' }>): string | undefined {
    const runs = this.observationsOf('run').filter((run) => run.request === request);
    if (count !== undefined && runs.length !== count) {
      return `request ${request} ran ${runs.length} times, expected ${count}`;
    }
    if (atMost !== undefined && runs.length > atMost) {
      return `request ${request} ran ${runs.length} times, expected at most ${atMost}`;
    }
    if (worker !== undefined && runs.some((run) => run.worker !== worker)) {
      return `request ${request} ran on another worker than ${worker}`;
    }
    return notOn !== undefined && runs.some((run) => run.worker === notOn)
      ? `request ${request} ran on ${notOn}`
      : undefined;
  }

  private async checkState(
    request: string,
    phases: Readonly<Record<string, number>>,
  ): Promise<string | undefined> {
    const work = this.responses.workIds.get(request);
    const through = [...this.cell.daemons.values()].find((daemon) => daemon.gate.isOpen);
    if (work === undefined || through === undefined) {
      return `request ${request} has no accepted work, or no daemon is running to query it`;
    }
    const view = await this.advanceUntilSettled(
      through.backend.get(operator, work, deadlineAfter(this.cell.clock.now(), GET_TIMEOUT_MILLIS)),
    );
    if (view?.kind !== 'done') {
      return `the state of request ${request} could not be read`;
    }
    const counts = countPhases(view.value);
    const wrong = Object.entries(phases).find(
      ([phase, count]) => (counts.get(phase) ?? 0) !== count,
    );
    return wrong === undefined
      ? undefined
      : `request ${request} has ${counts.get(wrong[0]) ?? 0} tasks ${wrong[0]}, expected ${wrong[1]}`;
  }

  private checkOwner({
    shard,
    daemon,
    not,
  }: Extract<Expectation, { expect: 'owner' }>): string | undefined {
    const owner = this.observationsOf('owner').findLast((each) => each.shard === shard);
    if (daemon !== undefined && owner?.daemon !== daemon) {
      return `shard ${shard} is owned by ${owner?.daemon ?? 'no daemon'}, expected ${daemon}`;
    }
    return not !== undefined && owner?.daemon === not
      ? `shard ${shard} is owned by ${not}`
      : undefined;
  }

  private checkVersion(daemon: string, is: number): string | undefined {
    const version = this.observationsOf('configuration').findLast(
      (each) => each.daemon === daemon,
    )?.version;
    return version === is
      ? undefined
      : `daemon ${daemon} has version ${version ?? 0}, expected ${is}`;
  }

  private checkApplied({
    name,
    version,
    reason,
  }: Extract<Expectation, { expect: 'applied' }>): string | undefined {
    const result = this.responses.applied.get(name);
    if (result === undefined) {
      return `the change ${name} has no answer yet`;
    }
    if (result.kind === 'done') {
      return reason === undefined && (version === undefined || result.value === version)
        ? undefined
        : `the change ${name} was applied as version ${result.value}`;
    }
    return result.refusal.reason === reason
      ? undefined
      : `the change ${name} was refused with reason ${result.refusal.reason}`;
  }

  private checkRunning({
    team,
    atMost,
    tasks,
  }: Extract<Expectation, { expect: 'running' }>): string | undefined {
    const ended = new Set(this.observationsOf('run_ended').map(({ attempt }) => attempt));
    const running = this.observationsOf('run').filter(
      (run) => run.team === team && !ended.has(run.attempt),
    );
    const sum = running.reduce<Resources>((total, { demand }) => add(total, demand), NO_RESOURCES);
    if (tasks !== undefined && running.length !== tasks) {
      return `team ${team} runs ${running.length} tasks, expected ${tasks}`;
    }
    return atMost !== undefined && !fits(sum, atMost)
      ? `team ${team} runs ${JSON.stringify(sum)}, more than expected`
      : undefined;
  }

  private checkLogged({
    event,
    fields,
    atLeast,
    atMost,
  }: Extract<Expectation, { expect: 'logged' }>): string | undefined {
    const expectedFields = Object.entries(fields);
    const count = this.recorder.loggedEvents.filter(
      (each) =>
        each.name === event && expectedFields.every(([name, value]) => each.fields[name] === value),
    ).length;
    return count < atLeast || (atMost !== undefined && count > atMost)
      ? `the event ${event} was logged ${count} times, not as often as expected`
      : undefined;
  }

  private observationsOf<Kind extends 'run' | 'run_ended' | 'answer' | 'owner' | 'configuration'>(
    kind: Kind,
  ): ObservationOf<Kind>[] {
    return this.recorder.observations.filter(
      (each): each is ObservationOf<Kind> => each.saw === kind,
    );
  }

  /** Advances the clock until the promise settles; resolves to `undefined` at the timeout. */
  private async advanceUntilSettled<Value>(promise: Promise<Value>): Promise<Value | undefined> {
    let value: Value | undefined;
    void promise.then((settled) => {
      value = settled;
    });
    const until = this.cell.clock.now() + GET_TIMEOUT_MILLIS;
    while (value === undefined && this.cell.clock.now() < until) {
      await this.cell.advanceTo(this.cell.clock.now() + 1);
    }
    return value;
  }
}

function countPhases({ tasks }: WorkView): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { phase } of tasks) {
    counts.set(phase, (counts.get(phase) ?? 0) + 1);
  }
  return counts;
}
