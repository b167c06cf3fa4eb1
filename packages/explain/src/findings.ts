/** Says in sentences why a request was refused or undecided, and why its job was late or failed. */

import { match } from 'ts-pattern';
import type { LoggedEvent } from '@bamboowell/logger/parse-line';
import { taskTimesOf, fieldOf, totalMillisOf, type TaskTimes } from './phases.js';

/** Context before an answer that may explain it, milliseconds: longer than callers wait. */
const CONTEXT_BEFORE_MILLIS = 5000;

const GOOD_OUTCOMES = new Set(['accepted', 'state', 'cancelled', 'count']);

export function findingsOf(
  ofJob: readonly LoggedEvent[],
  context: readonly LoggedEvent[],
): string[] {
  return [
    ...ofJob
      .filter((event) => event.name === 'request.answered')
      .filter((event) => !GOOD_OUTCOMES.has(fieldOf(event, 'outcome')))
      .flatMap((event) => ofAnswer(event, ofJob, context)),
    ...ofJobItself(ofJob),
    ...ofHandovers(ofJob, context),
  ];
}

function ofAnswer(
  answer: LoggedEvent,
  ofJob: readonly LoggedEvent[],
  context: readonly LoggedEvent[],
): string[] {
  const member = fieldOf(answer, 'member');
  const outcome = fieldOf(answer, 'outcome');
  const head = `${member} answered ${fieldOf(answer, 'verb')} with ${outcome} after ${fieldOf(answer, 'millis')} ms`;
  const taken = ofJob.find(({ name }) => name === 'job.taken');
  const cause = match(outcome)
    .with('no_owner', () => `no owner was reached; ${lastOf(context, answer, isOfOwner)}`)
    .with('undecided', () =>
      taken === undefined
        ? `no owner logged that it took the job; ${lastOf(context, answer, isOfOwner)}`
        : `${fieldOf(taken, 'member')} had taken the job; ${lastOf(context, answer, isOfStore)}`,
    )
    .with(
      'no_configuration',
      () => `it had read no configuration; ${lastOf(context, answer, isOfStore)}`,
    )
    .with(
      'unknown_key',
      'unknown_queue',
      () =>
        `not in configuration ${fieldOf(answer, 'configuration')}; ${lastOf(context, answer, isOfConfiguration)}`,
    )
    .otherwise(() => 'see the line');
  return [`${head}: ${cause}`];
}

type Choice = (event: LoggedEvent, member: string) => boolean;

const isOfOwner: Choice = (event, member) =>
  event.name.startsWith('owner.') || isOfProcess(event, member);
const isOfProcess: Choice = (event, member) =>
  event.name.startsWith('member.') && fieldOf(event, 'member') === member;
const isOfStore: Choice = ({ name }) => name.startsWith('store.') || name.startsWith('append.');
const isOfConfiguration: Choice = (event, member) =>
  event.name === 'configuration.adopted' && fieldOf(event, 'member') === member;

function lastOf(context: readonly LoggedEvent[], answer: LoggedEvent, isWanted: Choice): string {
  const member = fieldOf(answer, 'member');
  const found = context
    .filter(({ at }) => at <= answer.at && at >= answer.at - CONTEXT_BEFORE_MILLIS)
    .filter((event) => isWanted(event, member))
    .at(-1);
  if (found === undefined) {
    return `nothing of the kind was logged in the ${CONTEXT_BEFORE_MILLIS} ms before`;
  }
  const ago = answer.at - found.at;
  return `${ago} ms before, ${fieldOf(found, 'member')} logged ${found.name}${detailOf(found)}`;
}

function detailOf({ fields }: LoggedEvent): string {
  const told = ['detail', 'reason', 'outcome', 'topic', 'term', 'version']
    .filter((key) => (fields.get(key) ?? '') !== '')
    .map((key) => `${key}=${fields.get(key) ?? ''}`);
  return told.length === 0 ? '' : ` (${told.join(' ')})`;
}

function ofJobItself(ofJob: readonly LoggedEvent[]): string[] {
  const ended = ofJob.find(({ name }) => name === 'job.ended');
  const taken = ofJob.find(({ name }) => name === 'job.taken');
  if (taken === undefined) {
    return ofJob.length === 0
      ? ['no line names the job']
      : ['no owner logged that it took the job'];
  }
  const state =
    ended === undefined
      ? 'the job has not ended by these lines'
      : `the job ended as ${fieldOf(ended, 'state')} ${fieldOf(ended, 'afterMillis')} ms after it was taken (${fieldOf(ended, 'reason')})`;
  const excess =
    fieldOf(taken, 'excess') === 'true'
      ? ['its team was beyond its promised rate, so it waited behind all others']
      : [];
  return [state, ...excess, ...ofTasks(taskTimesOf(ofJob))];
}

function ofTasks(tasks: readonly TaskTimes[]): string[] {
  if (tasks.length === 0) {
    return ['none of its tasks was placed'];
  }
  const slowest = tasks.reduce((most, next) =>
    totalMillisOf(next) > totalMillisOf(most) ? next : most,
  );
  const { task, adviceMillis, roomMillis, runMillis, lostMillis } = slowest;
  const lost = tasks.flatMap(({ task: id, lostRuns }) =>
    lostRuns.map(({ run, worker, cause }) => `run ${run} of ${id} on ${worker}: ${cause}`),
  );
  return [
    `its slowest task, ${task}, waited ${adviceMillis} ms for advice and ${roomMillis} ms for room, ran ${runMillis} ms, and lost ${lostMillis} ms in runs that did not end well`,
    ...lost,
  ];
}

/** Owners that came while the job was open. */
function ofHandovers(ofJob: readonly LoggedEvent[], context: readonly LoggedEvent[]): string[] {
  const from = ofJob.find(({ name }) => name === 'job.taken')?.at;
  const until = ofJob.find(({ name }) => name === 'job.ended')?.at ?? Number.POSITIVE_INFINITY;
  if (from === undefined) {
    return [];
  }
  return context
    .filter(({ name, at }) => name === 'owner.ready' && at > from && at < until)
    .map(
      (event) =>
        `the work changed hands ${event.at - from} ms after the job was taken: ${fieldOf(event, 'member')} owned it from then on (term ${fieldOf(event, 'term')})`,
    );
}
