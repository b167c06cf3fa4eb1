/** Computes the changes that bring a configuration to the declared state. */

import { isDeepStrictEqual } from 'node:util';
import type { Change, Configuration, Queue } from '@bamboowell/types/declarations';
import type { Declarations } from './parse.js';

/**
 * Returns the changes that make `current` equal to `wanted`; none if it is equal already. Keys are
 * never changed.
 */
export function planChanges(current: Configuration, wanted: Declarations): Change[] {
  const teams = differenceOf(current.teams, wanted.teams);
  const queues = differenceOf(normalised(current.queues), normalised(wanted.queues));
  const dataCentres = differenceOf(current.dataCentres, wanted.dataCentres);
  return [
    ...dataCentres.put.map((dataCentre) => ({ kind: 'put_data_centre', dataCentre }) as const),
    ...teams.put.map((team) => ({ kind: 'put_team', team }) as const),
    ...queues.put.map((queue) => ({ kind: 'put_queue', queue }) as const),
    ...queues.removed.map((id) => ({ kind: 'remove_queue', id }) as const),
    ...teams.removed.map((id) => ({ kind: 'remove_team', id }) as const),
    ...dataCentres.removed.map((id) => ({ kind: 'remove_data_centre', id }) as const),
  ];
}

interface Difference<Id, Item> {
  readonly put: readonly Item[];
  readonly removed: readonly Id[];
}

function differenceOf<Id, Item>(
  current: ReadonlyMap<Id, Item>,
  wanted: ReadonlyMap<Id, Item>,
): Difference<Id, Item> {
  return {
    put: [...wanted]
      .filter(([id, item]) => !isDeepStrictEqual(current.get(id), item))
      .map(([, item]) => item),
    removed: [...current.keys()].filter((id) => !wanted.has(id)),
  };
}

function normalised(queues: ReadonlyMap<Queue['id'], Queue>): Map<Queue['id'], Queue> {
  return new Map([...queues].map(([id, queue]) => [id, normalisedQueue(queue)]));
}

/** Returns the queue with its teams sorted and without duplicates, as their order has no meaning. */
export function normalisedQueue(queue: Queue): Queue {
  const { access } = queue;
  return access.kind === 'open'
    ? queue
    : { ...queue, access: { kind: 'teams', teams: [...new Set(access.teams)].sort() } };
}
