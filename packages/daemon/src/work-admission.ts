/** Turns a caller's request into a work item: determines its team and chooses its shard. */

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

/** Dependencies of WorkAdmission. */
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

  /** Creates the work item. While the configuration is stale, retries until the deadline. */
  async admit(sender: Sender, request: WorkRequest, deadline: Deadline): Promise<Result<Work>> {
    const { forwarder, counters } = this.parts;
    for (let attempt = 0; ; attempt += 1) {
      const work = await this.tryAdmit(sender, request);
      const isStale = work.kind === 'refused' && work.refusal.reason === 'configuration_stale';
      if (!isStale || !(await forwarder.backOff(attempt, deadline))) {
        return work;
      }
      counters.increment(retryCounter('configuration_stale'));
    }
  }

  private async tryAdmit(sender: Sender, request: WorkRequest): Promise<Result<Work>> {
    const { forwarder, operators, clock, choice, unique } = this.parts;
    const table = await forwarder.table();
    if (table.kind === 'refused') {
      return table;
    }
    const team = teamForQueue(sender, request.queue, {
      ...table.value,
      operators,
      now: clock.now(),
    });
    if (team.kind === 'refused') {
      return team;
    }
    const shard = choice.shardFor(request, team.value, table.value);
    if (shard.kind === 'refused') {
      return shard;
    }
    const { queue, requestId, shape, urgency, demand, payload } = request;
    const { expectedMillis, idempotent, checkpointable } = request;
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
