/**
 * Runs the stand-in for the platform's log as a process. Options: --port, --retain-entries,
 * --retain-millis.
 */

import { parseArgs } from 'node:util';
import { z } from 'zod';
import { LogServer } from './log-server.js';

const settingsSchema = z.object({
  port: z.coerce.number().int().min(0).max(65_535),
  'retain-entries': z.coerce.number().int().min(1),
  'retain-millis': z.coerce.number().int().min(1).optional(),
});

const { values } = parseArgs({
  options: {
    port: { type: 'string', default: '0' },
    'retain-entries': { type: 'string', default: '100000' },
    'retain-millis': { type: 'string' },
  },
});
const settings = settingsSchema.parse(values);
const server = new LogServer({
  entries: settings['retain-entries'],
  millis: settings['retain-millis'] ?? null,
});
const port = await server.start(settings.port);
console.log(`listening host=127.0.0.1 port=${port}`);

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => {
    void server.stop();
  });
}
