/**
 * Tells where a job would go now, and why other workers are passed over, without submitting it. Guards against an
 * operator who has to submit work to a cluster in trouble, and so adds to its load, to find out why it waits. The
 * same code decides as in placement; only copies of free resources are changed.
 */

import type { WorkerId } from '@bamboowell/types/ids';
import type { StepId } from '@bamboowell/types/job';
import type { Deadline, Instant } from '@bamboowell/types/time';
import type { AdmissionDecision } from './admission.js';
import {
  availableWorker,
  misfitOf,
  type AvailableWorker,
  type Misfit,
} from './available-workers.js';
import { ClosedWorkers } from './closed-workers.js';
import type { JobContext } from './context.js';
import { openStartsOn, waitingTasks, type Step, type Worker } from './model.js';
import type { Obstacle } from './obstacles.js';
import type { JobOrdering } from './ordering.js';
import type { Assignment } from './orders.js';
import type { Quarantines } from './quarantines.js';
import type { Reservations } from './reservations.js';
import type { StepAdvice } from './step-advice.js';
import type { SelectionRefusal, WorkerSelection } from './worker-selection.js';

/** What keeps a worker from getting any new work. */
export type WorkerClosure =
  | 'unreachable'
  | 'not_registered'
  | 'draining'
  | 'evacuated'
  /** It has not reported all to this owner yet. */
  | 'not_reported'
  /** It runs something of which the owner does not know what it uses. */
  | 'unknown_runs'
  | 'cooldown'
  /** A task under which a worker has crashed runs there alone. */
  | 'isolated_run';

/** Why a worker gets no task of the step; the first that applies counts. */
export type PassedOverReason =
  | Misfit
  | WorkerClosure
  | 'quarantine'
  | SelectionRefusal
  /** No advice has named it for the step, and a preview requests none. */
  | 'no_advice'
  /** Advice named it and did not grant it, or its ticket has expired. */
  | 'not_granted'
  /** Other workers suit the tasks better, or the step starts nothing at all. */
  | 'not_needed';

export interface PassedOver {
  readonly worker: WorkerId;
  readonly reason: PassedOverReason;
  /** The gang for which room is kept there. */
  readonly keptFor?: StepId;
}

/** Why not all tasks of the step start now. */
export type StepWait =
  /** Starts can't be stored at present. */
  | 'store_unavailable'
  /** What data centres are evacuated has not been read for too long. */
  | 'evacuations_unknown'
  | Obstacle
  | 'team_limit'
  /** Promised work is expected to need the room before the step ends. */
  | 'kept_for_promised'
  /** As many starts are under way as the owner can take on. */
  | 'owner_limit'
  | 'advice'
  | 'no_room';

export interface WorkerTasks {
  readonly worker: WorkerId;
  readonly tasks: number;
}

export type PreviewedAdmission =
  | {
      readonly kind: 'admitted';
      /** Whether the job exceeds the rate that its team was promised. */
      readonly isExcess: boolean;
      /** Time until its first task is forecast to start, where starts are forecast. */
      readonly firstStartMillis?: number;
    }
  /** A job with this id has been taken before; the preview is of its present state. */
  | { readonly kind: 'taken_before'; readonly isExcess: boolean }
  | {
      readonly kind: 'refused';
      readonly reason:
        | 'unknown_queue'
        | 'unknown_team'
        | Extract<AdmissionDecision, { kind: 'refused' }>['reason'];
      readonly isExcess?: boolean;
      /** Time until its last task is forecast to start. */
      readonly forecastMillis?: number;
      readonly retryAfterSeconds?: number;
    };

/** Of a job that is refused, the placement is that after an admission. */
export interface PlacementPreview {
  readonly admission: PreviewedAdmission;
  /** Undefined if no step of the job waits. */
  readonly placement: StepPreview | undefined;
}

/** Whether a job would be taken, and the step that would start first. */
export interface JobPreviewBasis {
  readonly admission: PreviewedAdmission;
  readonly step: Step | undefined;
}

export interface StepPreview {
  readonly step: StepId;
  readonly waitingTasks: number;
  /** Steps that a placement pass looks at before it; undefined if the pass leaves it out. */
  readonly stepsBefore: number | undefined;
  /** Further waiting steps, which passes leave out for the moment because they have no room soon. */
  readonly parkedSteps: number;
  /** Whether something has changed since the last pass: steps before it may take room. */
  readonly isPassDue: boolean;
  /** `not_requested`: the step needs advice, which a preview does not ask for. */
  readonly advice: 'not_needed' | 'granted' | 'not_requested';
  /** Undefined if all its tasks start now. */
  readonly waitsFor: StepWait | undefined;
  readonly starts: readonly WorkerTasks[];
  /** Where its tasks would start if advice granted all workers, as far as advice is missing. */
  readonly startsIfAdvised: readonly WorkerTasks[];
  readonly passedOver: readonly PassedOver[];
}

export interface PreviewView {
  readonly context: JobContext;
  readonly selection: WorkerSelection;
  readonly reservations: Reservations;
  readonly quarantines: Quarantines;
  readonly advice: StepAdvice;
  readonly ordering: JobOrdering;
  /** All steps with waiting tasks. */
  readonly readySteps: readonly Step[];
  closureOf(worker: Worker): WorkerClosure | undefined;
}

export function previewedAdmissionOf(
  decision: AdmissionDecision,
  isExcess: boolean,
  now: Instant,
): PreviewedAdmission {
  if (decision.kind === 'refused') {
    return { ...decision, isExcess };
  }
  const { basis } = decision;
  return basis === undefined
    ? { kind: 'admitted', isExcess }
    : { kind: 'admitted', isExcess, firstStartMillis: millisUntil(basis.first, now) };
}

export function previewStep(step: Step, view: PreviewView): StepPreview {
  const { context, advice } = view;
  const order = orderWith(step, view);
  const rank = order.indexOf(step);
  const before = new Set(rank < 0 ? order : order.slice(0, rank));
  const isAdvised = advice.hasTicket(step);
  const block = blockOf(step, rank, view);
  const isMissingAdvice = block === undefined && !isAdvised;
  const assigned = block === undefined && isAdvised ? assign(step, before, view, 'granted') : [];
  const ifAdvised = isMissingAdvice ? assign(step, before, view, 'all') : [];
  const waiting = waitingTasks(step).length;
  const lack = isAdvised ? 'no_room' : 'advice';
  return {
    step: step.id,
    waitingTasks: waiting,
    stepsBefore: rank < 0 ? undefined : rank,
    parkedSteps: view.readySteps.filter((each) => each !== step && context.parked.has(each)).length,
    isPassDue: context.needsPlacement,
    advice: adviceOf(step, isAdvised),
    waitsFor: block ?? (assigned.length < waiting ? lack : undefined),
    starts: tasksByWorker(assigned),
    startsIfAdvised: tasksByWorker(ifAdvised),
    passedOver: passedOver(step, before, assigned, view),
  };
}

/** What a placement pass would go through if the step were ready. */
function orderWith(step: Step, { context, ordering, readySteps }: PreviewView): Step[] {
  const others = readySteps.filter((each) => each !== step && !context.parked.has(each));
  return ordering.preview([...others, step], context);
}

/** What keeps the whole step from starting, whatever room there is. */
function blockOf(step: Step, rank: number, { context }: PreviewView): StepWait | undefined {
  const { evacuations, load, mayStart, now, workers } = context;
  if (!mayStart) {
    return 'store_unavailable';
  }
  if (!evacuations.isCurrent(now)) {
    return 'evacuations_unknown';
  }
  const obstacle = context.obstacleOf(step);
  if (obstacle !== undefined) {
    return obstacle;
  }
  if (context.isWaitingForTeamLimit(step)) {
    return 'team_limit';
  }
  if (rank < 0) {
    return 'kept_for_promised';
  }
  return openStartsOn(workers.values()) >= load.startLimit ? 'owner_limit' : undefined;
}

function assign(
  step: Step,
  before: ReadonlySet<Step>,
  view: PreviewView,
  advised: 'granted' | 'all',
): Assignment[] {
  const isUsable = ({ worker }: AvailableWorker): boolean =>
    misfitOf(worker.registration, step) === undefined &&
    (advised === 'all' || view.advice.admits(step, worker));
  const open = [...view.context.workers.values()].filter(
    (worker) => view.closureOf(worker) === undefined,
  );
  const candidates = open
    .filter(({ id }) => view.quarantines.mayPlace(id))
    .map((worker) => candidateOf(worker, before, view));
  const waiting = waitingTasks(step);
  const assigned = view.selection.assign(step, waiting, candidates.filter(isUsable));
  const closed = new ClosedWorkers(open, view.quarantines);
  if (!closed.mayTry(step)) {
    return assigned;
  }
  const started = new Set(assigned.map(({ task }) => task));
  const rest = waiting.filter((task) => !started.has(task));
  const trial = view.selection.assign(step, rest, closed.available.filter(isUsable));
  return [...assigned, ...trial];
}

/** The worker with what is free there, and what is kept for gangs that go before the step. */
function candidateOf(
  worker: Worker,
  before: ReadonlySet<Step>,
  { reservations }: PreviewView,
): AvailableWorker {
  const kept = reservations.holdOn(worker);
  const hold = kept !== undefined && before.has(kept.gang) ? kept.hold : undefined;
  return { ...availableWorker(worker), hold };
}

function passedOver(
  step: Step,
  before: ReadonlySet<Step>,
  assigned: readonly Assignment[],
  view: PreviewView,
): PassedOver[] {
  const chosen = new Set(assigned.map(({ worker }) => worker));
  const others = [...view.context.currentIncarnations.values()].filter(
    (worker) => !chosen.has(worker),
  );
  return others.map((worker) => {
    const reason = reasonOf(worker, step, before, view);
    const gang = view.reservations.holdOn(worker)?.gang;
    return reason === 'kept_for_gang' && gang !== undefined
      ? { worker: worker.id, reason, keptFor: gang.id }
      : { worker: worker.id, reason };
  });
}

function reasonOf(
  worker: Worker,
  step: Step,
  before: ReadonlySet<Step>,
  view: PreviewView,
): PassedOverReason {
  const closure = misfitOf(worker.registration, step) ?? view.closureOf(worker);
  if (closure !== undefined) {
    return closure;
  }
  if (!view.quarantines.mayPlace(worker.id)) {
    return 'quarantine';
  }
  const refusal = view.selection.refusalOf(step, candidateOf(worker, before, view));
  if (refusal !== undefined) {
    return refusal;
  }
  if (view.advice.admits(step, worker)) {
    return 'not_needed';
  }
  return step.workersWithAdvice.has(worker.id) ? 'not_granted' : 'no_advice';
}

function adviceOf({ job }: Step, isAdvised: boolean): StepPreview['advice'] {
  if (job.queue.advice === undefined) {
    return 'not_needed';
  }
  return isAdvised ? 'granted' : 'not_requested';
}

function tasksByWorker(assignments: readonly Assignment[]): WorkerTasks[] {
  const counts = new Map<WorkerId, number>();
  for (const { worker } of assignments) {
    counts.set(worker.id, (counts.get(worker.id) ?? 0) + 1);
  }
  return [...counts].map(([worker, tasks]) => ({ worker, tasks }));
}

function millisUntil(at: Deadline, now: Instant): number {
  return Math.max(0, Math.round(at - now));
}
