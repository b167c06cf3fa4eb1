/** A connection whose traffic can be stopped while its socket stays open. */

import { TcpConnection } from '@bamboowell/wire/tcp-connection';

export class WorkerConnection extends TcpConnection {
  private held: Buffer[] | undefined;

  /** Holds back what is sent until `resumeTraffic`. */
  holdWrites(): void {
    this.held ??= [];
  }

  /** Holds back what is sent, and reads nothing, until `resumeTraffic`. */
  suspendTraffic(): void {
    this.holdWrites();
    this.pause();
  }

  /** Sends what was held back and reads again. */
  resumeTraffic(): void {
    const held = this.held ?? [];
    this.held = undefined;
    for (const frame of held) {
      super.write(frame);
    }
    this.resume();
  }

  protected override write(frame: Buffer): void {
    if (this.held === undefined) {
      super.write(frame);
    } else {
      this.held.push(frame);
    }
  }
}
