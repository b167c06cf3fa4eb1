/** Base class of all commands that call daemons. */

import { Command, Option, type BaseContext } from 'clipanion';
import { FolderError } from '@bamboowell/config/declarations/folder';
import type { Clock } from '@bamboowell/kernel/clock';
import { deadlineAfter, MILLIS_PER_SECOND, type Deadline } from '@bamboowell/types/time';
import { Daemons } from '../daemons.js';
import { EXIT_CODES, exitCodeOf, type ExitCode } from '../exit-code.js';
import { FailedCallError } from '../failure.js';
import { daemonUrls, keyFrom, nonNegativeNumber, UsageError } from '../inputs.js';
import { outputFor, type Output } from '../output.js';

/** The process environment that a command runs in. */
export type ProgramContext = BaseContext & {
  readonly clock: Clock;
  /** Whether standard output is a terminal. */
  readonly isTerminal: boolean;
};

export const CATEGORIES = {
  work: 'Work',
  configuration: 'Configuration',
  keys: 'Keys',
  insight: 'Insight',
} as const;

const DEFAULT_TIMEOUT_SECONDS = 10;

export abstract class DaemonCommand extends Command<ProgramContext> {
  readonly daemonAddresses = Option.Array('--daemon', [], {
    description: 'host:port of a daemon; repeat it for more (BAMBOOWELL_DAEMONS, comma-separated)',
  });
  readonly keyFile = Option.String('--key-file', {
    description: 'file that holds the key (BAMBOOWELL_KEY_FILE; or the key in BAMBOOWELL_KEY)',
  });
  readonly isJson = Option.Boolean('--json', false, { description: 'print JSON for programs' });
  readonly timeoutSeconds = Option.String('--timeout', {
    description: 'seconds to wait for the answer; 10 if left out',
    validator: nonNegativeNumber,
  });

  /** Runs the command. May throw FailedCallError, UsageError or FolderError. */
  protected abstract run(daemons: Daemons, output: Output): Promise<ExitCode>;

  override async execute(): Promise<ExitCode> {
    const output = outputFor(this.isJson, this.context);
    try {
      const { env } = this.context;
      const urls = daemonUrls(this.daemonAddresses, env);
      const key = await keyFrom(this.keyFile, env);
      return await this.run(new Daemons(urls, key, this.context.clock), output);
    } catch (error) {
      return exitCodeOfError(error, output);
    }
  }

  /** The deadline that `--timeout` sets, counted from now. */
  protected deadline(): Deadline {
    const seconds = this.timeoutSeconds ?? DEFAULT_TIMEOUT_SECONDS;
    return deadlineAfter(this.context.clock.now(), seconds * MILLIS_PER_SECOND);
  }
}

function exitCodeOfError(error: unknown, output: Output): ExitCode {
  if (error instanceof FailedCallError) {
    output.failure(error.failure);
    return exitCodeOf(error.failure.verdict);
  }
  if (error instanceof UsageError || error instanceof FolderError) {
    output.problems([`bamboowell: ${error.message}`]);
    return EXIT_CODES.usage;
  }
  throw error;
}
