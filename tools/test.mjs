/**
 * Runs all tests and prints the failures. Failures of tests that KNOWN-RED.txt lists are printed
 * but don't count. The tests that start real processes run one file at a time, because they need
 * the machine for themselves.
 */

import { spawn } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { createInterface } from 'node:readline';

const AVA = new URL('../node_modules/ava/entrypoints/cli.mjs', import.meta.url).pathname;
const RUNS = [
  ['packages/!(demo)/dist/**/*.test.js', 'platform/dist/**/*.test.js'],
  ['packages/demo/dist/**/*.test.js', '--concurrency', '1'],
];

/** Titles of tests that are known to fail: the first field of each entry in KNOWN-RED.txt. */
function knownFailures() {
  const lines = readFileSync(new URL('../KNOWN-RED.txt', import.meta.url), 'utf8').split('\n');
  const entries = lines.filter((line) => line.trim() !== '' && !line.startsWith('#'));
  return entries.map((line) => line.split('|')[0].trim());
}

/** Runs ava and collects the titles that passed and failed, from its TAP output. */
async function runAva(args, result) {
  const child = spawn(process.execPath, [AVA, '--tap', ...args], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const exited = new Promise((resolve) => child.once('exit', resolve));
  let isFailure = false;
  for await (const line of createInterface({ input: child.stdout })) {
    const [, not, title] = /^(not )?ok \d+ - (.*)$/.exec(line) ?? [];
    if (title !== undefined) {
      isFailure = not !== undefined;
      (isFailure ? result.failed : result.passed).push(title);
    }
    if (isFailure || line.startsWith('Bail out')) {
      process.stdout.write(`${line}\n`);
    }
  }
  const code = await exited;
  result.crashed ||= code !== 0 && result.failed.length === 0;
}

const result = { passed: [], failed: [], crashed: false };
for (const args of RUNS) {
  await runAva(args, result);
}
const expected = knownFailures();
const isKnown = (title) => expected.some((entry) => title.endsWith(entry));
const known = result.failed.filter(isKnown);
const failed = result.failed.filter((title) => !isKnown(title));
for (const title of known) {
  process.stdout.write(`known red, passed over: ${title}\n`);
}
for (const title of failed) {
  process.stdout.write(`failed: ${title}\n`);
}
process.stdout.write(`${result.passed.length} passed, ${failed.length} failed\n`);
const hasRun = result.passed.length > 0 && !result.crashed;
process.exitCode = failed.length === 0 && hasRun ? 0 : 1;
