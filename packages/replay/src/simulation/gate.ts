/**
 * Stands between a simulated process and everything that reaches it. While the process is paused,
 * callbacks are deferred; once it is killed, they are dropped.
 */

export class Gate {
  private deferred: (() => void)[] = [];
  private state: 'open' | 'paused' | 'killed' = 'open';

  get isOpen(): boolean {
    return this.state === 'open';
  }

  /** Runs the callback at once, when the process resumes, or never if it is killed. */
  run(callback: () => void): void {
    if (this.state === 'open') {
      callback();
    } else if (this.state === 'paused') {
      this.deferred.push(callback);
    }
  }

  pause(): void {
    this.state = this.state === 'open' ? 'paused' : this.state;
  }

  resume(): void {
    if (this.state !== 'paused') {
      return;
    }
    this.state = 'open';
    for (const callback of this.deferred.splice(0)) {
      this.run(callback);
    }
  }

  kill(): void {
    this.state = 'killed';
    this.deferred = [];
  }

  /** Resolves to the promise's value as soon as the process may run. */
  deliver<Value>(promise: Promise<Value>): Promise<Value> {
    return new Promise((resolve) => {
      void promise.then((value) => {
        this.run(() => {
          resolve(value);
        });
      });
    });
  }
}
