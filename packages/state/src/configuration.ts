/** Applies changes to a configuration. */

import { match } from 'ts-pattern';
import type { Change, Configuration, Key, Queue } from '@bamboowell/types/declarations';
import { brandAs, type TeamId, type Version } from '@bamboowell/types/ids';

export const EMPTY_CONFIGURATION: Configuration = {
  version: brandAs<Version>(0),
  teams: new Map(),
  queues: new Map(),
  keys: new Map(),
  dataCentres: new Map(),
};

/** The configuration after all changes, with the next version, or the first problem found. */
export type ChangeResult =
  | { readonly kind: 'changed'; readonly configuration: Configuration }
  | { readonly kind: 'invalid'; readonly detail: string };

/** Applies all changes or none of them. */
export function applyChanges(base: Configuration, changes: readonly Change[]): ChangeResult {
  const next = {
    version: brandAs<Version>(base.version + 1),
    teams: new Map(base.teams),
    queues: new Map(base.queues),
    keys: new Map(base.keys),
    dataCentres: new Map(base.dataCentres),
  };
  for (const change of changes) {
    applyChange(next, change);
  }
  const problem = firstProblem(next);
  return problem === undefined
    ? { kind: 'changed', configuration: next }
    : { kind: 'invalid', detail: problem };
}

type MutableConfiguration = {
  -readonly [Field in keyof Configuration]: Configuration[Field] extends ReadonlyMap<
    infer Id,
    infer Value
  >
    ? Map<Id, Value>
    : Configuration[Field];
};

function applyChange(next: MutableConfiguration, change: Change): void {
  match(change)
    .with({ kind: 'put_team' }, ({ team }) => next.teams.set(team.id, team))
    .with({ kind: 'remove_team' }, ({ id }) => next.teams.delete(id))
    .with({ kind: 'put_queue' }, ({ queue }) => next.queues.set(queue.id, queue))
    .with({ kind: 'remove_queue' }, ({ id }) => next.queues.delete(id))
    .with({ kind: 'put_key' }, ({ key }) => next.keys.set(key.id, keepWithdrawal(next, key)))
    .with({ kind: 'withdraw_key' }, ({ id }) => {
      withdraw(next, id);
    })
    .with({ kind: 'put_data_centre' }, ({ dataCentre }) =>
      next.dataCentres.set(dataCentre.id, dataCentre),
    )
    .with({ kind: 'remove_data_centre' }, ({ id }) => next.dataCentres.delete(id))
    .exhaustive();
}

/** A withdrawn key stays withdrawn under its id. */
function keepWithdrawal(next: MutableConfiguration, key: Key): Key {
  const wasWithdrawn = next.keys.get(key.id)?.withdrawn ?? false;
  return { ...key, withdrawn: key.withdrawn || wasWithdrawn };
}

function withdraw(next: MutableConfiguration, id: Key['id']): void {
  const key = next.keys.get(id);
  if (key !== undefined) {
    next.keys.set(id, { ...key, withdrawn: true });
  }
}

function firstProblem(next: Configuration): string | undefined {
  for (const queue of next.queues.values()) {
    const absent = teamsOf(queue).find((team) => !next.teams.has(team));
    if (absent !== undefined) {
      return `queue ${queue.id} names the team ${absent}, which does not exist`;
    }
  }
  for (const key of next.keys.values()) {
    if (key.team !== null && !key.withdrawn && !next.teams.has(key.team)) {
      return `key ${key.id} is for the team ${key.team}, which does not exist`;
    }
  }
  return undefined;
}

function teamsOf(queue: Queue): readonly TeamId[] {
  return queue.access.kind === 'open' ? [queue.access.team] : queue.access.teams;
}
