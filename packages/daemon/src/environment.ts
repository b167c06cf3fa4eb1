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
  /** Returns a unique string of letters and digits. */
  readonly unique: () => string;
}

/** A writer id for log records that no other task has used. */
export function newWriterId(environment: Environment): WriterId {
  const { settings, incarnation, unique } = environment;
  return brandAs<WriterId>(`${settings.memberId}/${incarnation}/${unique()}`);
}
