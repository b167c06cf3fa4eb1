/**
 * Judges from the answers of the store whether it responds, and decides when to probe it and how long to wait for
 * an append. Guards against an owner that waits for a fixed time-out of each append: after an outage of 4.2 s it
 * placed nothing for a while, and where a third of the answers was lost each loss held up all writes for 800 ms.
 * No I/O: calls, answers and times are passed in.
 */

import {
  deadlineAfter,
  hasPassed,
  later,
  type Deadline,
  type Instant,
} from '@bamboowell/types/time';

/**
 * `suspect`: a call has been unanswered for several times the usual latency. `away`: probes have gone unanswered
 * as well.
 */
export type StoreState = 'healthy' | 'suspect' | 'away';

/** Bounds of the time after which an append is repeated. */
const MIN_APPEND_TIMEOUT_MILLIS = 100;
export const MAX_APPEND_TIMEOUT_MILLIS = 800;
/** Bounds of the silence that makes the store suspect. */
const MIN_SUSPICION_MILLIS = 50;
const MAX_SUSPICION_MILLIS = 400;
/** The same before the first answer, when no latency is known. */
const INITIAL_SUSPICION_MILLIS = 200;
/** Each probe has a cost for the store: at most ten a second. */
const PROBE_INTERVAL_MILLIS = 100;
/**
 * Silence after which the store counts as away: longer than the answers of a store that has just become slow by
 * a factor of 60 from the usual 4 ms.
 */
const AWAY_SILENCE_MILLIS = 350;
/** Unanswered probes without which the store isn't away: one call may have met a lost connection. */
const AWAY_PROBES = 2;
/** Weights of a new sample in the smoothed latency and in its mean deviation, as in the retransmission timer of TCP. */
const LATENCY_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
const SUSPICION_LATENCY_FACTOR = 2;
const TIMEOUT_LATENCY_FACTOR = 3;
const DEVIATION_FACTOR = 4;
/** Each repeat without an answer waits longer than the one before, since the store may have become slow. */
const BACKOFF_FACTOR = 2;
/** A lag counts for some time: the next one of a busy process may be as long. */
const LAG_DECAY_FACTOR = 0.8;
/** A call is lost rather than slow if it has waited for this multiple of what a later probe took. */
const LOST_LATENCY_FACTOR = 4;

export class StoreHealth {
  private latencyMillis: number | undefined;
  private deviationMillis = 0;
  private repeats = 0;
  /** Since when calls have been unanswered while no other was answered. */
  private silentSince: Instant | undefined;
  private unansweredProbes = 0;
  private lagMillis = 0;
  private nextProbeAt: Deadline | undefined;

  /** How long an append that is sent now waits for its answer before it is repeated. */
  get appendTimeoutMillis(): number {
    const { latencyMillis } = this;
    if (latencyMillis === undefined) {
      return MAX_APPEND_TIMEOUT_MILLIS;
    }
    const usual = Math.max(
      MIN_APPEND_TIMEOUT_MILLIS,
      TIMEOUT_LATENCY_FACTOR * latencyMillis + DEVIATION_FACTOR * this.deviationMillis,
    );
    return Math.min(
      MAX_APPEND_TIMEOUT_MILLIS,
      usual * BACKOFF_FACTOR ** this.repeats + this.lagMillis,
    );
  }

  /** Smoothed latency of appends; undefined before the first answer. */
  get usualMillis(): number | undefined {
    return this.latencyMillis;
  }

  get probesWithoutAnswer(): number {
    return this.unansweredProbes;
  }

  /**
   * How long calls have been unanswered while no other was answered, less the time by which this process is behind:
   * an answer may have arrived that it hasn't come to yet.
   */
  silentMillis(now: Instant): number {
    return this.silentSince === undefined
      ? 0
      : Math.max(0, now - this.silentSince - this.lagMillis);
  }

  /** @param lagMillis how late a timer of this process was, observed several times a second. */
  observeLag(lagMillis: number): void {
    this.lagMillis = Math.max(lagMillis, LAG_DECAY_FACTOR * this.lagMillis);
  }

  state(now: Instant): StoreState {
    const silentMillis = this.silentMillis(now);
    if (silentMillis >= AWAY_SILENCE_MILLIS && this.unansweredProbes >= AWAY_PROBES) {
      return 'away';
    }
    return silentMillis >= this.suspicionMillis ? 'suspect' : 'healthy';
  }

  /** An append was sent, which has reached the store by `uploadedAt`: a large one takes long on a thin link. */
  sent(uploadedAt: Instant): void {
    this.silentSince ??= uploadedAt;
  }

  /** An append was answered that should have reached the store by `uploadedAt`. `waitingSince` as for `heard`. */
  answered(uploadedAt: Instant, waitingSince: Instant | undefined, now: Instant): void {
    this.observe(Math.max(0, now - uploadedAt));
    this.repeats = 0;
    this.heard(waitingSince, now);
  }

  /**
   * The store has answered something, be it that it did nothing.
   *
   * @param waitingSince by when the appends that are still unanswered have reached the store.
   */
  heard(waitingSince: Instant | undefined, now: Instant): void {
    this.silentSince = waitingSince !== undefined && waitingSince < now ? now : waitingSince;
    this.unansweredProbes = 0;
  }

  /** An append is repeated because it was not answered in time. */
  repeated(): void {
    this.repeats += 1;
  }

  /** When the store must be probed next; undefined while nothing is unanswered. */
  probeDueAt(): Deadline | undefined {
    if (this.silentSince === undefined) {
      return undefined;
    }
    const suspectAt = deadlineAfter(this.silentSince, this.suspicionMillis + this.lagMillis);
    return this.nextProbeAt === undefined ? suspectAt : later(suspectAt, this.nextProbeAt);
  }

  isProbeDue(now: Instant): boolean {
    const dueAt = this.probeDueAt();
    return dueAt !== undefined && hasPassed(dueAt, now);
  }

  probeSent(now: Instant): void {
    this.unansweredProbes += 1;
    this.nextProbeAt = deadlineAfter(now, PROBE_INTERVAL_MILLIS);
  }

  /**
   * A probe was answered. Returns whether the appends that are unanswered have met lost connections, and should be
   * repeated at once. `waitingSince` as for `heard`.
   */
  probeAnswered(probeSentAt: Instant, waitingSince: Instant | undefined, now: Instant): boolean {
    this.heard(waitingSince, now);
    return (
      waitingSince !== undefined &&
      waitingSince < probeSentAt &&
      now - waitingSince >= LOST_LATENCY_FACTOR * (now - probeSentAt)
    );
  }

  private get suspicionMillis(): number {
    const { latencyMillis } = this;
    if (latencyMillis === undefined) {
      return INITIAL_SUSPICION_MILLIS;
    }
    const millis =
      SUSPICION_LATENCY_FACTOR * latencyMillis + DEVIATION_FACTOR * this.deviationMillis;
    return Math.min(MAX_SUSPICION_MILLIS, Math.max(MIN_SUSPICION_MILLIS, millis));
  }

  private observe(millis: number): void {
    if (this.latencyMillis === undefined) {
      this.latencyMillis = millis;
      this.deviationMillis = millis / 2;
      return;
    }
    const error = millis - this.latencyMillis;
    this.latencyMillis += LATENCY_WEIGHT * error;
    this.deviationMillis += DEVIATION_WEIGHT * (Math.abs(error) - this.deviationMillis);
  }
}
