/** All metrics of the daemon. docs/METRICS.md lists the same; a test compares them. */

import { REASONS, type Reason } from '@bamboowell/types/verdict';

/** Why something was sent or tried again. Each reason has a counter of its own. */
export const RETRY_REASONS = [
  'append_failed',
  'append_unanswered',
  'read_failed',
  'vm_list_failed',
  'peer_unreachable',
  'peer_silent',
  'owner_unknown',
  'owner_changed',
  'owner_not_fresh',
  'owner_shutting_down',
  'worker_unreachable',
  'worker_refused',
  'never_started',
  'lease_lapsed',
  'preempted',
] as const;

export type RetryReason = (typeof RETRY_REASONS)[number];

export type MetricKind = 'counter' | 'gauge' | 'timing';

/** One metric as the page lists it. */
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
  metric('work.cancelled', 'counter', 'works', 'Work cancelled by callers.'),
  metric('work.ended', 'counter', 'works', 'Work of which no task runs any more.'),
  metric('call.answered', 'counter', 'calls', 'Quick calls answered whole.'),
  metric('attempt.placed', 'counter', 'attempts', 'Attempts placed on workers.'),
  metric('attempt.ended', 'counter', 'attempts', 'Attempts that ended, by `outcome`.'),
  metric('attempt.preempted', 'counter', 'attempts', 'Attempts stopped for urgent work.'),
  metric('answer.dropped', 'counter', 'answers', 'Late or repeated answers that had no caller.'),
  metric('lease.renewed', 'counter', 'leases', 'Leases renewed.'),
  metric('lease.lapsed', 'counter', 'leases', 'Leases that lapsed.'),
  metric('claim.won', 'counter', 'claims', 'Shards claimed by this daemon.'),
  metric('claim.lost', 'counter', 'claims', 'Claims that another daemon won.'),
  metric('shard.released', 'counter', 'shards', 'Shards released by record.'),
  metric('record.void', 'counter', 'records', 'Records without effect, by `reason`.'),
  metric('log.appends', 'counter', 'appends', 'Appends sent to the log.'),
  metric('log.records', 'counter', 'records', 'Records packed into appends.'),
  metric('log.append_bytes', 'counter', 'bytes', 'Bytes appended to the log.'),
  metric('log.read_bytes', 'counter', 'bytes', 'Bytes read from the log.'),
  metric('log.checkpoints', 'counter', 'checkpoints', 'Whole checkpoints written.'),
  metric('peer.sent_bytes', 'counter', 'bytes', 'Bytes sent to daemons, by `region` and `kind`.'),
  metric('peer.connected', 'counter', 'connections', 'Connections opened to daemons.'),
  metric('peer.silent', 'counter', 'connections', 'Connections closed because they went silent.'),
  metric('worker.attached', 'counter', 'workers', 'Workers attached under an epoch.'),
  metric('worker.quarantined', 'counter', 'workers', 'Workers put into quarantine.'),
  metric('task.restarted', 'counter', 'tasks', 'Tasks of the process restarted by a supervisor.'),
  metric('peer.events', 'counter', 'events', 'Events of the connections to daemons, by `event`.'),
  metric('certificates.replaced', 'counter', 'sets', 'Sets of certificates put into use.'),
  metric('certificates.refused', 'counter', 'sets', 'Sets that were unusable; the old one stays.'),
  metric('mailbox.full', 'counter', 'messages', 'Messages refused by a full mailbox, by `task`.'),
] as const;

const GAUGES = [
  metric('work.waiting', 'gauge', 'tasks', 'Tasks that wait in the shards owned here.'),
  metric('work.running', 'gauge', 'tasks', 'Tasks that run in the shards owned here.'),
  metric('shard.owned', 'gauge', 'shards', 'Shards that this daemon owns.'),
  metric('shard.fresh', 'gauge', 'shards', 'Owned shards in which this daemon may act.'),
  metric('configuration.version', 'gauge', 'version', 'Configuration version in force here.'),
  metric('configuration.fresh', 'gauge', '0 or 1', 'Whether no later version can exist.'),
  metric('member.reachable', 'gauge', 'daemons', 'Daemons that answer heartbeats.'),
  metric('worker.connected', 'gauge', 'workers', 'Workers attached to the shards owned here.'),
  metric('connection.open', 'gauge', 'connections', 'Open connections of callers.'),
] as const;

const TIMINGS = [
  metric('request.millis', 'timing', 'milliseconds', 'From request to answer, by `method`.'),
  metric('work.wait_millis', 'timing', 'milliseconds', 'From acceptance to the first placement.'),
  metric('call.millis', 'timing', 'milliseconds', 'From a quick call to its answer.'),
  metric('decision.millis', 'timing', 'milliseconds', 'One round of placement decisions.'),
  metric('log.append_millis', 'timing', 'milliseconds', 'From an append to its read-back.'),
  metric('peer.round_trip_millis', 'timing', 'milliseconds', 'Heartbeat and its answer.'),
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
