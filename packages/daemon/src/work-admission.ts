/** Turns a caller's order into work: for which team, in which shard. */

import type { WorkRequest, Sender } from '@bamboowell/front/backend';
import type { Clock } from '@bamboowell/kernel/clock';
import type { Counters } from '@bamboowell/metrics/counters';
import { retryCounter } from '@bamboowell/metrics/names';
import { workIdFrom } from '@bamboowell/types/ids';
import type { Deadline } from '@bamboowell/types/time';
import { done, type Result } from '@bamboowell/types/verdict';
import type { Work } from '@bamboowell/types/work';
import { teamForQueue, type OperatorKey } from './authorise.js';
import type { Forwarder } from './forwarder.js';
import type { ShardChoice } from './shard-choice.js';

/** What the admission works with. */
export interface AdmissionParts {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly forwarder: Forwarder;
  readonly operators: readonly OperatorKey[];
  readonly choice: ShardChoice;
  readonly unique: () => string;
}

export class WorkAdmission {
  constructor(private readonly parts: AdmissionParts) {}

  /** Waits until the configuration can be relied on, as far as the deadline allows. */
  async admit(sender: Sender, order: WorkRequest, deadline: Deadline): Promise<Result<Work>> {
    const { forwarder, counters } = this.parts;
    for (let attempt = 0; ; attempt += 1) {
      const work = await this.workNow(sender, order);
      const isStale = work.kind === 'refused' && work.refusal.reason === 'configuration_stale';
      if (!isStale || !(await forwarder.backOff(attempt, deadline))) {
        return work;
      }
      counters.increment(retryCounter('configuration_stale'));
    }
  }

  private async workNow(sender: Sender, order: WorkRequest): Promise<Result<Work>> {
    const { forwarder, operators, clock, choice, unique } = this.parts;
    const table = await forwarder.table();
    if (table.kind === 'refused') {
      return table;
    }
    const team = teamForQueue(sender, order.queue, { ...table.value, operators, now: clock.now() });
    if (team.kind === 'refused') {
      return team;
    }
    const shard = choice.shardFor(order, team.value, table.value);
    if (shard.kind === 'refused') {
      return shard;
    }
    const { queue, requestId, shape, urgency, demand, payload } = order;
    const { expectedMillis, idempotent, checkpointable } = order;
    const id = workIdFrom(shard.value, team.value, unique());
    return done({
      id,
      team: team.value,
      queue,
      requestId,
      shape,
      urgency,
      demand,
      expectedMillis,
      idempotent,
      checkpointable,
      payload,
    });
  }
}
