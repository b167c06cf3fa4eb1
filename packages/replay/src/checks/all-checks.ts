/** All checks, one for each guarantee. */

import type { Observation } from '../observation.js';
import { ConfigurationInForce, Graceful, KeyOnly, NotRunTrue, OwnAnswer } from './caller-checks.js';
import type { Check, Violation } from './check.js';
import { AtMostOnce, Leaving, NoOvercommit, OnePlace, TeamLimit } from './worker-checks.js';

export function createChecks(): Check[] {
  return [
    new NoOvercommit(),
    new OnePlace(),
    new KeyOnly(),
    new TeamLimit(),
    new OwnAnswer(),
    new NotRunTrue(),
    new AtMostOnce(),
    new Leaving(),
    new Graceful(),
    new ConfigurationInForce(),
  ];
}

/** Returns the violations that all checks find in the observations. */
export function findViolations(observations: readonly Observation[]): Violation[] {
  const checks = createChecks();
  for (const check of checks) {
    for (const observation of observations) {
      check.observe(observation);
    }
    check.finish();
  }
  return checks.flatMap(({ violations }) => violations);
}
