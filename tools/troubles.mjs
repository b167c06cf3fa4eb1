/**
 * Runs the fault injection test of members with each seed of a range and prints the broken
 * invariants: `npm run troubles -- FROM TO`, both included. With one seed, it prints the log of
 * that run as well.
 */

import { runWithFaults } from '../packages/member/dist/fault-injection.fixture.js';

const [from, to = from] = process.argv.slice(2).map(Number);
if (!Number.isInteger(from) || !Number.isInteger(to) || from > to) {
  process.stderr.write('expected one seed, or the first and the last seed of a range\n');
  process.exit(2);
}

let failures = 0;
for (let seed = from; seed <= to; seed += 1) {
  const { broken, accepted, submitted, log } = await runWithFaults(seed);
  if (from === to) {
    process.stdout.write(`${log.join('\n')}\n`);
  }
  for (const violation of broken) {
    process.stdout.write(`seed ${seed}: ${violation}\n`);
  }
  if (accepted <= submitted / 2) {
    process.stdout.write(`seed ${seed}: ${accepted} of ${submitted} accepted\n`);
  }
  failures += Number(broken.length > 0 || accepted <= submitted / 2);
}
process.stdout.write(`${to - from + 1} seeds, ${failures} with a broken promise\n`);
process.exitCode = failures === 0 ? 0 : 1;
