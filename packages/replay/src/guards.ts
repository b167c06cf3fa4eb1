/**
 * Removes guards from the running code by replacing methods at run time. Used only to record runs
 * without them: the check of the guarantee that the guards protect must find a violation in such a
 * recording, which shows that the check works.
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

/** A method that is looked up by name, so that private methods can be replaced too. */
type Method = (this: never, ...args: never[]) => unknown;

function replaceMethod(owner: { readonly prototype: object }, name: string, body: Method): void {
  Object.defineProperty(owner.prototype, name, { value: body, configurable: true, writable: true });
}

function methodOf(owner: { readonly prototype: object }, name: string): Method {
  return Reflect.get(owner.prototype, name) as Method;
}

const UNLIMITED = { millicores: 1e9, memoryMib: 1e9, accelerators: 1e9, slots: 1e9 };
const NONE = { millicores: 0, memoryMib: 0, accelerators: 0, slots: 0 };
const HOUR_MILLIS = 3_600_000;

/** Places tasks on the first usable worker, even if it is full. */
function allowOvercommit(): void {
  replaceMethod(WorkerRuns, 'hasRoomFor', () => true);
  replaceMethod(Fleet, 'reserve', function (this: Fleet, worker: never, amount: never) {
    this.adopt(worker, amount);
    return true;
  });
  replaceMethod(BestFit, 'choose', (fleet: Fleet) => {
    const worker = [...fleet.all()].find(({ usable }) => usable);
    return worker?.profile.id;
  });
}

/** Grants workers leases that last an hour longer than the owner assumes. */
function extendLeases(): void {
  const grant = methodOf(Sessions, 'grantLease');
  replaceMethod(Sessions, 'grantLease', function (this: never, session: never) {
    const until = grant.call(this, session) as number | undefined;
    return until === undefined ? undefined : until + HOUR_MILLIS;
  });
}

/** Withholds configurations after version 1 from every daemon except `e1`. */
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
  replaceMethod(Limits, 'roomOf', () => UNLIMITED);
  replaceMethod(Limits, 'excessOf', () => NONE);
}

/** Delivers the answer of any call to the call that started first. */
function swapAnswers(): void {
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

/** Reports submissions that were already sent to the log as "not run". */
function reportSentAsNotRun(): void {
  const withdrawn = methodOf(Submissions, 'withdrawn');
  replaceMethod(Submissions, 'withdrawn', function (this: never, sequence: never) {
    return withdrawn.call(this, sequence, 'withdrawn' as never);
  });
}

/** Retries lost calls, idempotent or not. */
function retryLostCalls(): void {
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
    const reason = refusal.call(this, start);
    return reason === 'leaving' ? undefined : reason;
  });
}

/** Releases the shard while calls are in flight. */
function releaseWithCallsInFlight(): void {
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

/** Applies a change whatever version is current, as the version after its base. */
function ignoreBaseVersion(): void {
  const change = methodOf(CellFold, 'change');
  replaceMethod(CellFold, 'change', function (this: never, record: never) {
    const fold = this as { current: { version: number } };
    fold.current = { ...fold.current, version: (record as { base: number }).base };
    return change.call(this, record);
  });
}

/** Treats the leases of a detached worker as lapsed at once. */
function treatLeasesAsLapsed(): void {
  replaceMethod(Sessions, 'lapsed', function (this: never) {
    const { byWorker } = this as { byWorker: Map<string, { attached: boolean }> };
    return [...byWorker.values()].filter(({ attached }) => !attached);
  });
}

/** Treats the configuration as fresh, however long ago the log was read. */
function ignoreConfigurationAge(): void {
  replaceMethod(ConfigurationFreshness, 'status', () => ({
    kind: 'fresh',
    freshUntil: Number.MAX_SAFE_INTEGER,
  }));
}

/** Removes all guards of a guarantee. */
const GUARD_REMOVALS: Readonly<Record<Guarantee, () => void>> = {
  no_overcommit: allowOvercommit,
  one_place: extendLeases,
  key_only: withholdChanges,
  team_limit: ignoreLimits,
  own_answer: swapAnswers,
  not_run_true: reportSentAsNotRun,
  at_most_once: retryLostCalls,
  leaving: ignoreLeaving,
  graceful: releaseWithCallsInFlight,
  configuration: ignoreBaseVersion,
};

/** A guard, and the guarantee whose check finds a violation without it. */
export interface Guard {
  readonly guarantee: Guarantee;
  readonly remove: () => void;
}

/** Guards that can be removed one at a time, by name. */
const GUARDS: ReadonlyMap<string, Guard> = new Map([
  ['lapse_bound', { guarantee: 'one_place', remove: treatLeasesAsLapsed }],
  ['configuration_freshness', { guarantee: 'key_only', remove: ignoreConfigurationAge }],
]);

/** The guard of that name, or all guards of the guarantee of that name. */
export function guardOf(name: string): Guard | undefined {
  const guarantee = GUARANTEES.find((each) => each === name);
  return guarantee === undefined
    ? GUARDS.get(name)
    : { guarantee, remove: GUARD_REMOVALS[guarantee] };
}

/** All names that `guardOf` knows. */
export function guardNames(): string[] {
  return [...GUARANTEES, ...GUARDS.keys()];
}
