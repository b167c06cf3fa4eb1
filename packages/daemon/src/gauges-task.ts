/** The task that sends the gauges at a fixed interval, computed from the routing table. */

import { ask } from '@bamboowell/kernel/ask';
import type { Clock } from '@bamboowell/kernel/clock';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import { Task } from '@bamboowell/kernel/task';
import type { Counters } from '@bamboowell/metrics/counters';
import { deadlineAfter, hasPassed, MILLIS_PER_SECOND } from '@bamboowell/types/time';
import type { RoutingMessage, RoutingTable } from './routing-task.js';

/** Interval at which the gauges are sent. */
export const GAUGE_INTERVAL_MILLIS = 10 * MILLIS_PER_SECOND;

/** How long the routing task may take to answer. */
const TABLE_TIMEOUT_MILLIS = MILLIS_PER_SECOND;

export interface GaugesMessage {
  readonly kind: 'send';
}

export class GaugesTask extends Task<GaugesMessage> {
  constructor(
    private readonly routing: MailboxAddress<RoutingMessage>,
    private readonly counters: Counters,
    clock: Clock,
  ) {
    super('gauges', clock);
  }

  protected override onStart(): void {
    this.post({ kind: 'send' });
  }

  protected override async receive(): Promise<void> {
    this.postAt(deadlineAfter(this.clock.now(), GAUGE_INTERVAL_MILLIS), { kind: 'send' });
    const answer = await ask<RoutingMessage, RoutingTable>(
      this.routing,
      (reply) => ({ kind: 'read', reply }),
      deadlineAfter(this.clock.now(), TABLE_TIMEOUT_MILLIS),
      this.clock,
    );
    if (answer.kind === 'answered') {
      this.send(answer.value);
    }
  }

  private send({ configuration, freshUntil, local, members }: RoutingTable): void {
    const { counters } = this;
    const owned = [...local.values()];
    const isFresh = !hasPassed(freshUntil, this.clock.now());
    counters.gauge('configuration.version', configuration.version);
    counters.gauge('configuration.fresh', isFresh ? 1 : 0);
    counters.gauge('shard.owned', owned.length);
    counters.gauge('work.running', sum(owned.map(({ running }) => running)));
    counters.gauge('work.waiting', sum(owned.map(({ waiting }) => waiting)));
    counters.gauge('member.reachable', members.filter(isReachable).length);
  }
}

function isReachable({ connected, suspected }: RoutingTable['members'][number]): boolean {
  return connected && !suspected;
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, each) => total + each, 0);
}
