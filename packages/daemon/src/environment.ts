/** What all services of one daemon process are created with. */

import type { Clock } from '@bamboowell/kernel/clock';
import { brandAs, type Incarnation, type WriterId } from '@bamboowell/types/ids';
import type { DaemonSettings } from '@bamboowell/config/daemon-settings';

export interface Environment {
  readonly settings: DaemonSettings;
  readonly clock: Clock;
  readonly incarnation: Incarnation;
  /** Returns a number from 0 up to, not including, 1. */
  readonly random: () => number;
  /** Returns a string of letters and digits that no other call returns. */
  readonly unique: () => string;
}

/** A new writer id for log records; no other task uses the same one. */
export function newWriterId(environment: Environment): WriterId {
  const { settings, incarnation, unique } = environment;
  return brandAs<WriterId>(`${settings.memberId}/${incarnation}/${unique()}`);
}
