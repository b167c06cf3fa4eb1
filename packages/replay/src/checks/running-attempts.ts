/** The attempts that are running, according to the observations so far. */

import type { Observation, ObservationOf } from '../observation.js';

export class RunningAttempts {
  private readonly byAttempt = new Map<string, ObservationOf<'run'>>();

  observe(observation: Observation): void {
    if (observation.saw === 'run') {
      this.byAttempt.set(observation.attempt, observation);
    } else if (observation.saw === 'run_ended') {
      this.byAttempt.delete(observation.attempt);
    }
  }

  matching(matches: (run: ObservationOf<'run'>) => boolean): ObservationOf<'run'>[] {
    return [...this.byAttempt.values()].filter(matches);
  }
}
