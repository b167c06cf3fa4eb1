/** Describes configuration changes in text. */

import { match } from 'ts-pattern';
import type {
  Change,
  Configuration,
  DataCentre,
  Key,
  Queue,
  Team,
} from '@bamboowell/types/declarations';
import type { Resources } from '@bamboowell/types/resources';
import { normalisedQueue } from './plan.js';
import { MIB_PER_GIB, MILLICORES_PER_CORE } from './schema.js';

/** The properties of an item as printed, by name. */
type Properties = Readonly<Record<string, string>>;

/**
 * Returns one line for a new (`+`) or removed (`-`) item, and for a changed item (`~`) one line for
 * each property that differs from `current`.
 */
export function describeChange(change: Change, current: Configuration): string[] {
  return match(change)
    .with({ kind: 'put_team' }, ({ team }) =>
      describePut(`team ${team.id}`, current.teams.get(team.id), team, propertiesOfTeam),
    )
    .with({ kind: 'put_queue' }, ({ queue }) =>
      describePut(`queue ${queue.id}`, current.queues.get(queue.id), queue, propertiesOfQueue),
    )
    .with({ kind: 'put_data_centre' }, ({ dataCentre }) =>
      describePut(
        `data centre ${dataCentre.id}`,
        current.dataCentres.get(dataCentre.id),
        dataCentre,
        propertiesOfDataCentre,
      ),
    )
    .with({ kind: 'put_key' }, ({ key }) =>
      describePut(`key ${key.id}`, current.keys.get(key.id), key, propertiesOfKey),
    )
    .with({ kind: 'remove_team' }, ({ id }) => [`- team ${id}`])
    .with({ kind: 'remove_queue' }, ({ id }) => [`- queue ${id}`])
    .with({ kind: 'remove_data_centre' }, ({ id }) => [`- data centre ${id}`])
    .with({ kind: 'withdraw_key' }, ({ id }) => [`- key ${id}`])
    .exhaustive();
}

function describePut<Item>(
  subject: string,
  before: Item | undefined,
  after: Item,
  propertiesOf: (item: Item) => Properties,
): string[] {
  const wanted = Object.entries(propertiesOf(after));
  if (before === undefined) {
    return [`+ ${subject}: ${wanted.map(([name, value]) => `${name} ${value}`).join(', ')}`];
  }
  const previous = propertiesOf(before);
  return wanted
    .filter(([name, value]) => previous[name] !== value)
    .map(([name, value]) => `~ ${subject}: ${name} ${previous[name] ?? 'none'} -> ${value}`);
}

function propertiesOfTeam({ share, limit }: Team): Properties {
  return { share: String(share), limit: describeResources(limit) };
}

function propertiesOfQueue(queue: Queue): Properties {
  const { access, maxWaiting } = normalisedQueue(queue);
  const users = access.kind === 'open' ? `all, for ${access.team}` : `[${access.teams.join(' ')}]`;
  return { 'open to': users, 'max waiting': String(maxWaiting) };
}

function propertiesOfDataCentre({ region }: DataCentre): Properties {
  return { region };
}

function propertiesOfKey({ team, withdrawn }: Key): Properties {
  return { for: team === null ? 'operators' : `team ${team}`, withdrawn: withdrawn ? 'yes' : 'no' };
}

/** Formats resources as in `12.5 cores, 64 GiB`. Zeros are left out. */
export function describeResources(amount: Resources): string {
  const parts: [number, string][] = [
    [amount.millicores / MILLICORES_PER_CORE, 'cores'],
    [amount.memoryMib / MIB_PER_GIB, 'GiB'],
    [amount.accelerators, 'accelerators'],
    [amount.slots, 'slots'],
  ];
  const texts = parts.filter(([size]) => size > 0).map(([size, unit]) => `${size} ${unit}`);
  return texts.length === 0 ? 'nothing' : texts.join(', ');
}
