/** Logs, once a second, what the machine gives this process and what of it was used. */

import type { Clock } from '@bamboowell/kernel/clock';
import { Task } from '@bamboowell/kernel/task';
import type { EventLog } from '@bamboowell/logger/logger';
import { deadlineAfter, type Deadline, type Instant } from '@bamboowell/types/time';
import type { Machine } from './settings.js';
import { ENDPOINTS, type Traffic } from './traffic.js';

/** How often the figures are logged, milliseconds: a change of owner lasts about so long. */
const FIGURES_MILLIS = 1000;
/** How often it is looked whether timers are late, milliseconds. */
const BEAT_MILLIS = 250;
const MICROS_PER_MILLI = 1000;
const BYTES_PER_MIB = 1024 * 1024;

/** What the system says of this process. */
export interface ProcessGauges {
  /** Processor time since the start, microseconds. */
  readonly cpuMicros: () => number;
  /** Memory that it holds, bytes. */
  readonly residentBytes: () => number;
}

export interface MachineOptions {
  readonly machine: Machine;
  readonly gauges: ProcessGauges;
  readonly traffic: Traffic;
  readonly events: EventLog;
}

export interface MachineMessage {
  readonly kind: 'beat';
  readonly dueAt: Deadline;
}

export class MachineTask extends Task<MachineMessage> {
  private since: Instant;
  private lastCpuMicros = 0;
  private longestLagMillis = 0;

  constructor(
    private readonly options: MachineOptions,
    clock: Clock,
  ) {
    super('machine', clock);
    this.since = clock.now();
  }

  protected override onStart(): void {
    this.lastCpuMicros = this.options.gauges.cpuMicros();
    this.beatLater();
  }

  protected receive({ dueAt }: MachineMessage): void {
    const now = this.clock.now();
    this.longestLagMillis = Math.max(this.longestLagMillis, now - dueAt);
    if (now - this.since >= FIGURES_MILLIS) {
      this.tell(now);
    }
    this.beatLater();
  }

  private beatLater(): void {
    const dueAt = deadlineAfter(this.clock.now(), BEAT_MILLIS);
    this.postAt(dueAt, { kind: 'beat', dueAt });
  }

  private tell(now: Instant): void {
    const { machine, gauges, traffic, events } = this.options;
    const millis = now - this.since;
    const cpuMicros = gauges.cpuMicros();
    const volumes = traffic.take();
    const bytes: Record<string, number> = {};
    for (const partner of ENDPOINTS) {
      bytes[`${partner}In`] = volumes.get(partner)?.received ?? 0;
      bytes[`${partner}Out`] = volumes.get(partner)?.sent ?? 0;
    }
    events.event('member.figures', {
      millis: Math.round(millis),
      cores: machine.cores,
      coresUsed: rounded((cpuMicros - this.lastCpuMicros) / MICROS_PER_MILLI / millis),
      lagMillis: Math.round(this.longestLagMillis),
      memoryMib: machine.memoryMib,
      memoryUsedMib: Math.round(gauges.residentBytes() / BYTES_PER_MIB),
      linkMbps: machine.linkMbps,
      ...bytes,
    });
    this.since = now;
    this.lastCpuMicros = cpuMicros;
    this.longestLagMillis = 0;
  }
}

function rounded(value: number): number {
  return Math.round(value * 1000) / 1000;
}
