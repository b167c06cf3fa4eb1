/** What the owner knows of each worker: attachment, its clock, and when its leases lapse. */

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
import { withMaxClockDrift } from './settings.js';

/** A reading of a worker's clock and the instant, by ours, before which it was taken. */
interface Reading {
  readonly worker: WorkerInstant;
  readonly seenAt: Instant;
}

export interface Session {
  readonly worker: WorkerId;
  /** Whether the worker is attached under the owned epoch. */
  attached: boolean;
  incarnation: Incarnation | undefined;
  clockReading: Reading | undefined;
  /** The instant at which every lease that anyone granted on the worker has ended. */
  lapseAt: Deadline;
  renewAt: Deadline;
  /** The VM list or the worker itself says that it goes away. */
  leaving: boolean;
  quarantined: boolean;
  /** Gets no new work until then; it refused a start for want of room. */
  cooldownUntil: Deadline | undefined;
}

/** How long a worker gets no new work after it refused a start for want of room. */
const REST_MILLIS = 1_000;

/** Leases that are due within this are renewed in one round, so that rounds stay few. */
const RENEW_TOGETHER_MILLIS = 200;

export class Sessions {
  private readonly byWorker = new Map<WorkerId, Session>();

  constructor(private readonly context: Context) {}

  get(worker: WorkerId): Session | undefined {
    return this.byWorker.get(worker);
  }

  all(): IterableIterator<Session> {
    return this.byWorker.values();
  }

  /** The session of a worker; a new one may hold leases that an earlier owner granted. */
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
      lapseAt: this.longestEarlierLease(),
      renewAt: NEVER,
      leaving: false,
      quarantined: false,
      cooldownUntil: undefined,
    };
    this.byWorker.set(worker, session);
    return session;
  }

  /** Takes in what the VM list shows. A worker that it no longer shows stays until it lapses. */
  updateFromVmList(vms: readonly ShardVm[]): void {
    for (const { worker, vm } of vms) {
      const session = this.open(worker);
      session.leaving = session.leaving || vm.state === 'leaving';
      this.refresh(session);
    }
  }

  attached(
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
    // The worker refuses earlier epochs from here on, so that no earlier lease outlasts a new one.
    session.lapseAt = deadlineAfter(
      this.context.now,
      withMaxClockDrift(this.context.settings.leaseMillis),
    );
    this.refresh(session);
    return session;
  }

  detached(worker: WorkerId): void {
    const session = this.byWorker.get(worker);
    if (session !== undefined) {
      session.attached = false;
      session.renewAt = NEVER;
      this.refresh(session);
    }
  }

  recordClock(session: Session, workerNow: WorkerInstant): void {
    session.clockReading = { worker: workerNow, seenAt: this.context.now };
  }

  setLeaving(session: Session): void {
    session.leaving = true;
    this.refresh(session);
  }

  /** Gives the worker no new work for a while. */
  startCooldown(session: Session): void {
    session.cooldownUntil = deadlineAfter(this.context.now, REST_MILLIS);
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

  /** The end of a lease granted now, by the worker's clock; also moves the lapse on. */
  grantLease(session: Session): WorkerInstant | undefined {
    const { clockReading: reading } = session;
    if (reading === undefined) {
      return undefined;
    }
    const { leaseMillis, renewMillis } = this.context.settings;
    const lapse = deadlineAfter(reading.seenAt, withMaxClockDrift(leaseMillis));
    session.lapseAt = session.lapseAt > lapse ? session.lapseAt : lapse;
    session.renewAt = deadlineAfter(this.context.now, renewMillis);
    return brandAs<WorkerInstant>(reading.worker + leaseMillis);
  }

  /** The latest instant, by the worker's clock, at which a start sent now may begin. */
  startBy(session: Session): WorkerInstant | undefined {
    const { clockReading: reading } = session;
    return reading === undefined
      ? undefined
      : brandAs<WorkerInstant>(reading.worker + this.context.settings.startTimeoutMillis);
  }

  /** Renews the leases on attached workers that are due, and with them those that soon will be. */
  renewDue(): void {
    const epoch = this.context.ownedEpoch;
    if (epoch === undefined || !this.context.authority.mayRenew) {
      return;
    }
    if (!this.isRenewalDue()) {
      return;
    }
    const soon = brandAs<Instant>(this.context.now + RENEW_TOGETHER_MILLIS);
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

  /** Detached workers on which every lease has ended. */
  lapsed(): Session[] {
    return [...this.byWorker.values()].filter(
      (session) => !session.attached && hasPassed(session.lapseAt, this.context.now),
    );
  }

  /**
   * Every member knows this epoch, so that no one renews leases of earlier ones beyond the time
   * that an owner acts unread.
   */
  epochKnown(): void {
    const { freshnessWindowMillis: freshMillis, leaseMillis } = this.context.settings;
    const lapse = deadlineAfter(this.context.now, freshMillis + withMaxClockDrift(leaseMillis));
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

  private longestEarlierLease(): Deadline {
    const { outageRenewalMillis, leaseMillis } = this.context.settings;
    return deadlineAfter(this.context.now, outageRenewalMillis + withMaxClockDrift(leaseMillis));
  }

  private refresh(session: Session): void {
    const isHeldBack =
      session.leaving || session.quarantined || session.cooldownUntil !== undefined;
    const usable = session.attached && !isHeldBack;
    this.context.fleet.setUsable(session.worker, usable);
  }
}
