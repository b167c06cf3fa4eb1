/** What operators declare. */

import type { DataCentreId, KeyId, QueueId, RegionId, TeamId, Version } from './ids.js';
import type { Resources } from './resources.js';

/** A team with its share of a full fleet and its upper limit. */
export interface Team {
  readonly id: TeamId;
  /** Weight of the team when everything is full; at least 1. */
  readonly share: number;
  /** The most that the team may have running across the fleet. */
  readonly limit: Resources;
}

/** A key. Only the SHA-256 of the secret is kept, in hex. */
export interface Key {
  readonly id: KeyId;
  /** The team that the key speaks for; an operator's key has none. */
  readonly team: TeamId | null;
  readonly secretHash: string;
  readonly withdrawn: boolean;
}

/** A queue. An open queue takes work without a key, for the account of `team`. */
export interface Queue {
  readonly id: QueueId;
  readonly access:
    | { readonly kind: 'open'; readonly team: TeamId }
    | { readonly kind: 'teams'; readonly teams: readonly TeamId[] };
  /** The most pieces of work that may wait in the queue. */
  readonly maxWaiting: number;
}

/** A data centre of the cell, and the region that it is in. Each is one shard. */
export interface DataCentre {
  readonly id: DataCentreId;
  readonly region: RegionId;
}

/** One change to the configuration. */
export type Change =
  | { readonly kind: 'put_team'; readonly team: Team }
  | { readonly kind: 'remove_team'; readonly id: TeamId }
  | { readonly kind: 'put_queue'; readonly queue: Queue }
  | { readonly kind: 'remove_queue'; readonly id: QueueId }
  | { readonly kind: 'put_key'; readonly key: Key }
  | { readonly kind: 'withdraw_key'; readonly id: KeyId }
  | { readonly kind: 'put_data_centre'; readonly dataCentre: DataCentre }
  | { readonly kind: 'remove_data_centre'; readonly id: DataCentreId };

/** The configuration at one version. */
export interface Configuration {
  readonly version: Version;
  readonly teams: ReadonlyMap<TeamId, Team>;
  readonly queues: ReadonlyMap<QueueId, Queue>;
  readonly keys: ReadonlyMap<KeyId, Key>;
  readonly dataCentres: ReadonlyMap<DataCentreId, DataCentre>;
}
