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

const listingSchema = z.object({ vms: z.array(vmSchema) });

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
      ? { kind: 'listed', vms: parsed.data.vms }
      : unavailable(`malformed listing: ${z.prettifyError(parsed.error)}`);
  }
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
