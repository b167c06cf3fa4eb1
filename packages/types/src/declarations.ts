/** The configuration that operators declare: teams, queues, keys and data centres. */

import type { DataCentreId, KeyId, QueueId, RegionId, TeamId, Version } from './ids.js';
import type { Resources } from './resources.js';

/** A team with its fair share and its upper limit. */
export interface Team {
  readonly id: TeamId;
  /** Weight in the fair share of a full fleet; at least 1. */
  readonly share: number;
  /** The most resources that the team may use across the fleet at a time. */
  readonly limit: Resources;
}

/** An API key. Only the SHA-256 of its secret is stored, in hex. */
export interface Key {
  readonly id: KeyId;
  /** The team that the key authenticates; `null` for an operator's key. */
  readonly team: TeamId | null;
  readonly secretHash: string;
  readonly withdrawn: boolean;
}

/** A queue. An open queue accepts work without a key and counts it for `team`. */
export interface Queue {
  readonly id: QueueId;
  readonly access:
    | { readonly kind: 'open'; readonly team: TeamId }
    | { readonly kind: 'teams'; readonly teams: readonly TeamId[] };
  /** Maximum number of work items that wait in the queue. */
  readonly maxWaiting: number;
}

/** A data centre of the cell and its region. Each data centre is one shard. */
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
