/** Finds the queue of a path and the team of a key in one version of the configuration. */

import type { TeamId } from '@bamboowell/types/ids';
import type { JobConfiguration, JobQueue } from '@bamboowell/types/job';

export interface Route {
  readonly queue: JobQueue;
  /** The path after the queue's prefix. */
  readonly rest: string;
}

export class Routes {
  private readonly byHost = new Map<string, JobQueue[]>();
  private readonly teams = new Map<string, TeamId>();

  constructor(readonly configuration: JobConfiguration) {
    for (const queue of configuration.queues) {
      const queues = this.byHost.get(queue.host) ?? [];
      queues.push(queue);
      this.byHost.set(queue.host, queues);
    }
    for (const queues of this.byHost.values()) {
      queues.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    }
    for (const team of configuration.teams) {
      team.keys.forEach((key) => this.teams.set(key, team.id));
    }
  }

  /** Returns the queue with the longest matching prefix. */
  route(host: string, path: string): Route | undefined {
    const queue = this.byHost.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
    return queue === undefined ? undefined : { queue, rest: path.slice(queue.pathPrefix.length) };
  }

  teamOf(key: string): TeamId | undefined {
    return this.teams.get(key);
  }
}
