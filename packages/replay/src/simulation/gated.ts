/** The clock, the log and the VM list as one process sees them through its gate. */

import { Clock, type Alarm } from '@bamboowell/kernel/clock';
import { Log, type LogAppendResult, type Page } from '@bamboowell/log/log';
import { VmList, type VmListing } from '@bamboowell/membership/vm-list';
import type { Offset, StreamName } from '@bamboowell/types/ids';
import type { Deadline, Instant } from '@bamboowell/types/time';
import type { Gate } from './gate.js';

/** Goes on while the process is paused; its alarms wait. */
export class GatedClock extends Clock {
  constructor(
    private readonly clock: Clock,
    private readonly gate: Gate,
  ) {
    super();
  }

  now(): Instant {
    return this.clock.now();
  }

  wakeAt(deadline: Deadline, wake: () => void): Alarm {
    let isCancelled = false;
    const alarm = this.clock.wakeAt(deadline, () => {
      this.gate.run(() => {
        if (!isCancelled) {
          wake();
        }
      });
    });
    return {
      cancel: () => {
        isCancelled = true;
        alarm.cancel();
      },
    };
  }
}

export class GatedLog extends Log {
  constructor(
    private readonly log: Log,
    private readonly gate: Gate,
    private readonly clock: Clock,
    private readonly isCut: () => boolean,
  ) {
    super();
  }

  append(stream: StreamName, body: string, deadline: Deadline): Promise<LogAppendResult> {
    return this.gate.deliver(this.appendUnlessCut(stream, body, deadline));
  }

  read(stream: StreamName, from: Offset, waitUntil: Deadline): Promise<Page> {
    return this.gate.deliver(this.readUnlessCut(stream, from, waitUntil));
  }

  /** A request or an answer that meets the cut is lost. */
  private async appendUnlessCut(
    stream: StreamName,
    body: string,
    deadline: Deadline,
  ): Promise<LogAppendResult> {
    const appended = this.isCut() ? undefined : await this.log.append(stream, body, deadline);
    if (appended !== undefined && !this.isCut()) {
      return appended;
    }
    await this.clock.sleepUntil(deadline);
    return { kind: 'unknown', detail: 'nothing passes between the daemon and the log' };
  }

  private async readUnlessCut(
    stream: StreamName,
    from: Offset,
    waitUntil: Deadline,
  ): Promise<Page> {
    const page = this.isCut() ? undefined : await this.log.read(stream, from, waitUntil);
    if (page !== undefined && !this.isCut()) {
      return page;
    }
    await this.clock.sleepUntil(waitUntil);
    return { kind: 'unavailable', detail: 'nothing passes between the daemon and the log' };
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

export class GatedVmList extends VmList {
  constructor(
    private readonly show: () => VmListing,
    private readonly gate: Gate,
  ) {
    super();
  }

  list(): Promise<VmListing> {
    return this.gate.deliver(Promise.resolve(this.show()));
  }
}
