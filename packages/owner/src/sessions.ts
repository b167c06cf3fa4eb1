/** Tracks each worker's attachment, its clock, and when the leases on it lapse. */

import { brandAs, type Incarnation, type WorkerId } from '@bamboowell/types/ids';
import {
  deadlineAfter,
  earlier,
  hasPassed,
  NEVER,
  type Deadline,
  type Instant,
  type WorkerInstant,
} from '@bamboowell/types/time';
import type { WorkerProfile } from '@bamboowell/types/work';
import type { Context } from './context.js';
import type { ShardVm } from './messages.js';
import { withMaxClockDrift, withMaxMemberClockDrift } from './settings.js';

/** A reading of a worker's clock, and an instant of our clock before which it was taken. */
interface ClockReading {
  readonly workerNow: WorkerInstant;
  readonly seenAt: Instant;
}

/** The owner's session with one worker. */
export interface Session {
  readonly worker: WorkerId;
  /** Whether the worker is attached under the owned epoch. */
  attached: boolean;
  incarnation: Incarnation | undefined;
  clockReading: ClockReading | undefined;
  /** When all leases on the worker, from whichever owner, have ended. */
  lapseAt: Deadline;
  renewAt: Deadline;
  /** The VM list or the worker itself has reported that it is leaving. */
  leaving: boolean;
  quarantined: boolean;
  /** Gets no new work until then, because it refused a start with `no_room`. */
  cooldownUntil: Deadline | undefined;
}

/** Time without new work after a worker refused a start with `no_room`, milliseconds. */
const COOLDOWN_MILLIS = 1_000;

/** Renewals due within this time are sent together, to keep rounds few, milliseconds. */
const RENEWAL_BATCH_MILLIS = 200;

export class Sessions {
  private readonly byWorker = new Map<WorkerId, Session>();

  constructor(private readonly context: Context) {}

  get(worker: WorkerId): Session | undefined {
    return this.byWorker.get(worker);
  }

  all(): IterableIterator<Session> {
    return this.byWorker.values();
  }

  /** The session of a worker. A new one assumes leases that an earlier owner may have granted. */
  open(worker: WorkerId): Session {
    const known = this.byWorker.get(worker);
    if (known !== undefined) {
      return known;
    }
    const session: Session = {
      worker,
      attached: false,
      incarnation: undefined,
      clockReading: undefined,
      lapseAt: this.maxEarlierLeaseEnd(),
      renewAt: NEVER,
      leaving: false,
      quarantined: false,
      cooldownUntil: undefined,
    };
    this.byWorker.set(worker, session);
    return session;
  }

  /** Opens sessions of listed workers. A worker that is no longer listed keeps its session. */
  updateFromVmList(vms: readonly ShardVm[]): void {
    for (const { worker, vm } of vms) {
      const session = this.open(worker);
      session.leaving = session.leaving || vm.state === 'leaving';
      this.refresh(session);
    }
  }

  recordAttachment(
    worker: WorkerId,
    incarnation: Incarnation,
    profile: WorkerProfile,
    workerNow: WorkerInstant,
  ): Session {
    const session = this.open(worker);
    session.attached = true;
    if (session.incarnation !== incarnation) {
      session.incarnation = incarnation;
      session.leaving = false;
    }
    this.context.fleet.put(profile, false);
    this.recordClock(session, workerNow);
    // The worker now refuses earlier epochs, so no earlier lease outlasts one granted now.
    session.lapseAt = deadlineAfter(
      this.context.now,
      withMaxClockDrift(this.context.settings.leaseMillis),
    );
    this.refresh(session);
    return session;
  }

  recordDetachment(worker: WorkerId): void {
    const session = this.byWorker.get(worker);
    if (session !== undefined) {
      session.attached = false;
      session.renewAt = NEVER;
      this.refresh(session);
    }
  }

  recordClock(session: Session, workerNow: WorkerInstant): void {
    session.clockReading = { workerNow, seenAt: this.context.now };
  }

  setLeaving(session: Session): void {
    session.leaving = true;
    this.refresh(session);
  }

  /** Gives the worker no new work for `COOLDOWN_MILLIS`. */
  startCooldown(session: Session): void {
    session.cooldownUntil = deadlineAfter(this.context.now, COOLDOWN_MILLIS);
    this.refresh(session);
  }

  endCooldowns(): void {
    for (const session of this.byWorker.values()) {
      if (
        session.cooldownUntil !== undefined &&
        hasPassed(session.cooldownUntil, this.context.now)
      ) {
        session.cooldownUntil = undefined;
        this.refresh(session);
      }
    }
  }

  setQuarantined(session: Session, quarantined: boolean): void {
    session.quarantined = quarantined;
    this.refresh(session);
  }

  /** The end, by the worker's clock, of a lease granted now. Postpones `lapseAt` to match. */
  grantLease(session: Session): WorkerInstant | undefined {
    const { clockReading } = session;
    if (clockReading === undefined) {
      return undefined;
    }
    const { leaseMillis, renewMillis } = this.context.settings;
    const lapse = deadlineAfter(clockReading.seenAt, withMaxClockDrift(leaseMillis));
    session.lapseAt = session.lapseAt > lapse ? session.lapseAt : lapse;
    session.renewAt = deadlineAfter(this.context.now, renewMillis);
    return brandAs<WorkerInstant>(clockReading.workerNow + leaseMillis);
  }

  /** The latest instant, by the worker's clock, at which it may accept a start sent now. */
  startBy(session: Session): WorkerInstant | undefined {
    const { clockReading } = session;
    return clockReading === undefined
      ? undefined
      : brandAs<WorkerInstant>(clockReading.workerNow + this.context.settings.startTimeoutMillis);
  }

  /** Renews the leases on attached workers that are due, together with those due soon. */
  renewDue(): void {
    const epoch = this.context.ownedEpoch;
    if (epoch === undefined || !this.context.authority.mayRenew) {
      return;
    }
    if (!this.isRenewalDue()) {
      return;
    }
    const soon = brandAs<Instant>(this.context.now + RENEWAL_BATCH_MILLIS);
    for (const session of this.byWorker.values()) {
      if (session.attached && hasPassed(session.renewAt, soon)) {
        this.renew(session);
      }
    }
  }

  /** Renews the leases on one worker now. */
  renew(session: Session): void {
    const epoch = this.context.ownedEpoch;
    if (epoch === undefined || !this.context.authority.mayRenew) {
      return;
    }
    const leaseUntil = this.grantLease(session);
    if (leaseUntil !== undefined) {
      this.context.command(session.worker, { kind: 'renew', epoch, leaseUntil });
    }
  }

  /** Detached workers on which all leases have ended. */
  lapsed(): Session[] {
    return [...this.byWorker.values()].filter(
      (session) => !session.attached && hasPassed(session.lapseAt, this.context.now),
    );
  }

  /**
   * Shortens the time until leases of earlier epochs lapse on workers that have not attached yet.
   * Every member knows this epoch, so an earlier owner renews for at most as long as an owner acts
   * without a read of the log.
   */
  epochKnown(): void {
    const { freshnessWindowMillis, leaseMillis } = this.context.settings;
    const lapse = deadlineAfter(
      this.context.now,
      freshnessWindowMillis + withMaxClockDrift(leaseMillis),
    );
    for (const session of this.byWorker.values()) {
      if (session.incarnation === undefined) {
        session.lapseAt = earlier(session.lapseAt, lapse);
      }
    }
  }

  nextDeadline(): Deadline {
    let next = NEVER;
    for (const session of this.byWorker.values()) {
      const due = session.attached ? session.renewAt : session.lapseAt;
      next = hasPassed(due, this.context.now) ? next : earlier(next, due);
      next = earlier(next, session.cooldownUntil ?? NEVER);
    }
    return next;
  }

  clear(): void {
    for (const worker of this.byWorker.keys()) {
      this.context.fleet.remove(worker);
    }
    this.byWorker.clear();
  }

  private isRenewalDue(): boolean {
    for (const session of this.byWorker.values()) {
      if (session.attached && hasPassed(session.renewAt, this.context.now)) {
        return true;
      }
    }
    return false;
  }

  private maxEarlierLeaseEnd(): Deadline {
    const { outageRenewalMillis, leaseMillis } = this.context.settings;
    return deadlineAfter(
      this.context.now,
      withMaxMemberClockDrift(outageRenewalMillis) + withMaxClockDrift(leaseMillis),
    );
  }

  private refresh(session: Session): void {
    const isHeldBack =
      session.leaving || session.quarantined || session.cooldownUntil !== undefined;
    const usable = session.attached && !isHeldBack;
    this.context.fleet.setUsable(session.worker, usable);
  }
}
