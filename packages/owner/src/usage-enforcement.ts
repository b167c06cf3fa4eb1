/** Throttles, checkpoints or stops attempts that use more than their declared size. */

import { match } from 'ts-pattern';
import type { AttemptId } from '@bamboowell/types/ids';
import type { AttemptUsage } from '@bamboowell/types/worker-messages';
import { escalate, NO_OVERUSE, type Overuse, type OveruseStep } from '@bamboowell/policy/overuse';
import type { Context } from './context.js';
import type { LiveAttempt, LiveAttempts } from './live-attempts.js';
import type { Stops } from './stops.js';

interface Measured {
  readonly usage: AttemptUsage;
  readonly overuse: Overuse;
}

export class UsageEnforcement {
  private readonly measured = new Map<AttemptId, Measured>();

  constructor(
    private readonly context: Context,
    private readonly live: LiveAttempts,
    private readonly stops: Stops,
  ) {}

  /**
   * Records reported usage, then checks all measured attempts: a report leaves out those whose
   * usage has not changed.
   */
  recordUsage(usages: readonly AttemptUsage[]): void {
    for (const usage of usages) {
      const overuse = this.measured.get(usage.attempt)?.overuse ?? NO_OVERUSE;
      this.measured.set(usage.attempt, { usage, overuse });
    }
    for (const [attempt, { usage, overuse }] of this.measured) {
      this.enforce(attempt, usage, overuse);
    }
  }

  clear(): void {
    this.measured.clear();
  }

  private enforce(attempt: AttemptId, usage: AttemptUsage, before: Overuse): void {
    const live = this.live.get(attempt);
    if (live === undefined) {
      this.measured.delete(attempt);
      return;
    }
    const checkpointable = this.context.fold.get(live.work)?.work.checkpointable ?? false;
    const measured = { declared: live.demand, used: usage, checkpointable };
    const overuse = escalate(before, measured, this.context.now);
    if (overuse === NO_OVERUSE) {
      this.measured.delete(attempt);
      return;
    }
    this.measured.set(attempt, { usage, overuse });
    if (overuse.step !== before.step) {
      this.applyStep(live, overuse.step);
    }
  }

  private applyStep(live: LiveAttempt, step: OveruseStep): void {
    const { id, worker } = live.attempt;
    const epoch = this.context.ownedEpoch;
    this.context.event('overuse', { attempt: id, worker, step });
    match(step)
      .with('none', () => undefined)
      .with('throttle', () => {
        if (epoch !== undefined) {
          this.context.command(worker, { kind: 'throttle', epoch, attempt: id });
        }
      })
      .with('checkpoint', () => {
        this.stops.stop(live, true);
      })
      .with('stop', () => {
        this.stops.stop(live, false);
      })
      .exhaustive();
  }
}
