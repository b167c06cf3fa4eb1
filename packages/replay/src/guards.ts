/**
 * Takes guards out of the running code. Only for recording what their absence does: the trace of
 * such a run must be flagged by the check of the point that the guards keep.
 */

import { CellTask } from '@bamboowell/daemon/cell-task';
import { Calls } from '@bamboowell/owner/calls';
import { Limits } from '@bamboowell/owner/limits';
import { Sessions } from '@bamboowell/owner/sessions';
import { ShardOwner } from '@bamboowell/owner/shard-owner';
import { Submissions } from '@bamboowell/owner/submissions';
import { BestFit } from '@bamboowell/policy/best-fit';
import { Fleet } from '@bamboowell/policy/fleet';
import { ConfigurationFreshness } from '@bamboowell/ownership/configuration-freshness';
import { WorkerState } from '@bamboowell/stand-ins/worker-state';
import { WorkerRuns } from '@bamboowell/stand-ins/worker-runs';
import { CellFold } from '@bamboowell/state/cell-fold';
import { GUARANTEES, type Guarantee } from './trace.js';

/** A method by its name, whatever its visibility. */
type Method = (this: never, ...args: never[]) => unknown;

function replaceMethod(owner: { readonly prototype: object }, name: string, body: Method): void {
  Object.defineProperty(owner.prototype, name, { value: body, configurable: true, writable: true });
}

function methodOf(owner: { readonly prototype: object }, name: string): Method {
  return Reflect.get(owner.prototype, name) as Method;
}

const ENDLESS = { millicores: 1e9, memoryMib: 1e9, accelerators: 1e9, slots: 1e9 };
const NONE = { millicores: 0, memoryMib: 0, accelerators: 0, slots: 0 };
const HOUR_MILLIS = 3_600_000;

/** Places on the first usable worker, full or not. */
function overcommit(): void {
  replaceMethod(WorkerRuns, 'hasRoomFor', () => true);
  replaceMethod(Fleet, 'reserve', function (this: Fleet, worker: never, amount: never) {
    this.adopt(worker, amount);
    return true;
  });
  replaceMethod(BestFit, 'choose', (fleet: Fleet) => {
    const machine = [...fleet.all()].find(({ usable }) => usable);
    return machine?.profile.id;
  });
}

/** Grants leases that outlast what the owner counts on. */
function outlastLeases(): void {
  const grant = methodOf(Sessions, 'grantLease');
  replaceMethod(Sessions, 'grantLease', function (this: never, session: never) {
    const until = grant.call(this, session) as number | undefined;
    return until === undefined ? undefined : until + HOUR_MILLIS;
  });
}

/** Keeps every daemon but the first from hearing of changes. */
function withholdChanges(): void {
  const publish = methodOf(CellTask, 'publishCell');
  let published = 0;
  replaceMethod(CellTask, 'publishCell', function (this: never) {
    const { parts, fold } = this as {
      parts: { environment: { settings: { memberId: string } } };
      fold: CellFold;
    };
    published += 1;
    const isFirst = parts.environment.settings.memberId === 'e1';
    if (isFirst || fold.configuration.version <= 1) {
      publish.call(this);
    }
    return published;
  });
}

function ignoreLimits(): void {
  replaceMethod(Limits, 'roomOf', () => ENDLESS);
  replaceMethod(Limits, 'excessOf', () => NONE);
}

/** Gives the answer of any call to the call that began first. */
function mixAnswers(): void {
  const take = methodOf(Calls, 'takeRunning');
  replaceMethod(Calls, 'takeRunning', function (this: never, live: never) {
    const { running } = this as { running: Map<string, unknown> };
    const [first] = running;
    const ended = take.call(this, live);
    if (first === undefined || ended === undefined || first[1] === ended) {
      return ended;
    }
    const [attempt, call] = first;
    running.set(attempt, ended);
    return call;
  });
}

/** Says "not run" of what was sent to the log already. */
function denySent(): void {
  const withdrawn = methodOf(Submissions, 'withdrawn');
  replaceMethod(Submissions, 'withdrawn', function (this: never, sequence: never) {
    return withdrawn.call(this, sequence, 'withdrawn' as never);
  });
}

/** Tries lost calls again whether they are idempotent or not. */
function repeatLostCalls(): void {
  replaceMethod(Calls, 'lost', function (this: never, call: never) {
    const calls = this as { retry(call: unknown, reason: string): void };
    calls.retry(call, 'lease_lapsed');
  });
}

function ignoreLeaving(): void {
  replaceMethod(Sessions, 'setLeaving', () => undefined);
  replaceMethod(Sessions, 'updateFromVmList', function (this: Sessions, vms: never) {
    for (const { worker } of vms as readonly { worker: never }[]) {
      this.open(worker);
    }
  });
  const refusal = methodOf(WorkerState, 'refusalOf');
  replaceMethod(WorkerState, 'refusalOf', function (this: never, start: never) {
    const why = refusal.call(this, start);
    return why === 'leaving' ? undefined : why;
  });
}

/** Releases the shard while calls are in hand. */
function releaseAtOnce(): void {
  replaceMethod(ShardOwner, 'release', function (this: never) {
    const owner = this as {
      releasing: boolean;
      context: { draining: boolean; ownedEpoch: unknown; append(record: unknown): void };
    };
    const { draining, ownedEpoch } = owner.context;
    if (draining && ownedEpoch !== undefined && !owner.releasing) {
      owner.releasing = true;
      owner.context.append({ kind: 'release', epoch: ownedEpoch });
    }
  });
}

/** Applies a change whatever its base is, as the version after its base. */
function ignoreBase(): void {
  const change = methodOf(CellFold, 'change');
  replaceMethod(CellFold, 'change', function (this: never, record: never) {
    const fold = this as { current: { version: number } };
    fold.current = { ...fold.current, version: (record as { base: number }).base };
    return change.call(this, record);
  });
}

/** Takes a detached worker's leases for lapsed at once. */
function forgetLeases(): void {
  replaceMethod(Sessions, 'lapsed', function (this: never) {
    const { byWorker } = this as { byWorker: Map<string, { attached: boolean }> };
    return [...byWorker.values()].filter(({ attached }) => !attached);
  });
}

/** Relies on the configuration, however long ago the log was read. */
function trustOldConfiguration(): void {
  replaceMethod(ConfigurationFreshness, 'status', () => ({
    kind: 'fresh',
    freshUntil: Number.MAX_SAFE_INTEGER,
  }));
}

/** What takes the guards of each point out. */
const GUARD_REMOVALS: Readonly<Record<Guarantee, () => void>> = {
  no_overcommit: overcommit,
  one_place: outlastLeases,
  key_only: withholdChanges,
  team_limit: ignoreLimits,
  own_answer: mixAnswers,
  not_run_true: denySent,
  at_most_once: repeatLostCalls,
  leaving: ignoreLeaving,
  graceful: releaseAtOnce,
  configuration: ignoreBase,
};

/** A guard, and the point whose check sees that it is missing. */
export interface Guard {
  readonly guarantee: Guarantee;
  readonly remove: () => void;
}

/** Single guards, by name. */
const GUARDS: ReadonlyMap<string, Guard> = new Map([
  ['lapse_bound', { guarantee: 'one_place', remove: forgetLeases }],
  ['configuration_freshness', { guarantee: 'key_only', remove: trustOldConfiguration }],
]);

/** The guard, or all guards of the point, of that name. */
export function guardOf(name: string): Guard | undefined {
  const point = GUARANTEES.find((each) => each === name);
  return point === undefined
    ? GUARDS.get(name)
    : { guarantee: point, remove: GUARD_REMOVALS[point] };
}

/** All names that `guardOf` knows. */
export function guardNames(): string[] {
  return [...GUARANTEES, ...GUARDS.keys()];
}
