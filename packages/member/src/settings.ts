/** Settings of a member process. */

import type { Incarnation, MemberId } from '@bamboowell/types/ids';
import type { SchedulingOptions } from '@bamboowell/types/scheduling';
import type { Address } from '@bamboowell/types/vm';

/** Resources of the machine that this process may use. */
export interface Machine {
  /** Processor share, in cores. */
  readonly cores: number;
  readonly memoryMib: number;
  /** Bandwidth of the network link, megabits per second. */
  readonly linkMbps: number;
}

export interface MemberSettings {
  readonly member: MemberId;
  readonly incarnation: Incarnation;
  readonly region: string;
  readonly machine: Machine;
  /** Address at which other members connect to this one. */
  readonly peerAddress: Address;
  /** Number of free ports from that of the address on. */
  readonly peerPorts: number;
  /** A configuration counts as the latest for this long after that was last confirmed. */
  readonly configurationLifetimeMillis: number;
  /** Longest time that a worker keeps its runs without a lease renewal, by its own clock. */
  readonly longestLeaseMillis: number;
  /** How long the tasks of a gang wait for each other on workers before their run ends. */
  readonly gangAssemblyMillis: number;
  readonly scheduling: SchedulingOptions;
  /**
   * No task may be started in a data centre this long after the record that evacuates it was stored;
   * undefined where the operator's evacuations are not followed.
   */
  readonly evacuationBoundMillis: number | undefined;
  /** Grace period between the request to stop and the end of the process. */
  readonly stopMillis: number;
}
