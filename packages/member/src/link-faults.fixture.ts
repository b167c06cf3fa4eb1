/** Random faults between a scheduler and its workers, drawn from a seed. */

import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { cores } from '@bamboowell/jobs/plans.fixture';
import type { JobId } from '@bamboowell/types/job';
import { linkedScheduler } from './linked-scheduler.fixture.js';

const WORKERS = ['w1', 'w2', 'w3'];
const FAULT_PHASE_MILLIS = 40_000;
/** Longer than a lease and the time in which a job's task starts again. */
const RECOVERY_MILLIS = 15_000;
const STEP_MILLIS = 20;
/** Average time between two faults of a kind, and how long one lasts on average. */
const FAULT_INTERVAL_MILLIS = 6000;
const FAULT_MILLIS = 1500;
const CRASH_INTERVAL_MILLIS = 20_000;
const TAKEOVER_INTERVAL_MILLIS = 15_000;
const JOB_INTERVAL_MILLIS = 4000;
const SHORTEST_TASK_MILLIS = 500;
const LONGEST_TASK_MILLIS = 20_000;
const LATE_ORDER_RATE = 0.2;
const GANG_RATE = 0.2;
const SAVING_RATE = 0.3;
const MAX_TASKS = 2;

export interface LinkFaultRun {
  readonly violations: readonly string[];
  /** Accepted jobs that neither ended nor have a run after the recovery. */
  readonly stuck: readonly JobId[];
  readonly starts: number;
}

export async function runWithLinkFaults(seed: number): Promise<LinkFaultRun> {
  const generator = xoroshiro128plus(seed);
  const random = (): number => uniformInt(generator, 0, 999_999) / 1_000_000;
  const isDue = (intervalMillis: number): boolean => random() < STEP_MILLIS / intervalMillis;
  const next = (isFaulty: boolean): boolean =>
    isFaulty ? !isDue(FAULT_MILLIS) : isDue(FAULT_INTERVAL_MILLIS);
  const linked = linkedScheduler(WORKERS, random);
  const { faults, harness, invariants, losesAnswersOf, workers } = linked;
  const submitted: JobId[] = [];

  const drawFaults = (): void => {
    for (const worker of workers.values()) {
      for (const set of [faults.unreachable, losesAnswersOf]) {
        if (next(set.has(worker.id))) {
          set.add(worker.id);
        } else {
          set.delete(worker.id);
        }
      }
      if (isDue(CRASH_INTERVAL_MILLIS)) {
        linked.replace(worker);
      }
    }
    if (isDue(TAKEOVER_INTERVAL_MILLIS)) {
      linked.takeOver();
    }
    linked.isBusy = next(linked.isBusy);
    linked.isStoreAway = next(linked.isStoreAway);
  };

  await linked.run(500);
  faults.lateOrderRate = LATE_ORDER_RATE;
  for (let passed = 0; passed < FAULT_PHASE_MILLIS; passed += STEP_MILLIS) {
    drawFaults();
    if (isDue(JOB_INTERVAL_MILLIS)) {
      const millis = LONGEST_TASK_MILLIS - SHORTEST_TASK_MILLIS;
      const estimateMillis = SHORTEST_TASK_MILLIS + Math.round(millis * random());
      const isGang = random() < GANG_RATE;
      const count = isGang ? 2 : 1 + Math.floor(MAX_TASKS * random());
      const savesProgress = random() < SAVING_RATE;
      submitted.push(
        linked.submit({ estimateMillis, demand: cores(1), count, isGang, savesProgress }),
      );
    }
    await linked.run(STEP_MILLIS);
    if (linked.isBusy && random() < 0.5) {
      linked.place();
    }
  }
  faults.lateOrderRate = 0;
  faults.unreachable.clear();
  losesAnswersOf.clear();
  linked.isBusy = false;
  linked.isStoreAway = false;
  await linked.run(RECOVERY_MILLIS);
  // Stores the ends of the last step.
  linked.place();
  const running = [...workers.values()].flatMap((worker) => worker.running());
  const stuck = submitted.filter(linked.isAccepted).filter((job) => {
    const answer = harness.stateOf(job);
    const hasEnded =
      answer?.kind === 'state' && (answer.state === 'completed' || answer.state === 'failed');
    return !hasEnded && !running.some((task) => task.startsWith(job));
  });
  return { violations: invariants.violations, stuck, starts: invariants.starts };
}
