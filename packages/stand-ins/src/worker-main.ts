/** Runs a worker stand-in as a process. */

import { parseArgs } from 'node:util';
import { z } from 'zod';
import { SystemClock } from '@bamboowell/kernel/clock';
import { brandAs, type DataCentreId, type RackId, type WorkerId } from '@bamboowell/types/ids';
import type { WorkerProfile } from '@bamboowell/types/work';
import { WorkerServer } from './worker-server.js';

const { values } = parseArgs({
  options: {
    id: { type: 'string' },
    'data-centre': { type: 'string' },
    rack: { type: 'string' },
    host: { type: 'string', default: '127.0.0.1' },
    port: { type: 'string', default: '0' },
    millicores: { type: 'string', default: '64000' },
    'memory-mib': { type: 'string', default: '131072' },
    accelerators: { type: 'string', default: '0' },
    slots: { type: 'string', default: '8' },
  },
});

const number = z.coerce.number().int().nonnegative();

const settings = z
  .object({
    id: z.string().min(1),
    'data-centre': z.string().min(1),
    rack: z.string().min(1),
    host: z.string(),
    port: number.max(65535),
    millicores: number,
    'memory-mib': number,
    accelerators: number,
    slots: number,
  })
  .parse(values);

const profile: WorkerProfile = {
  id: brandAs<WorkerId>(settings.id),
  dataCentre: brandAs<DataCentreId>(settings['data-centre']),
  rack: brandAs<RackId>(settings.rack),
  capacity: {
    millicores: settings.millicores,
    memoryMib: settings['memory-mib'],
    accelerators: settings.accelerators,
    slots: settings.slots,
  },
};

const server = new WorkerServer({
  host: settings.host,
  port: settings.port,
  profile,
  clock: new SystemClock(),
});

process.once('SIGTERM', () => {
  void server.stop().then(() => process.exit(0));
});

const address = await server.listen();
process.stdout.write(`listening host=${address.host} port=${address.port}\n`);
