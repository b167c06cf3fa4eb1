/** The platform's VM list over HTTP: `GET /vms` answers `{"vms": [...]}`. */

import { request } from 'undici';
import { z } from 'zod';
import type { Clock } from '@bamboowell/kernel/clock';
import type {
  Branded,
  DataCentreId,
  MemberId,
  RackId,
  RegionId,
  WorkerId,
} from '@bamboowell/types/ids';
import type { Deadline } from '@bamboowell/types/time';
import type { Vm } from '@bamboowell/types/vm';
import { VmList, type VmListing } from './vm-list.js';

/** Maximum size of a listing, bytes. */
const MAX_LISTING_BYTES = 8 * 1024 * 1024;

const HTTP_OK = 200;

function idSchema<Id extends Branded<string, string>>() {
  return z.custom<Id>((value) => typeof value === 'string' && value.length > 0);
}

const addressSchema = z.object({
  host: z.union([z.ipv4(), z.ipv6()]),
  port: z.int().min(1).max(65_535),
});

const placeSchema = {
  region: idSchema<RegionId>(),
  dataCentre: idSchema<DataCentreId>(),
  address: addressSchema,
  state: z.enum(['live', 'leaving']),
};

const vmSchema = z.discriminatedUnion('role', [
  z.object({ role: z.literal('entry'), member: idSchema<MemberId>(), ...placeSchema }),
  z.object({
    role: z.literal('worker'),
    worker: idSchema<WorkerId>(),
    rack: idSchema<RackId>(),
    ...placeSchema,
  }),
]);

/** Entries are read one by one: an odd one must not hide the others. */
const listingSchema = z.object({ vms: z.array(z.unknown()) });

/** Errors of entries that are reported, and their length: a listing may have very many. */
const MAX_REPORTED_ENTRIES = 3;
const MAX_ERROR_CHARACTERS = 300;

export class HttpVmList extends VmList {
  private readonly url: string;

  /** @param origin as in `http://10.0.0.5:7000` */
  constructor(
    origin: string,
    private readonly clock: Clock,
  ) {
    super();
    this.url = new URL('/vms', origin).href;
  }

  async list(deadline: Deadline): Promise<VmListing> {
    const abort = new AbortController();
    const alarm = this.clock.wakeAt(deadline, () => {
      abort.abort();
    });
    try {
      return await this.fetchListing(abort.signal);
    } catch (error) {
      return unavailable(error instanceof Error ? error.message : String(error));
    } finally {
      alarm.cancel();
    }
  }

  private async fetchListing(signal: AbortSignal): Promise<VmListing> {
    const response = await request(this.url, { signal });
    const body = Buffer.from(await readBounded(response.body));
    if (response.statusCode !== HTTP_OK) {
      return unavailable(`status ${response.statusCode}`);
    }
    const parsed = listingSchema.safeParse(JSON.parse(body.toString('utf8')));
    return parsed.success
      ? listingOf(parsed.data.vms)
      : unavailable(`malformed listing: ${errorOf(parsed.error)}`);
  }
}

/** A listing without any entry that can be read tells nothing, unless it is empty. */
function listingOf(entries: readonly unknown[]): VmListing {
  const vms: Vm[] = [];
  const unreadable: string[] = [];
  for (const entry of entries) {
    const parsed = vmSchema.safeParse(entry);
    if (parsed.success) {
      vms.push(parsed.data);
    } else if (unreadable.length < MAX_REPORTED_ENTRIES) {
      unreadable.push(errorOf(parsed.error));
    }
  }
  if (unreadable.length === 0) {
    return { kind: 'listed', vms };
  }
  return vms.length === 0
    ? unavailable(`no entry can be read: ${unreadable.join('; ')}`)
    : { kind: 'listed', vms, unreadable };
}

function errorOf(error: z.ZodError): string {
  const [first] = error.issues;
  return `${first?.path.join('.') ?? ''}: ${first?.message ?? ''}`.slice(0, MAX_ERROR_CHARACTERS);
}

/** Reads the whole body. Throws if it exceeds the maximum size. */
async function readBounded(body: AsyncIterable<Uint8Array>): Promise<Uint8Array> {
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of body) {
    size += chunk.byteLength;
    if (size > MAX_LISTING_BYTES) {
      throw new Error(`the listing is over ${MAX_LISTING_BYTES} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

function unavailable(detail: string): VmListing {
  return { kind: 'unavailable', detail };
}
