/** Starts a program of the workspace as a process of its own. */

import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import type { Address } from '@bamboowell/types/vm';

/** Programs of the workspace, by the module that runs them. */
const PROGRAMS = {
  log: 'stand-ins/dist/log-main.js',
  vms: 'stand-ins/dist/vm-main.js',
  worker: 'stand-ins/dist/worker-main.js',
  daemon: 'daemon/dist/main.js',
} as const;

export type Program = keyof typeof PROGRAMS;

/** The module of a program, as a path. */
export function modulePath(program: Program): string {
  return fileURLToPath(new URL(`../../${PROGRAMS[program]}`, import.meta.url));
}

const LISTENING = /^listening host=(\S+) port=(\d+)$/;

export class Child {
  private constructor(
    readonly name: string,
    private readonly process: ChildProcess,
    /** The address that the program printed. */
    readonly address: Address,
    private readonly lines: string[],
  ) {}

  /**
   * Resolves once the program has printed the address that it listens on; rejects if it exits
   * before.
   */
  static async start(name: string, program: Program, args: readonly string[]): Promise<Child> {
    const child = spawn(process.execPath, [modulePath(program), ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, DEBUG: 'bamboowell:*', DEBUG_COLORS: 'no' },
    });
    const lines: string[] = [];
    createInterface({ input: child.stderr }).on('line', (line) => lines.push(line));
    const output = createInterface({ input: child.stdout });
    const address = await new Promise<Address>((resolve, reject) => {
      output.on('line', (line) => {
        const [, host, port] = LISTENING.exec(line) ?? [];
        if (host !== undefined) {
          resolve({ host, port: Number(port) });
        }
      });
      child.once('exit', (code) => {
        reject(
          new Error(
            `${name} exited with code ${String(code)} before it listened; its log: ${lines.join('\n')}`,
          ),
        );
      });
    });
    return new Child(name, child, address, lines);
  }

  /** The lines that the process has logged so far, one for each event. */
  get log(): readonly string[] {
    return this.lines;
  }

  get isRunning(): boolean {
    return this.process.exitCode === null && this.process.signalCode === null;
  }

  /** Sends SIGTERM, and resolves to the exit code. */
  async stop(): Promise<number | null> {
    return this.signal('SIGTERM');
  }

  /** Kills the process with SIGKILL. */
  async kill(): Promise<void> {
    await this.signal('SIGKILL');
  }

  /** Suspends the process until `resume`. */
  freeze(): void {
    this.process.kill('SIGSTOP');
  }

  resume(): void {
    this.process.kill('SIGCONT');
  }

  private async signal(signal: NodeJS.Signals): Promise<number | null> {
    if (!this.isRunning) {
      return this.process.exitCode;
    }
    const exited = once(this.process, 'exit');
    this.process.kill('SIGCONT');
    this.process.kill(signal);
    await exited;
    return this.process.exitCode;
  }
}
