/** Judges whether what was seen and told meets a trace's expectations. */

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

/** What callers and operators were told, by the names that the trace gives. */
export interface Responses {
  readonly workIds: Map<string, WorkId>;
  readonly applied: Map<string, Result<Version>>;
  readonly repeated: Map<string, boolean>;
}

/** How long a question about the state may take, milliseconds. */
const GET_MILLIS = 2_000;

const operator: Sender = { key: brandAs<KeyId>(OPERATOR), secret: OPERATOR };

export class ExpectationChecker {
  constructor(
    private readonly stage: SimulatedCell,
    private readonly recorder: Recorder,
    private readonly told: Readonly<Responses>,
  ) {}

  /** What is wrong, or nothing if the expectation holds. */
  async check(expectation: Expectation): Promise<string | undefined> {
    return match(expectation)
      .returnType<string | undefined | Promise<string | undefined>>()
      .with({ expect: 'answer' }, (expected) => this.judgeAnswer(expected))
      .with({ expect: 'runs' }, (expected) => this.judgeRuns(expected))
      .with({ expect: 'state' }, ({ request, phases }) => this.judgeState(request, phases))
      .with({ expect: 'owner' }, (expected) => this.judgeOwner(expected))
      .with({ expect: 'version' }, ({ daemon, is }) => this.judgeVersion(daemon, is))
      .with({ expect: 'applied' }, (expected) => this.judgeApplied(expected))
      .with({ expect: 'running' }, (expected) => this.judgeRunning(expected))
      .with({ expect: 'logged' }, (expected) => this.judgeLogged(expected))
      .exhaustive();
  }

  private judgeAnswer({
    request,
    verdict,
    reason,
    answer,
    repeated,
  }: Extract<Expectation, { expect: 'answer' }>): string | undefined {
    const seen = this.seen('answer').filter((each) => each.request === request);
    const [first] = seen;
    if (first === undefined) {
      return verdict === 'none_yet'
        ? undefined
        : `request ${request} has no answer, expected ${verdict}`;
    }
    if (seen.length > 1) {
      return `request ${request} was answered ${seen.length} times`;
    }
    if (first.verdict !== verdict) {
      return `request ${request} was answered ${first.verdict} (${first.reason ?? ''}), expected ${verdict}`;
    }
    if (reason !== undefined && first.reason !== reason) {
      return `request ${request} was refused for ${first.reason ?? ''}, expected ${reason}`;
    }
    if (repeated !== undefined && this.told.repeated.get(request) !== repeated) {
      return `request ${request} was${repeated ? ' not' : ''} told to be repeated`;
    }
    return answer !== undefined && first.answer !== answer
      ? `request ${request} got the answer ${first.answer ?? ''}, expected ${answer}`
      : undefined;
  }

  private judgeRuns({
    request,
    count,
    atMost,
    worker,
    notOn,
  }: Extract<Expectation, { expect: 'runs' }>): string | undefined {
    const runs = this.seen('run').filter((run) => run.request === request);
    if (count !== undefined && runs.length !== count) {
      return `request ${request} ran ${runs.length} times, expected ${count}`;
    }
    if (atMost !== undefined && runs.length > atMost) {
      return `request ${request} ran ${runs.length} times, expected at most ${atMost}`;
    }
    if (worker !== undefined && runs.some((run) => run.worker !== worker)) {
      return `request ${request} ran elsewhere than on ${worker}`;
    }
    return notOn !== undefined && runs.some((run) => run.worker === notOn)
      ? `request ${request} ran on ${notOn}`
      : undefined;
  }

  private async judgeState(
    request: string,
    phases: Readonly<Record<string, number>>,
  ): Promise<string | undefined> {
    const work = this.told.workIds.get(request);
    const through = [...this.stage.daemons.values()].find((daemon) => daemon.gate.isOpen);
    if (work === undefined || through === undefined) {
      return `request ${request} was accepted as no work that can be asked for`;
    }
    const view = await this.awaited(
      through.backend.get(operator, work, deadlineAfter(this.stage.clock.now(), GET_MILLIS)),
    );
    if (view?.kind !== 'done') {
      return `the state of request ${request} can't be had`;
    }
    const counts = countPhases(view.value);
    const wrong = Object.entries(phases).find(
      ([phase, count]) => (counts.get(phase) ?? 0) !== count,
    );
    return wrong === undefined
      ? undefined
      : `request ${request} has ${counts.get(wrong[0]) ?? 0} tasks ${wrong[0]}, expected ${wrong[1]}`;
  }

  private judgeOwner({
    shard,
    daemon,
    not,
  }: Extract<Expectation, { expect: 'owner' }>): string | undefined {
    const owner = this.seen('owner').findLast((each) => each.shard === shard);
    if (daemon !== undefined && owner?.daemon !== daemon) {
      return `shard ${shard} is owned by ${owner?.daemon ?? 'nobody'}, expected ${daemon}`;
    }
    return not !== undefined && owner?.daemon === not
      ? `shard ${shard} is owned by ${not}`
      : undefined;
  }

  private judgeVersion(daemon: string, is: number): string | undefined {
    const version = this.seen('configuration').findLast((each) => each.daemon === daemon)?.version;
    return version === is
      ? undefined
      : `daemon ${daemon} has version ${version ?? 0}, expected ${is}`;
  }

  private judgeApplied({
    name,
    version,
    reason,
  }: Extract<Expectation, { expect: 'applied' }>): string | undefined {
    const result = this.told.applied.get(name);
    if (result === undefined) {
      return `the change ${name} has no answer`;
    }
    if (result.kind === 'done') {
      return reason === undefined && (version === undefined || result.value === version)
        ? undefined
        : `the change ${name} was applied as version ${result.value}`;
    }
    return result.refusal.reason === reason
      ? undefined
      : `the change ${name} was refused for ${result.refusal.reason}`;
  }

  private judgeRunning({
    team,
    atMost,
    tasks,
  }: Extract<Expectation, { expect: 'running' }>): string | undefined {
    const ended = new Set(this.seen('run_ended').map(({ attempt }) => attempt));
    const running = this.seen('run').filter((run) => run.team === team && !ended.has(run.attempt));
    const sum = running.reduce<Resources>((total, { demand }) => add(total, demand), NO_RESOURCES);
    if (tasks !== undefined && running.length !== tasks) {
      return `team ${team} runs ${running.length} tasks, expected ${tasks}`;
    }
    return atMost !== undefined && !fits(sum, atMost)
      ? `team ${team} runs ${JSON.stringify(sum)}`
      : undefined;
  }

  private judgeLogged({
    event,
    fields,
    atLeast,
    atMost,
  }: Extract<Expectation, { expect: 'logged' }>): string | undefined {
    const wanted = Object.entries(fields);
    const count = this.recorder.loggedEvents.filter(
      (each) => each.name === event && wanted.every(([name, value]) => each.fields[name] === value),
    ).length;
    return count < atLeast || (atMost !== undefined && count > atMost)
      ? `the event ${event} was logged ${count} times`
      : undefined;
  }

  private seen<Kind extends 'run' | 'run_ended' | 'answer' | 'owner' | 'configuration'>(
    kind: Kind,
  ): ObservationOf<Kind>[] {
    return this.recorder.observations.filter(
      (each): each is ObservationOf<Kind> => each.saw === kind,
    );
  }

  /** Lets time pass until the promise settles, for as long as a question may take. */
  private async awaited<Value>(promise: Promise<Value>): Promise<Value | undefined> {
    let value: Value | undefined;
    void promise.then((settled) => {
      value = settled;
    });
    const until = this.stage.clock.now() + GET_MILLIS;
    while (value === undefined && this.stage.clock.now() < until) {
      await this.stage.advanceTo(this.stage.clock.now() + 1);
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
