/**
 * Load: one team sends far more short tasks than it is promised, and gangs of another team wait in a full fleet.
 * Guards against room that comes together for a gang and is taken piece by piece, each time that the holds for
 * gangs give way, by work that is owed no start.
 */

import test from 'ava';
import { brandAs, type QueueId, type TeamId } from '@bamboowell/types/ids';
import { NO_RESOURCES } from '@bamboowell/types/resources';
import { DEFAULT_SCHEDULING, type SchedulingOptions } from '@bamboowell/types/scheduling';
import { emulatedFleet } from './emulated-fleet.fixture.js';
import { cores, jobId, jobPlan, jobQueue, stepPlan, workerRegistration } from './plans.fixture.js';

const GANGS = brandAs<QueueId>('gangs');
const SHORT = brandAs<QueueId>('short');
const QUIET_TEAM = brandAs<TeamId>('quiet');
const HOT_TEAM = brandAs<TeamId>('hot');
/** Run times of the tasks of the hot team, which declares half of them. */
const SHORTEST_MILLIS = 3000;
const LONGEST_MILLIS = 6000;
const FIRST_SHORT = 1000;

function fullFleet(sharing: SchedulingOptions['sharing']) {
  const workers = Array.from({ length: 12 }, (_, index) =>
    workerRegistration(`w${index}`, { capacity: cores(64, 100_000) }),
  );
  const patient = { objectiveFactor: 20, targetLatencyMillis: 60_000 };
  const queues = [
    jobQueue({ id: SHORT, priority: 0, ...patient }),
    jobQueue({ id: GANGS, priority: 1, ...patient }),
  ];
  const limit = NO_RESOURCES;
  const teams = [
    { id: QUIET_TEAM, keys: [], weight: 100, limit },
    { id: HOT_TEAM, keys: [], weight: 0, limit },
  ];
  const configuration = { version: 1, queues, teams, maxBodyBytes: 10_000 };
  const scheduling = { ...DEFAULT_SCHEDULING, sharing };
  return emulatedFleet({ workers, configuration, scheduling });
}

/** How long a gang waits that comes while the hot team fills the fleet; undefined: it has not begun. */
function waitOfGang(sharing: SchedulingOptions['sharing']): number | undefined {
  const fleet = fullFleet(sharing);
  let short = FIRST_SHORT;
  const sendShort = (): void => {
    const millis = SHORTEST_MILLIS + (short % 4) * ((LONGEST_MILLIS - SHORTEST_MILLIS) / 3);
    const step = stepPlan({ count: 4, demand: cores(9), estimateMillis: millis / 2 });
    const plan = { queue: SHORT, team: HOT_TEAM, steps: [step] };
    fleet.submit(jobPlan(short, plan), millis);
    short += 1;
  };
  fleet.run(4000, sendShort);
  const step = stepPlan({ count: 20, isGang: true, demand: cores(18), estimateMillis: 5000 });
  fleet.submit(jobPlan(1, { queue: GANGS, team: QUIET_TEAM, steps: [step] }), 5000);
  fleet.run(20_000, sendShort);
  return fleet.waitOf(jobId(1));
}

test('room that the excess of a team uses comes back to a gang within the length of a task', (t) => {
  const wait = waitOfGang('weighted');
  t.true(wait !== undefined && wait <= LONGEST_MILLIS, `waited ${wait}`);
});

test('the excess goes on in the room that no gang waits for', (t) => {
  const fleet = fullFleet('weighted');
  const step = stepPlan({ count: 4, demand: cores(9), estimateMillis: 1500 });
  fleet.submit(jobPlan(FIRST_SHORT, { queue: SHORT, team: HOT_TEAM, steps: [step] }), 1500);
  fleet.run(500);
  t.is(fleet.waitOf(jobId(FIRST_SHORT)), 100);
});
