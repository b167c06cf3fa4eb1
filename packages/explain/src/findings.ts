/**
 * Explains in sentences why a request was refused or left undecided, and why its job was late or
 * failed.
 */

import { match } from 'ts-pattern';
import type { LoggedEvent } from '@bamboowell/logger/parse-line';
import { taskTimesOf, fieldOf, totalMillisOf, type TaskTimes } from './phases.js';

/**
 * Only events within this time before an answer are taken to explain it. Longer than callers wait.
 */
const CONTEXT_BEFORE_MILLIS = 5000;

const GOOD_OUTCOMES = new Set(['accepted', 'state', 'cancelled', 'count']);

export function findingsOf(
  jobEvents: readonly LoggedEvent[],
  context: readonly LoggedEvent[],
): string[] {
  return [
    ...jobEvents
      .filter((event) => event.name === 'request.answered')
      .filter((event) => !GOOD_OUTCOMES.has(fieldOf(event, 'outcome')))
      .flatMap((event) => answerFindings(event, jobEvents, context)),
    ...jobFindings(jobEvents),
    ...ownerChangeFindings(jobEvents, context),
  ];
}

function answerFindings(
  answer: LoggedEvent,
  jobEvents: readonly LoggedEvent[],
  context: readonly LoggedEvent[],
): string[] {
  const member = fieldOf(answer, 'member');
  const outcome = fieldOf(answer, 'outcome');
  const summary = `${member} answered ${fieldOf(answer, 'verb')} with ${outcome} after ${fieldOf(answer, 'millis')} ms`;
  const taken = jobEvents.find(({ name }) => name === 'job.taken');
  const cause = match(outcome)
    .with(
      'no_owner',
      () => `no owner was reached; ${lastEventBefore(context, answer, isOwnerOrMemberEvent)}`,
    )
    .with('undecided', () =>
      taken === undefined
        ? `no owner logged that it took the job; ${lastEventBefore(context, answer, isOwnerOrMemberEvent)}`
        : `${fieldOf(taken, 'member')} had taken the job; ${lastEventBefore(context, answer, isStoreEvent)}`,
    )
    .with(
      'store_unavailable',
      () => `the store took nothing; ${lastEventBefore(context, answer, isStoreEvent)}`,
    )
    .with(
      'no_configuration',
      () => `it had read no configuration; ${lastEventBefore(context, answer, isStoreEvent)}`,
    )
    .with(
      'unknown_key',
      'unknown_queue',
      () =>
        `not in configuration ${fieldOf(answer, 'configuration')}; ${lastEventBefore(context, answer, isConfigurationEvent)}`,
    )
    .otherwise(() => 'see its log line');
  return [`${summary}: ${cause}`];
}

type EventFilter = (event: LoggedEvent, member: string) => boolean;

const isOwnerOrMemberEvent: EventFilter = (event, member) =>
  event.name.startsWith('owner.') || isMemberEvent(event, member);
const isMemberEvent: EventFilter = (event, member) =>
  event.name.startsWith('member.') && fieldOf(event, 'member') === member;
const isStoreEvent: EventFilter = ({ name }) =>
  name.startsWith('store.') || name.startsWith('append.');
const isConfigurationEvent: EventFilter = (event, member) =>
  event.name === 'configuration.adopted' && fieldOf(event, 'member') === member;

function lastEventBefore(
  context: readonly LoggedEvent[],
  answer: LoggedEvent,
  isWanted: EventFilter,
): string {
  const member = fieldOf(answer, 'member');
  const found = context
    .filter(({ at }) => at <= answer.at && at >= answer.at - CONTEXT_BEFORE_MILLIS)
    .filter((event) => isWanted(event, member))
    .at(-1);
  if (found === undefined) {
    return `no related event was logged in the ${CONTEXT_BEFORE_MILLIS} ms before`;
  }
  const ago = answer.at - found.at;
  return `${ago} ms before, ${fieldOf(found, 'member')} logged ${found.name}${detailOf(found)}`;
}

function detailOf({ fields }: LoggedEvent): string {
  const pairs = ['detail', 'reason', 'outcome', 'topic', 'term', 'version']
    .filter((key) => (fields.get(key) ?? '') !== '')
    .map((key) => `${key}=${fields.get(key) ?? ''}`);
  return pairs.length === 0 ? '' : ` (${pairs.join(' ')})`;
}

function jobFindings(jobEvents: readonly LoggedEvent[]): string[] {
  const ended = jobEvents.find(({ name }) => name === 'job.ended');
  const taken = jobEvents.find(({ name }) => name === 'job.taken');
  if (taken === undefined) {
    return jobEvents.length === 0
      ? ['no line names the job']
      : ['no owner logged that it took the job'];
  }
  const state =
    ended === undefined
      ? 'no line says that the job ended'
      : `the job ended as ${fieldOf(ended, 'state')} ${fieldOf(ended, 'afterMillis')} ms after it was taken (${fieldOf(ended, 'reason')})`;
  const excess =
    fieldOf(taken, 'excess') === 'true'
      ? ['its team exceeded its promised rate, so the job waited behind all others']
      : [];
  return [state, ...excess, ...blockedFindings(jobEvents), ...taskFindings(taskTimesOf(jobEvents))];
}

const BLOCKED_CAUSES: Readonly<Record<string, string>> = {
  no_worker_fits: 'no worker with its label is large enough for one of its tasks',
  evacuated: 'the workers that could hold it are in data centres that are evacuated',
  gang_exceeds_fleet: 'all workers that could take its tasks can not hold the gang',
  gang_exceeds_links:
    'its starts take so long on their way to the workers that its first tasks would end alone',
  gang_exceeds_team_limit: 'the gang needs more than its team may run',
};

/** Steps that couldn't start on the workers that were there, however long they waited. */
function blockedFindings(jobEvents: readonly LoggedEvent[]): string[] {
  return jobEvents
    .filter(({ name }) => name === 'step.blocked')
    .map((event) => {
      const step = fieldOf(event, 'step');
      const reason = fieldOf(event, 'reason');
      const needed = fieldOf(event, 'label');
      const label = needed === '' ? '' : ` (label ${needed})`;
      const isOver = jobEvents.some(
        ({ name, at, fields }) =>
          name === 'step.unblocked' && at >= event.at && fields.get('step') === step,
      );
      const cause = BLOCKED_CAUSES[reason] ?? reason;
      return `step ${step} of ${fieldOf(event, 'tasks')} tasks ${isOver ? 'could' : 'can'} not start: ${cause}; the workers have room for ${fieldOf(event, 'fittingTasks')} of them${label}`;
    });
}

function taskFindings(tasks: readonly TaskTimes[]): string[] {
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
    `its slowest task, ${task}, waited ${adviceMillis} ms for advice and ${roomMillis} ms for room on a worker, ran ${runMillis} ms, and lost ${lostMillis} ms in runs that did not succeed`,
    ...lost,
  ];
}

/** Changes of the owner while the job was open. */
function ownerChangeFindings(
  jobEvents: readonly LoggedEvent[],
  context: readonly LoggedEvent[],
): string[] {
  const takenAt = jobEvents.find(({ name }) => name === 'job.taken')?.at;
  const endedAt =
    jobEvents.find(({ name }) => name === 'job.ended')?.at ?? Number.POSITIVE_INFINITY;
  if (takenAt === undefined) {
    return [];
  }
  return context
    .filter(({ name, at }) => name === 'owner.ready' && at > takenAt && at < endedAt)
    .map(
      (event) =>
        `the owner changed ${event.at - takenAt} ms after the job was taken: ${fieldOf(event, 'member')} became the owner (term ${fieldOf(event, 'term')})`,
    );
}
