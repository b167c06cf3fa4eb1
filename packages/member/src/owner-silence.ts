/**
 * When the silence of a connection between members makes a member suspect the owner, and when it counts as lost.
 * Guards against two faults: work without an owner for longer than needed, and a claim beside an owner that is
 * slow. An owner whose timers are late by up to 800 ms, or that stands still for as long, is silent for no more
 * than that and one ping interval.
 */

import type { KeepAliveTimes } from '@bamboowell/wire/keep-alive';

/** A member sends a ping at least this often. */
const PING_INTERVAL_MILLIS = 200;
/** The pause of a slow owner, one ping interval, and 50 ms for the way. */
export const SILENCE_TIMEOUT_MILLIS = 1050;
/**
 * The first of the two reads of the work log is made after this. The second is due when the silence is long
 * enough, so that the wait between the two passes meanwhile.
 */
export const SUSPICION_MILLIS = 650;

export const MEMBER_KEEP_ALIVE: KeepAliveTimes = {
  pingMillis: PING_INTERVAL_MILLIS,
  silenceMillis: SILENCE_TIMEOUT_MILLIS,
  suspicionMillis: SUSPICION_MILLIS,
};
