/** An in-memory log whose appends take a fixed time on the injected clock. */

import type { Clock } from '@bamboowell/kernel/clock';
import { Log, type LogAppendResult, type Page } from '@bamboowell/log/log';
import { MemoryLog } from '@bamboowell/log/memory-log';
import type { Offset, StreamName } from '@bamboowell/types/ids';
import { deadlineAfter, type Deadline } from '@bamboowell/types/time';

export class DelayedLog extends Log {
  private readonly memory: MemoryLog;

  constructor(
    private readonly clock: Clock,
    private readonly latencyMillis: number,
  ) {
    super();
    this.memory = new MemoryLog(clock);
  }

  async append(stream: StreamName, body: string, deadline: Deadline): Promise<LogAppendResult> {
    const appended = await this.memory.append(stream, body, deadline);
    await this.clock.sleepUntil(deadlineAfter(this.clock.now(), this.latencyMillis));
    return appended;
  }

  read(stream: StreamName, from: Offset, waitUntil: Deadline): Promise<Page> {
    return this.memory.read(stream, from, waitUntil);
  }

  close(): Promise<void> {
    return this.memory.close();
  }
}
