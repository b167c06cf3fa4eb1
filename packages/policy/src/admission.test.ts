import test from 'ava';
import type { Queue } from '@bamboowell/types/declarations';
import { brandAs, type QueueId, type TeamId } from '@bamboowell/types/ids';
import type { Deadline, Instant } from '@bamboowell/types/time';
import {
  admit,
  MAX_WAITING_IN_SHARD,
  MAX_WAITING_OF_TEAM,
  type Arrival,
  type Load,
} from './admission.js';
import { WaitEstimate, type Backlog } from './wait-estimate.js';

const TEAM = brandAs<TeamId>('team');
const QUEUE = brandAs<QueueId>('queue');

function at(millis: number): Instant {
  return brandAs<Instant>(millis);
}

function arrivalOf(startBy = 5000, maxWaiting = 10): Arrival {
  const queue: Queue = { id: QUEUE, access: { kind: 'open', team: TEAM }, maxWaiting };
  return { team: TEAM, queue, startBy: brandAs<Deadline>(startBy) };
}

function loadOf(more: Partial<Load> = {}): Load {
  const nothing = { waitingInQueue: 0, waitingOfTeam: 0, waitingInShard: 0 };
  return { ...nothing, estimatedStart: at(1000), ...more };
}

function reasonOf(arrival: Arrival, load: Load): string {
  const result = admit(arrival, load, at(1000));
  return result.kind === 'done'
    ? result.value
    : `${result.refusal.verdict} ${result.refusal.reason}`;
}

function backlogOf(waiting: number, oldestSince: number): Backlog {
  return { queue: QUEUE, waiting, oldestSince: at(oldestSince) };
}

test('admits work below the limits that can start before its deadline', (t) => {
  t.is(reasonOf(arrivalOf(), loadOf({ waitingInQueue: 9, estimatedStart: at(4999) })), 'admitted');
});

test('refuses with the reason of the first limit that is reached', (t) => {
  t.is(reasonOf(arrivalOf(1000), loadOf()), 'not_run deadline_passed');
  t.is(reasonOf(arrivalOf(), loadOf({ waitingInQueue: 10 })), 'not_run queue_full');
  const team = loadOf({ waitingOfTeam: MAX_WAITING_OF_TEAM });
  t.is(reasonOf(arrivalOf(), team), 'not_run overloaded');
  const shard = loadOf({ waitingInShard: MAX_WAITING_IN_SHARD });
  t.is(reasonOf(arrivalOf(), shard), 'not_run overloaded');
  const late = loadOf({ estimatedStart: at(5000) });
  t.is(reasonOf(arrivalOf(), late), 'not_run deadline_unreachable');
});

test('estimates the start from the interval between earlier starts', (t) => {
  const estimate = new WaitEstimate();
  for (let start = 100; start <= 1000; start += 100) {
    estimate.recordStart(QUEUE, at(0), at(start));
  }
  t.is(estimate.estimateStart(backlogOf(0, 1000), at(1000)), at(1000));
  t.is(estimate.estimateStart(backlogOf(20, 1000), at(1000)), at(3000));
});

test('idle time of a queue does not delay the estimated start', (t) => {
  const estimate = new WaitEstimate();
  estimate.recordStart(QUEUE, at(0), at(100));
  estimate.recordStart(QUEUE, at(900_000), at(900_100));
  t.is(estimate.estimateStart(backlogOf(10, 900_100), at(900_100)), at(901_100));
});

test('the estimate grows immediately while a queue starts nothing', (t) => {
  const estimate = new WaitEstimate();
  estimate.recordStart(QUEUE, at(0), at(10));
  t.is(estimate.estimateStart(backlogOf(3, 10), at(5010)), at(20_010));
  t.is(estimate.estimateStart({ ...backlogOf(3, 0), queue: brandAs('new') }, at(500)), at(2000));
});
