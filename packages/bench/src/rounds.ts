/** Measures the cost of a placement round in which no waiting work fits. */

import { FairShare } from '@bamboowell/policy/fair-share';
import { FirstComeFirstServed, type Ordering } from '@bamboowell/policy/ordering';
import { brandAs, type TeamId, type WorkId } from '@bamboowell/types/ids';
import type { Instant } from '@bamboowell/types/time';
import { amountOf } from './fleets.js';

const WAITING = 50_000;
const TEAMS = 77;
const DEMAND_COUNTS = [12, WAITING];
const ROUNDS = 20;

export function measureRounds(): object[] {
  return DEMAND_COUNTS.flatMap((sizes) => [
    measureOrdering(new FairShare(), sizes),
    measureOrdering(new FirstComeFirstServed(), sizes),
  ]);
}

function measureOrdering(ordering: Ordering, sizes: number) {
  ordering.setCapacity(amountOf(6800 * 64, 6800 * 128));
  for (let number = 0; number < WAITING; number += 1) {
    ordering.put({
      work: brandAs<WorkId>(`work-${number}`),
      team: brandAs<TeamId>(`team-${number % TEAMS}`),
      queue: brandAs('queue'),
      urgency: 'ordinary',
      demand: { ...amountOf(1, 1), millicores: 1000 + (number % sizes) },
      gangSize: 1,
      waitingSince: brandAs<Instant>(number),
    });
  }
  let tries = 0;
  const from = process.hrtime.bigint();
  for (let round = 0; round < ROUNDS; round += 1) {
    tries += blockedTries(ordering, brandAs<Instant>(WAITING));
  }
  const millis = Number(process.hrtime.bigint() - from) / 1e6 / ROUNDS;
  return {
    rule: ordering.constructor.name,
    waiting: WAITING,
    sizes,
    triesPerRound: tries / ROUNDS,
    millisPerRound: Number(millis.toFixed(3)),
  };
}

/** Number of candidates that a round returns if each is reported as blocked. */
function blockedTries(ordering: Ordering, now: Instant): number {
  const round = ordering.round(now);
  let tries = 0;
  for (let next = round.next(); next !== undefined; next = round.next()) {
    tries += 1;
    round.reportBlocked(next, 'no_worker_fits');
  }
  return tries;
}
