/** A connection that can be made to fall silent while its socket stays open. */

import { TcpConnection } from '@bamboowell/wire/tcp-connection';

export class WorkerConnection extends TcpConnection {
  private held: Buffer[] | undefined;

  /** Sends nothing until `wake`. */
  holdWrites(): void {
    this.held ??= [];
  }

  /** Sends and reads nothing until `wake`. */
  suspendTraffic(): void {
    this.holdWrites();
    this.pause();
  }

  /** Sends what was held back and reads on. */
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
