/**
 * Runs the fault injection test of members with each seed of a range and prints the
 * violated invariants: `npm run troubles -- FROM TO [PROFILE]`, both included. With one seed, it
 * prints the log of that run as well. A seed also fails if at most half of the submissions of promised work are
 * accepted.
 */

import { FAULT_PROFILES, runWithFaults } from '../packages/member/dist/fault-injection.fixture.js';

const [from, to = from] = process.argv.slice(2, 4).map(Number);
const profile = FAULT_PROFILES[process.argv[4] ?? 'mixed'];
if (!Number.isInteger(from) || !Number.isInteger(to) || from > to || profile === undefined) {
  const names = Object.keys(FAULT_PROFILES).join(', ');
  process.stderr.write(`expected the first and the last seed, and a profile: ${names}\n`);
  process.exit(2);
}

let failures = 0;
for (let seed = from; seed <= to; seed += 1) {
  const { violations, accepted, submitted, log } = await runWithFaults(seed, profile);
  if (from === to) {
    process.stdout.write(`${log.join('\n')}\n`);
  }
  for (const violation of violations) {
    process.stdout.write(`seed ${seed}: ${violation}\n`);
  }
  if (accepted <= submitted / 2) {
    process.stdout.write(
      `seed ${seed}: only ${accepted} of ${submitted} promised submissions accepted\n`,
    );
  }
  failures += Number(violations.length > 0 || accepted <= submitted / 2);
}
process.stdout.write(`${to - from + 1} seeds, ${failures} failed\n`);
process.exitCode = failures === 0 ? 0 : 1;
