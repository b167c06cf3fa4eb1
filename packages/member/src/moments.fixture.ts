/** Moments for the tests of decisions that depend on both clocks of a process. */

import { brandAs, type Incarnation, type MemberId } from '@bamboowell/types/ids';
import type { Instant } from '@bamboowell/types/time';
import type { Moment } from './moment.js';

const START_WALL_MILLIS = 1_700_000_000_000;

/** @param suspendedMillis how long the machine was suspended before, which only the time of day shows. */
export function momentAt(millis: number, suspendedMillis = 0): Moment {
  return {
    at: brandAs<Instant>(millis),
    wallMillis: START_WALL_MILLIS + millis + suspendedMillis,
  };
}

export function memberId(name: string): MemberId {
  return brandAs<MemberId>(name);
}

export function incarnation(name: string): Incarnation {
  return brandAs<Incarnation>(name);
}
