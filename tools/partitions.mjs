/**
 * Runs members as processes with jobs, cuts, freezes and starts drawn from each seed of a range and
 * prints the violated invariants: `npm run partitions -- FROM TO`, both included. The lines of a run
 * with violations are printed, and with one seed those of any. A run takes up to a minute and a half.
 */

import { runWithSeed } from '../platform/dist/disturbed-run.fixture.js';

const [from, to = from] = process.argv.slice(2).map(Number);
if (!Number.isInteger(from) || !Number.isInteger(to) || from > to) {
  process.stderr.write('expected one seed, or the first and the last seed of a range\n');
  process.exit(2);
}

let failures = 0;
for (let seed = from; seed <= to; seed += 1) {
  const { history, unfinished } = await runWithSeed(seed);
  if (from === to || history.violations.length > 0) {
    process.stdout.write(`${history.lines.join('\n')}\n`);
  }
  for (const violation of history.violations) {
    process.stdout.write(`seed ${seed}: ${violation}\n`);
  }
  if (unfinished > 0) {
    process.stdout.write(`seed ${seed}: ${unfinished} tasks not done at the end\n`);
  }
  const summary = `${history.starts} starts, ${history.lapses} lapses`;
  process.stdout.write(`seed ${seed}: ${history.violations.length} violations, ${summary}\n`);
  failures += Number(history.violations.length > 0);
}
process.stdout.write(`${to - from + 1} seeds, ${failures} with violations\n`);
process.exitCode = failures === 0 ? 0 : 1;
