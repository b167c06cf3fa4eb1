/** All metrics of the daemon. docs/METRICS.md lists the same; a test compares them. */

import { REASONS, type Reason } from '@bamboowell/types/verdict';

/** Why something was sent or tried again. Each reason has a counter of its own. */
export const RETRY_REASONS = [
  'peer_unreachable',
  'owner_unknown',
  'owner_changed',
  'owner_not_fresh',
  'configuration_stale',
  'owner_shutting_down',
  'worker_refused',
  'lease_lapsed',
  'preempted',
] as const;

export type RetryReason = (typeof RETRY_REASONS)[number];

export type MetricKind = 'counter' | 'gauge' | 'timing';

/** One metric, as docs/METRICS.md lists it. */
export interface Metric {
  readonly name: string;
  readonly kind: MetricKind;
  readonly unit: string;
  readonly meaning: string;
}

function metric<Name extends string, Kind extends MetricKind>(
  name: Name,
  kind: Kind,
  unit: string,
  meaning: string,
) {
  return { name, kind, unit, meaning } as const;
}

const COUNTERS = [
  metric('request.received', 'counter', 'requests', 'Calls of callers and operators, by `method`.'),
  metric('work.accepted', 'counter', 'works', 'Durable work accepted, by `kind`.'),
  metric('work.repeated', 'counter', 'requests', 'Submissions answered from an earlier request.'),
  metric('work.cancelled', 'counter', 'works', 'Cancellations answered, by `verdict`.'),
  metric('call.answered', 'counter', 'calls', 'Quick calls answered whole.'),
  metric('task.restarted', 'counter', 'tasks', 'Tasks of the process restarted by a supervisor.'),
  metric('peer.events', 'counter', 'events', 'Events of the connections to daemons, by `event`.'),
  metric('worker.events', 'counter', 'events', 'Events of the links to workers, by `event`.'),
  metric('wire.bytes', 'counter', 'bytes', 'All bytes, by `link` and `direction`.'),
  metric('wire.messages', 'counter', 'messages', 'By `link`, `direction` and `kind`.'),
  metric('wire.message_bytes', 'counter', 'bytes', 'By `link`, `direction` and `kind`.'),
  metric('wire.not_sent', 'counter', 'messages', 'Messages not sent, by `link`, `why` and `kind`.'),
  metric('wire.events', 'counter', 'events', 'Events of connections, by `link` and `event`.'),
  metric('certificates.replaced', 'counter', 'sets', 'Sets of certificates put into use.'),
  metric('certificates.refused', 'counter', 'sets', 'Sets that were unusable; the old one stays.'),
] as const;

const GAUGES = [
  metric('work.waiting', 'gauge', 'tasks', 'Tasks that wait in the shards owned here.'),
  metric('work.running', 'gauge', 'tasks', 'Tasks that run in the shards owned here.'),
  metric('shard.owned', 'gauge', 'shards', 'Shards that this daemon owns.'),
  metric('configuration.version', 'gauge', 'version', 'Configuration version in force here.'),
  metric('configuration.fresh', 'gauge', '0 or 1', 'Whether no later version can exist.'),
  metric('member.reachable', 'gauge', 'daemons', 'Other daemons that are not suspected.'),
] as const;

const TIMINGS = [
  metric('request.millis', 'timing', 'milliseconds', 'From request to answer, by `method`.'),
  metric('call.millis', 'timing', 'milliseconds', 'From a quick call to its whole answer.'),
] as const;

export type CounterName =
  (typeof COUNTERS)[number]['name'] | `refusal.${Reason}` | `retry.${RetryReason}`;
export type GaugeName = (typeof GAUGES)[number]['name'];
export type TimingName = (typeof TIMINGS)[number]['name'];

/** The counter of a refusal or failure. */
export function refusalCounter(reason: Reason): CounterName {
  return `refusal.${reason}`;
}

/** The counter of a retry. */
export function retryCounter(reason: RetryReason): CounterName {
  return `retry.${reason}`;
}

const REFUSALS = REASONS.map((reason) =>
  metric(refusalCounter(reason), 'counter', 'requests', `Answers with the reason \`${reason}\`.`),
);

const RETRIES = RETRY_REASONS.map((reason) =>
  metric(retryCounter(reason), 'counter', 'retries', `Retries with the reason \`${reason}\`.`),
);

/** Every metric that the code can send. */
export const METRICS: readonly Metric[] = [
  ...COUNTERS,
  ...GAUGES,
  ...TIMINGS,
  ...REFUSALS,
  ...RETRIES,
];
