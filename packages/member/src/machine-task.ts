/** Logs once a second the resources that this process may use and how much of them it used. */

import type { Clock } from '@bamboowell/kernel/clock';
import { Task } from '@bamboowell/kernel/task';
import type { EventLog } from '@bamboowell/logger/logger';
import { deadlineAfter, type Deadline, type Instant } from '@bamboowell/types/time';
import type { Machine } from './settings.js';
import { ENDPOINTS, type Traffic } from './traffic.js';

/** Interval at which the figures are logged: about the duration of a change of owner. */
const FIGURES_INTERVAL_MILLIS = 1000;
/** Interval at which the lag of timers is checked. */
const TICK_INTERVAL_MILLIS = 500;
const MICROS_PER_MILLI = 1000;
const BYTES_PER_MIB = 1024 * 1024;

/** Resource usage of this process as reported by the operating system. */
export interface ProcessGauges {
  /** Processor time used since the start, microseconds. */
  readonly cpuMicros: () => number;
  /** Resident memory, bytes. */
  readonly residentBytes: () => number;
}

export interface MachineOptions {
  readonly machine: Machine;
  readonly gauges: ProcessGauges;
  readonly traffic: Traffic;
  readonly events: EventLog;
}

export interface MachineMessage {
  readonly kind: 'tick';
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
    this.scheduleTick();
  }

  protected receive({ dueAt }: MachineMessage): void {
    const now = this.clock.now();
    this.longestLagMillis = Math.max(this.longestLagMillis, now - dueAt);
    if (now - this.since >= FIGURES_INTERVAL_MILLIS) {
      this.logFigures(now);
    }
    this.scheduleTick();
  }

  private scheduleTick(): void {
    const dueAt = deadlineAfter(this.clock.now(), TICK_INTERVAL_MILLIS);
    this.postAt(dueAt, { kind: 'tick', dueAt });
  }

  private logFigures(now: Instant): void {
    const { machine, gauges, traffic, events } = this.options;
    const millis = now - this.since;
    const cpuMicros = gauges.cpuMicros();
    const counts = traffic.takeCounts();
    const bytes: Record<string, number> = {};
    for (const endpoint of ENDPOINTS) {
      bytes[`${endpoint}In`] = counts.get(endpoint)?.received ?? 0;
      bytes[`${endpoint}Out`] = counts.get(endpoint)?.sent ?? 0;
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
