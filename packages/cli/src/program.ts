/** The command line program with all its commands. */

import { Builtins, Cli, type Command } from 'clipanion';
import { BreakdownCommand } from './commands/breakdown.js';
import { ApplyCommand, DiffCommand, ExportCommand, PlanCommand } from './commands/configuration.js';
import type { ProgramContext } from './commands/daemon-command.js';
import { ExplainCommand } from './commands/explain.js';
import { KeyGrantCommand, KeyListCommand, KeyWithdrawCommand } from './commands/keys.js';
import { StatusCommand } from './commands/status.js';
import {
  CallCommand,
  SubmitBatchCommand,
  SubmitGangCommand,
  SubmitServiceCommand,
} from './commands/submit.js';
import { CancelCommand, GetCommand, WatchCommand, WhyCommand } from './commands/work.js';
import { EXIT_CODES } from './exit-code.js';
import { helpText, isHelpRequested, commandName, usageProblem } from './help.js';

export const VERSION = '0.1.0';

const COMMANDS = [
  Builtins.VersionCommand,
  PlanCommand,
  DiffCommand,
  ApplyCommand,
  ExportCommand,
  KeyGrantCommand,
  KeyWithdrawCommand,
  KeyListCommand,
  SubmitServiceCommand,
  SubmitBatchCommand,
  SubmitGangCommand,
  CallCommand,
  GetCommand,
  WatchCommand,
  CancelCommand,
  StatusCommand,
  WhyCommand,
  ExplainCommand,
  BreakdownCommand,
];

function createCli(): Cli<ProgramContext> {
  const cli = new Cli<ProgramContext>({
    binaryLabel: 'bamboowell',
    binaryName: 'bamboowell',
    binaryVersion: VERSION,
    enableColors: false,
  });
  for (const command of COMMANDS) {
    cli.register(command);
  }
  return cli;
}

/** The names of all commands, such as `key grant`. */
export function commandNames(): string[] {
  return createCli().definitions().map(commandName);
}

/** Runs a command and returns its exit code. Reports wrong usage on standard error. */
export async function runProgram(
  args: readonly string[],
  context: ProgramContext,
): Promise<number> {
  const cli = createCli();
  if (isHelpRequested(args)) {
    context.stdout.write(helpText(cli.definitions(), args));
    return EXIT_CODES.done;
  }
  const command = parseCommand(cli, args, context);
  return command === undefined ? EXIT_CODES.usage : cli.run(command, context);
}

/** Parses the command. Reports wrong usage and returns undefined if that fails. */
function parseCommand(
  cli: Cli<ProgramContext>,
  args: readonly string[],
  context: ProgramContext,
): Command<ProgramContext> | undefined {
  try {
    return cli.process([...args], context);
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    context.stderr.write(usageProblem(cli.definitions(), args, message));
    return undefined;
  }
}
