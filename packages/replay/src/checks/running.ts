/** What runs at the moment, as far as was seen. */

import type { Observation, Seen } from '../observation.js';

export class Running {
  private readonly byAttempt = new Map<string, Seen<'run'>>();

  see(observation: Observation): void {
    if (observation.saw === 'run') {
      this.byAttempt.set(observation.attempt, observation);
    } else if (observation.saw === 'run_ended') {
      this.byAttempt.delete(observation.attempt);
    }
  }

  where(matches: (run: Seen<'run'>) => boolean): Seen<'run'>[] {
    return [...this.byAttempt.values()].filter(matches);
  }
}
