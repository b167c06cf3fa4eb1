/**
 * Plays seeds of the emulated troubles of members and prints what they broke:
 * `npm run troubles -- FROM TO`, both included. With one seed it prints that seed's log as well.
 */

import { runWithFaults } from '../packages/member/dist/fault-injection.fixture.js';

const [from, to = from] = process.argv.slice(2).map(Number);
if (!Number.isInteger(from) || !Number.isInteger(to) || from > to) {
  process.stderr.write('expected two seeds, the first and the last, or one\n');
  process.exit(2);
}

let failures = 0;
for (let seed = from; seed <= to; seed += 1) {
  const { broken, accepted, submitted, log } = await runWithFaults(seed);
  if (from === to) {
    process.stdout.write(`${log.join('\n')}\n`);
  }
  for (const promise of broken) {
    process.stdout.write(`seed ${seed}: ${promise}\n`);
  }
  if (accepted <= submitted / 2) {
    process.stdout.write(`seed ${seed}: ${accepted} of ${submitted} accepted\n`);
  }
  failures += Number(broken.length > 0 || accepted <= submitted / 2);
}
process.stdout.write(`${to - from + 1} seeds, ${failures} with a broken promise\n`);
process.exitCode = failures === 0 ? 0 : 1;
