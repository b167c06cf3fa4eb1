#!/usr/bin/env node
/** The `bamboowell` binary. */

import { isatty } from 'node:tty';
import { SystemClock } from '@bamboowell/kernel/clock';
import { runProgram } from './program.js';

process.exitCode = await runProgram(process.argv.slice(2), {
  env: process.env,
  stdin: process.stdin,
  stdout: process.stdout,
  stderr: process.stderr,
  colorDepth: 1,
  clock: new SystemClock(),
  isTerminal: isatty(process.stdout.fd),
});
