/** What a member is told when it starts. */

import type { Incarnation, MemberId } from '@bamboowell/types/ids';
import type { Address } from '@bamboowell/types/vm';

/** What the machine gives this process. */
export interface Machine {
  /** Processor time, parts of a core. */
  readonly cores: number;
  readonly memoryMib: number;
  /** Of its link to all others, megabits a second. */
  readonly linkMbps: number;
}

export interface MemberSettings {
  readonly member: MemberId;
  readonly incarnation: Incarnation;
  readonly region: string;
  readonly machine: Machine;
  /** Where other members reach this one. */
  readonly peerAddress: Address;
  /** Longest time that a worker keeps its runs without renewal, milliseconds by its clock. */
  readonly longestLeaseMillis: number;
  /** Time that a process has between the request to stop and its end, milliseconds. */
  readonly stopMillis: number;
}
