/** Exports a configuration as declarations. */

import type { Configuration, Queue, Team } from '@bamboowell/types/declarations';
import type { DeclarationsFile } from './parse.js';
import { normalisedQueue } from './plan.js';
import { MIB_PER_GIB, MILLICORES_PER_CORE } from './schema.js';

/**
 * Returns files that declare the teams, queues and data centres of a configuration. Planning these
 * declarations against the same configuration gives no changes. Keys are left out.
 */
export function exportDeclarations(configuration: Configuration): DeclarationsFile[] {
  return [
    fileOf('teams.json', { teams: sorted(configuration.teams).map(declaredTeam) }),
    fileOf('queues.json', { queues: sorted(configuration.queues).map(declaredQueue) }),
    fileOf('data-centres.json', { dataCentres: sorted(configuration.dataCentres) }),
  ];
}

function fileOf(name: string, content: object): DeclarationsFile {
  return { name, text: `${JSON.stringify(content, undefined, 2)}\n` };
}

function sorted<Item>(items: ReadonlyMap<string, Item>): Item[] {
  return [...items].sort(([left], [right]) => (left < right ? -1 : 1)).map(([, item]) => item);
}

function declaredTeam({ id, share, limit }: Team) {
  return {
    id,
    share,
    limit: {
      cores: limit.millicores / MILLICORES_PER_CORE,
      memoryGib: limit.memoryMib / MIB_PER_GIB,
      accelerators: limit.accelerators,
      slots: limit.slots,
    },
  };
}

function declaredQueue(queue: Queue) {
  const { id, access, maxWaiting } = normalisedQueue(queue);
  return access.kind === 'open'
    ? { id, openFor: access.team, maxWaiting }
    : { id, teams: access.teams, maxWaiting };
}
