/**
 * Limits how long room that is kept for gangs may hold other work up. The room of each service is kept in
 * windows, with openings between them in which whatever fits may start.
 */

import {
  deadlineAfter,
  earlier,
  hasPassed,
  later,
  type Deadline,
  type Instant,
} from '@bamboowell/types/time';
import { OVERRUN_FACTOR } from './run-times.js';
import { MAX_HELD_UP_MILLIS } from './service-use.js';

/** Longest window of a service of which little is in use, milliseconds. */
const MAX_IDLE_WINDOW_MILLIS = 10_000;
/** Longest window, milliseconds: a run whose end is foreseen wrongly may delay a gang for ever. */
const MAX_WINDOW_MILLIS = 60_000;
/** Length of an opening, milliseconds: several placement passes, and a call for advice. */
const OPENING_MILLIS = 300;

interface Window {
  /** Since when room has been kept, in this window and those before it. */
  readonly keptSince: Instant;
  readonly beganAt: Instant;
  /** When the window ends if the service is not busy until then. */
  idleEnd: Deadline;
  /** When the opening began that the window has given way to. */
  openedAt: Instant | undefined;
}

export class HoldWindows {
  private readonly windows = new Map<string, Window>();
  /** Services for whose gangs room was needed in this pass. */
  private readonly needed = new Set<string>();

  /**
   * When the window of the service began by which room may be kept now; undefined in an opening. A window may
   * be as long as room has been kept before it, so that a gang starts in the end that long runs get in the way
   * of: while much of the service is in use, or until the gang is expected to start, also if that takes twice
   * as long.
   *
   * @param startsAt when the gang was expected to start when the window began, or earlier.
   */
  windowBegin(
    service: string,
    { isBusy, startsAt }: { readonly isBusy: boolean; readonly startsAt: Deadline },
    now: Instant,
  ): Instant | undefined {
    this.needed.add(service);
    const window = this.windows.get(service);
    if (window === undefined) {
      return this.begin(service, now, now);
    }
    if (isBusy) {
      window.idleEnd = deadlineAfter(now, MAX_HELD_UP_MILLIS);
    }
    if (!hasPassed(endOf(window, startsAt), now)) {
      window.openedAt = undefined;
      return window.beganAt;
    }
    window.openedAt ??= now;
    return isOpeningOver(window.openedAt, now)
      ? this.begin(service, window.keptSince, now)
      : undefined;
  }

  /** Called after each pass. Without a gang that needs room everything may start, as in an opening. */
  endPass(now: Instant): void {
    for (const [service, window] of this.windows) {
      if (!this.needed.has(service)) {
        window.openedAt ??= now;
        if (isOpeningOver(window.openedAt, now)) {
          this.windows.delete(service);
        }
      }
    }
    this.needed.clear();
  }

  private begin(service: string, keptSince: Instant, now: Instant): Instant {
    const idleEnd = deadlineAfter(now, MAX_HELD_UP_MILLIS);
    this.windows.set(service, { keptSince, beganAt: now, idleEnd, openedAt: undefined });
    return now;
  }
}

function isOpeningOver(openedAt: Instant, now: Instant): boolean {
  return hasPassed(deadlineAfter(openedAt, OPENING_MILLIS), now);
}

function endOf({ keptSince, beganAt, idleEnd }: Window, startsAt: Deadline): Deadline {
  const longestMillis = Math.max(MAX_HELD_UP_MILLIS, beganAt - keptSince);
  const busyEnd = deadlineAfter(beganAt, Math.min(MAX_WINDOW_MILLIS, longestMillis));
  const latestStart = deadlineAfter(beganAt, Math.min(MAX_IDLE_WINDOW_MILLIS, longestMillis));
  const lateStart = deadlineAfter(beganAt, OVERRUN_FACTOR * (startsAt - beganAt));
  return earlier(
    busyEnd,
    startsAt <= latestStart ? later(idleEnd, earlier(lateStart, latestStart)) : idleEnd,
  );
}
