/** The order of work beyond the promised rates of teams, behind all other work. */

import type { TeamId } from '@bamboowell/types/ids';
import type { JobContext } from './context.js';
import { costOfDelay } from './cost-of-delay.js';
import { ExcessShares } from './excess-shares.js';
import type { LentRoom } from './lent-room.js';
import type { Step } from './model.js';
import { JobOrdering, bandOf, latencyObjectiveMillis } from './ordering.js';

/** Steps by what their order depends on. */
interface Bands {
  /** Within the promised rate of the team, and not too late. */
  readonly promised: Step[];
  readonly excess: Step[];
  /** Too late to have any value. */
  readonly late: Step[];
  /** Without an objective: they are never on time. */
  readonly last: Step[];
}

function bandsOf(steps: Iterable<Step>, context: JobContext): Bands {
  const bands: Bands = { promised: [], excess: [], late: [], last: [] };
  for (const step of steps) {
    const band = bandOf(step, context);
    if (band < 2) {
      bands.promised.push(step);
    } else if (band === 2) {
      bands.excess.push(step);
    } else if (latencyObjectiveMillis(step, context.runTimes) > 0) {
      bands.late.push(step);
    } else {
      bands.last.push(step);
    }
  }
  return bands;
}

/**
 * Orders excess by priority and then by acceptance, so that what was accepted does not wait behind later jobs
 * for ever. Work that is too late goes before newer excess of its team.
 */
export class ExcessByAcceptance extends JobOrdering {
  constructor(private readonly promised: JobOrdering) {
    super();
  }

  sorted(steps: Iterable<Step>, context: JobContext): Step[] {
    const { promised, excess, late, last } = bandsOf(steps, context);
    excess.sort(byPriorityAndAcceptance);
    return [
      ...this.promised.sorted(promised, context),
      ...mergeLate(excess, late),
      ...this.promised.sorted(last, context),
    ];
  }
}

/**
 * Orders excess between teams by what their excess runs, and within a team by cost of delay; excess that would
 * take room that promised work needs is left out. Work that is too late goes before all other excess of its
 * team, and is charged to the team.
 */
export class ExcessByShare extends JobOrdering {
  private readonly shares = new ExcessShares();

  constructor(
    private readonly promised: JobOrdering,
    private readonly lentRoom: LentRoom,
  ) {
    super();
  }

  sorted(steps: Iterable<Step>, context: JobContext): Step[] {
    return this.sortedBy(this.shares, steps, context);
  }

  override preview(steps: Iterable<Step>, context: JobContext): Step[] {
    return this.lentRoom.undone(() => this.sortedBy(this.shares.copy(), steps, context));
  }

  private sortedBy(shares: ExcessShares, steps: Iterable<Step>, context: JobContext): Step[] {
    const { promised, excess, late, last } = bandsOf(steps, context);
    this.lentRoom.beginPass(promised);
    const stepsByTeam = groupByTeam([
      ...late.sort(byAcceptance),
      ...byCostOfDelay(excess, context),
    ]);
    // Work without a team is charged to none.
    const unowned = stepsByTeam.get(undefined) ?? [];
    stepsByTeam.delete(undefined);
    const owned = stepsByTeam as ReadonlyMap<TeamId, Step[]>;
    return [
      ...this.promised.sorted(promised, context),
      ...shares.merged(owned, context).filter((step) => this.lentRoom.take(step)),
      ...unowned,
      ...this.promised.sorted(last, context),
    ];
  }
}

function byCostOfDelay(steps: readonly Step[], context: JobContext): Step[] {
  return steps
    .map((step) => ({ step, cost: costOfDelay(step, context) }))
    .sort((left, right) => right.cost - left.cost || byAcceptance(left.step, right.step))
    .map(({ step }) => step);
}

function groupByTeam(steps: readonly Step[]): Map<TeamId | undefined, Step[]> {
  const groups = new Map<TeamId | undefined, Step[]>();
  for (const step of steps) {
    const team = step.job.plan?.team;
    const group = groups.get(team) ?? [];
    group.push(step);
    groups.set(team, group);
  }
  return groups;
}

function byAcceptance(left: Step, right: Step): number {
  return left.job.acceptedAt - right.job.acceptedAt;
}

function byPriorityAndAcceptance(left: Step, right: Step): number {
  return left.job.queue.priority - right.job.queue.priority || byAcceptance(left, right);
}

/** Puts each late step before the first step of its team that was accepted later; the others at the end. */
function mergeLate(excess: readonly Step[], late: readonly Step[]): Step[] {
  const lateByTeam = groupByTeam([...late].sort(byAcceptance));
  const merged: Step[] = [];
  for (const step of excess) {
    const waiting = lateByTeam.get(step.job.plan?.team) ?? [];
    const older = waiting.findIndex(({ job }) => job.acceptedAt >= step.job.acceptedAt);
    merged.push(...waiting.splice(0, older < 0 ? waiting.length : older), step);
  }
  const rest = [...lateByTeam.values()].flat().sort(byAcceptance);
  return [...merged, ...rest];
}
