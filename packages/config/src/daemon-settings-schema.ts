/** Zod schema of the daemon's settings. */

import { z } from 'zod';
import { MAX_LEASE_MILLIS } from '@bamboowell/ownership/bounds';
import {
  brandAs,
  type DataCentreId,
  type KeyId,
  type MemberId,
  type RegionId,
} from '@bamboowell/types/ids';
import { httpUrl, id, listOf, objectOf, oneOf, sha256, text, wholeNumber } from './fields.js';

const MAX_PORT = 65_535;
const MAX_MILLIS = 3_600_000;
const MAX_BODY_BYTES = 64 * 1024 * 1024;

const host = text('a host name or IP address');
/** Port 0 selects any free port. */
const port = wholeNumber(0, MAX_PORT);
const file = text('the path of a file');
const millis = wholeNumber(1, MAX_MILLIS);

const callers = objectOf({
  host: host.default('127.0.0.1'),
  port: port.default(8470),
  tls: objectOf({ certFile: file, keyFile: file }).optional(),
  maxBodyBytes: wholeNumber(1, MAX_BODY_BYTES).default(1024 * 1024),
  maxConnections: wholeNumber(1, 100_000).default(1000),
  requestMillis: millis.default(60_000),
  headerMillis: millis.default(5000),
}).refine(({ headerMillis, requestMillis }) => headerMillis <= requestMillis, {
  path: ['headerMillis'],
  error: 'at most callers.requestMillis',
});

const peers = objectOf({
  host: host.default('127.0.0.1'),
  port: port.default(8471),
  tls: objectOf({ caFile: file, certFile: file, keyFile: file }).optional(),
});

const leases = objectOf({
  leaseMillis: wholeNumber(1, MAX_LEASE_MILLIS).default(10_000),
  renewMillis: millis.default(3000),
}).refine(({ leaseMillis, renewMillis }) => renewMillis < leaseMillis, {
  path: ['renewMillis'],
  error: 'less than leases.leaseMillis',
});

/** The settings of one daemon, as written in its file. */
export const daemonSettingsSchema = objectOf({
  $schema: text('the path of the JSON Schema').optional(),
  memberId: id(brandAs<MemberId>),
  region: id(brandAs<RegionId>),
  dataCentre: id(brandAs<DataCentreId>),
  callers: callers.prefault({}),
  peers: peers.prefault({}),
  log: objectOf({ url: httpUrl(), appendsPerSecond: wholeNumber(1, 1000).default(30) }),
  vmList: objectOf({ url: httpUrl(), refreshMillis: millis.default(1000) }),
  operators: listOf(objectOf({ id: id(brandAs<KeyId>), secretHash: sha256() })).default([]),
  metrics: objectOf({ host, port: wholeNumber(1, MAX_PORT) })
    .nullable()
    .default(null),
  placement: oneOf(['best_fit', 'first_fit']).default('best_fit'),
  ordering: oneOf(['fair_share', 'first_come_first_served']).default('fair_share'),
  leases: leases.prefault({}),
});

/** Valid settings with all defaults filled in. Keys named `…Millis` are durations. */
export type DaemonSettings = z.output<typeof daemonSettingsSchema>;

/** The JSON Schema that editors use to complete and validate a settings file. */
export function daemonSettingsJsonSchema(): object {
  return z.toJSONSchema(daemonSettingsSchema, { io: 'input' });
}
