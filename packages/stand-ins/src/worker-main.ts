/** A worker stand-in as a process. */

import { parseArgs } from 'node:util';
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

const profile: WorkerProfile = {
  id: brandAs<WorkerId>(values.id ?? 'worker'),
  dataCentre: brandAs<DataCentreId>(values['data-centre'] ?? 'data-centre'),
  rack: brandAs<RackId>(values.rack ?? 'rack'),
  capacity: {
    millicores: Number(values.millicores),
    memoryMib: Number(values['memory-mib']),
    accelerators: Number(values.accelerators),
    slots: Number(values.slots),
  },
};

const server = new WorkerServer({
  host: values.host,
  port: Number(values.port),
  profile,
  clock: new SystemClock(),
});

process.once('SIGTERM', () => {
  void server.stop().then(() => process.exit(0));
});

const address = await server.listen();
process.stdout.write(`listening host=${address.host} port=${address.port}\n`);
