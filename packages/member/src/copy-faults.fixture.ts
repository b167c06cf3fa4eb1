/** Mixed faults with learned run times, slow runs, and tasks that may have copies. */

import type { StepPlan } from '@bamboowell/types/job';
import { DEFAULT_SCHEDULING } from '@bamboowell/types/scheduling';
import type { ClusterOptions } from './emulated-cluster.fixture.js';
import type { FaultBench } from './fault-profile.fixture.js';
import { MixedFaults } from './mixed-faults.fixture.js';

export class CopyFaults extends MixedFaults {
  override deployment(): ClusterOptions {
    return {
      ...super.deployment(),
      scheduling: { ...DEFAULT_SCHEDULING, runTimes: 'learned' },
    };
  }

  override drawSteps(bench: FaultBench): StepPlan[] {
    return super.drawSteps(bench).map((step) => ({
      ...step,
      estimateMillis: bench.draw(200, 800),
      allowsCopies: !step.isGang && bench.random() < 0.7,
    }));
  }
}
