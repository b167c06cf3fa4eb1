/** Holds back what reaches a process while it is paused, and for good once it was killed. */

export class Gate {
  private held: (() => void)[] = [];
  private state: 'open' | 'paused' | 'killed' = 'open';

  get isOpen(): boolean {
    return this.state === 'open';
  }

  /** Runs it now, after the pause, or never. */
  run(run: () => void): void {
    if (this.state === 'open') {
      run();
    } else if (this.state === 'paused') {
      this.held.push(run);
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
    for (const run of this.held.splice(0)) {
      this.run(run);
    }
  }

  kill(): void {
    this.state = 'killed';
    this.held = [];
  }

  /** Hands the value over when the gate is open. */
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
