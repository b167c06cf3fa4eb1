/** Reports steps that can't start on the workers that are there, however long they wait. */

import { deadlineAfter, hasPassed, type Deadline } from '@bamboowell/types/time';
import type { JobContext } from './context.js';
import type { Step } from './model.js';

/** How long a step can't start before this is logged, milliseconds: workers may restart or be added. */
const REPORT_AFTER_MILLIS = 1000;

/** Why a step can't start. */
export type Obstacle =
  /** No worker of its service that has its label is large enough for one task. */
  | 'no_worker_fits'
  /** Only with workers of evacuated data centres is there room for it. */
  | 'evacuated'
  /** All these workers together can't hold the gang. */
  | 'gang_exceeds_fleet'
  /** Its starts take so long on their way to these workers that the first tasks would have ended. */
  | 'gang_exceeds_links'
  /** The gang needs more than its team may run. */
  | 'gang_exceeds_team_limit';

/** What the log says of a step: each of the two lines at most once. */
type Report =
  | { readonly kind: 'due'; readonly at: Deadline }
  | { readonly kind: 'blocked_logged' }
  | { readonly kind: 'unblocked_logged' };

export class Obstacles {
  private readonly reports = new WeakMap<Step, Report>();

  constructor(private readonly context: JobContext) {}

  /** What keeps the step from starting, if it can't. */
  check(step: Step): Obstacle | undefined {
    const obstacle = this.context.obstacleOf(step);
    if (obstacle === undefined) {
      this.recordUnblocked(step);
    } else {
      this.recordBlocked(step, obstacle);
    }
    return obstacle;
  }

  private recordBlocked(step: Step, reason: Obstacle): void {
    const { context } = this;
    const report = this.reports.get(step);
    if (report === undefined) {
      this.reports.set(step, { kind: 'due', at: deadlineAfter(context.now, REPORT_AFTER_MILLIS) });
    } else if (report.kind === 'due' && hasPassed(report.at, context.now)) {
      this.reports.set(step, { kind: 'blocked_logged' });
      context.event('step.blocked', {
        step: step.id,
        reason,
        tasks: step.plan.count,
        fittingTasks: context.fleet.tasksThatFit(step),
        label: step.plan.neededLabel ?? '',
      });
    }
  }

  private recordUnblocked(step: Step): void {
    const report = this.reports.get(step);
    if (report?.kind === 'due') {
      this.reports.delete(step);
    } else if (report?.kind === 'blocked_logged') {
      this.reports.set(step, { kind: 'unblocked_logged' });
      this.context.event('step.unblocked', { step: step.id });
    }
  }
}
