/** Runs the stand-in for the platform's VM list as a process. */

import { parseArgs } from 'node:util';
import { serve } from '@hono/node-server';
import { SystemClock } from '@bamboowell/kernel/clock';
import { vmListApp } from './vm-server.js';

const { values } = parseArgs({
  options: {
    host: { type: 'string', default: '127.0.0.1' },
    port: { type: 'string', default: '0' },
  },
});

const app = vmListApp(new SystemClock());

serve({ fetch: app.fetch, hostname: values.host, port: Number(values.port) }, (address) => {
  process.stdout.write(`listening host=${address.address} port=${address.port}\n`);
});

process.once('SIGTERM', () => process.exit(0));
