/** Clock, log and VM list of one simulated process. What they deliver passes through its gate. */

import { Clock, type Alarm } from '@bamboowell/kernel/clock';
import { Log, type LogAppendResult, type Page } from '@bamboowell/log/log';
import { VmList, type VmListing } from '@bamboowell/membership/vm-list';
import type { Offset, StreamName } from '@bamboowell/types/ids';
import type { Deadline, Instant } from '@bamboowell/types/time';
import type { Gate } from './gate.js';

/** Time advances while the process is paused; alarms that come due then wait until it resumes. */
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
    private readonly isPartitioned: () => boolean,
  ) {
    super();
  }

  append(stream: StreamName, body: string, deadline: Deadline): Promise<LogAppendResult> {
    return this.gate.deliver(this.appendUnlessPartitioned(stream, body, deadline));
  }

  read(stream: StreamName, from: Offset, waitUntil: Deadline): Promise<Page> {
    return this.gate.deliver(this.readUnlessPartitioned(stream, from, waitUntil));
  }

  /** A request or an answer is lost if the connection is cut when it is sent. */
  private async appendUnlessPartitioned(
    stream: StreamName,
    body: string,
    deadline: Deadline,
  ): Promise<LogAppendResult> {
    const appended = this.isPartitioned()
      ? undefined
      : await this.log.append(stream, body, deadline);
    if (appended !== undefined && !this.isPartitioned()) {
      return appended;
    }
    await this.clock.sleepUntil(deadline);
    return { kind: 'unknown', detail: 'the connection between the daemon and the log is cut' };
  }

  private async readUnlessPartitioned(
    stream: StreamName,
    from: Offset,
    waitUntil: Deadline,
  ): Promise<Page> {
    const page = this.isPartitioned() ? undefined : await this.log.read(stream, from, waitUntil);
    if (page !== undefined && !this.isPartitioned()) {
      return page;
    }
    await this.clock.sleepUntil(waitUntil);
    return { kind: 'unavailable', detail: 'the connection between the daemon and the log is cut' };
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

export class GatedVmList extends VmList {
  constructor(
    private readonly listVms: () => VmListing,
    private readonly gate: Gate,
  ) {
    super();
  }

  list(): Promise<VmListing> {
    return this.gate.deliver(Promise.resolve(this.listVms()));
  }
}
