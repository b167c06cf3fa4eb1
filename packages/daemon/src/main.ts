#!/usr/bin/env node
/** The binary `bamboowelld`. */

import { Builtins, Cli, Command, Option } from 'clipanion';
import type { DaemonSettings } from '@bamboowell/config/daemon-settings';
import { enableEvents } from '@bamboowell/logger/logger';
import { deadlineAfter, MILLIS_PER_SECOND } from '@bamboowell/types/time';
import { buildDaemon, systemEnvironment } from './daemon.js';
import { CERTIFICATES, FRONT } from './keys.js';
import { readSettingsFile } from './settings-file.js';

/** How long requests in progress may take to finish when the daemon is asked to stop. */
const STOP_TIMEOUT_MILLIS = 30 * MILLIS_PER_SECOND;

const OK = 0;
const BAD_SETTINGS = 1;
const FAILED = 2;

/** Reads the settings. Writes one line for each problem and returns undefined if there are any. */
async function readSettings(
  file: string,
  write: (line: string) => void,
): Promise<DaemonSettings | undefined> {
  const read = await readSettingsFile(file, process.env);
  if (read.kind === 'usable') {
    return read.settings;
  }
  for (const line of read.lines) {
    write(line);
  }
  return undefined;
}

class RunCommand extends Command {
  static override paths = [Command.Default, ['run']];
  static override usage = Command.Usage({
    description: 'Run the daemon of an entry VM until SIGTERM or SIGINT.',
    examples: [['Run with a settings file', 'bamboowelld --settings /etc/bamboowelld.json']],
  });

  settings = Option.String('--settings', {
    required: true,
    description: 'The settings file, JSON.',
  });

  async execute(): Promise<number> {
    const settings = await readSettings(this.settings, (line) =>
      this.context.stderr.write(`${line}\n`),
    );
    if (settings === undefined) {
      return BAD_SETTINGS;
    }
    enableEvents(process.env.DEBUG);
    const environment = systemEnvironment(settings);
    const kernel = buildDaemon(environment);
    const stopBy = () => deadlineAfter(environment.clock.now(), STOP_TIMEOUT_MILLIS);
    try {
      await kernel.start(stopBy());
    } catch (error) {
      this.context.stderr.write(
        `the daemon did not start: ${error instanceof Error ? error.message : String(error)}\n`,
      );
      return FAILED;
    }
    const { host, port } = kernel.find(FRONT);
    this.context.stdout.write(`listening host=${host} port=${port}\n`);
    process.on('SIGHUP', () => {
      kernel.find(CERTIFICATES).post({ kind: 'reload' });
    });
    await stopSignal();
    await kernel.stop(stopBy());
    return OK;
  }
}

class CheckSettingsCommand extends Command {
  static override paths = [['check-settings']];
  static override usage = Command.Usage({
    description: 'Check a settings file and report every invalid setting.',
    examples: [
      ['Check a settings file', 'bamboowelld check-settings --settings /etc/bamboowelld.json'],
    ],
  });

  settings = Option.String('--settings', {
    required: true,
    description: 'The settings file, JSON.',
  });

  async execute(): Promise<number> {
    const settings = await readSettings(this.settings, (line) =>
      this.context.stderr.write(`${line}\n`),
    );
    if (settings !== undefined) {
      this.context.stdout.write(`${this.settings}: valid\n`);
    }
    return settings === undefined ? BAD_SETTINGS : OK;
  }
}

function stopSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGTERM', () => {
      resolve();
    });
    process.once('SIGINT', () => {
      resolve();
    });
  });
}

const cli = new Cli({
  binaryLabel: 'bamboowelld',
  binaryName: 'bamboowelld',
  binaryVersion: '0.1.0',
});
cli.register(RunCommand);
cli.register(CheckSettingsCommand);
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
process.exitCode = await cli.run(process.argv.slice(2));
if (process.exitCode !== OK) {
  process.exit();
}
