/** The stand-in for the platform's VM list. VMS.md describes its protocol. */

import { Hono, type Context } from 'hono';
import { z } from 'zod';
import type { Clock } from '@bamboowell/kernel/clock';
import type { Vm } from '@bamboowell/types/vm';
import { VmHistory } from './vm-history.js';

const text = z.string().min(1);

const common = {
  region: text,
  dataCentre: text,
  address: z.object({ host: text, port: z.number().int().min(0).max(65535) }),
  state: z.enum(['live', 'leaving']),
};

const VMS = z.object({
  vms: z.array(
    z.discriminatedUnion('role', [
      z.object({ role: z.literal('entry'), member: text, ...common }),
      z.object({ role: z.literal('worker'), worker: text, rack: text, ...common }),
    ]),
  ),
});

const ALL_SWITCHES = z
  .object({
    /** The list is shown as it was this long ago. */
    lagMillis: z.number().int().nonnegative(),
    /** The list answers with an error. */
    down: z.boolean(),
    /** The list never answers. */
    hang: z.boolean(),
  })
  .strict();

const SWITCHES = ALL_SWITCHES.partial();

type VmSwitches = z.infer<typeof ALL_SWITCHES>;

/** Creates the HTTP interface of a new, empty list. */
export function vmListApp(clock: Clock): Hono {
  const history = new VmHistory();
  let switches: VmSwitches = { lagMillis: 0, down: false, hang: false };
  const app = new Hono();
  app.get('/vms', async (context) => {
    if (switches.hang) {
      await new Promise(() => undefined);
    }
    if (switches.down) {
      return context.json({ error: 'down' }, 503);
    }
    return context.json({ vms: history.at(clock.now() - switches.lagMillis) });
  });
  app.put('/vms', async (context) => {
    const parsed = VMS.safeParse(await bodyOf(context));
    if (!parsed.success) {
      return context.json({ error: z.prettifyError(parsed.error) }, 400);
    }
    history.set(clock.now(), parsed.data.vms as unknown as Vm[]);
    return context.json(parsed.data);
  });
  app.put('/switches', async (context) => {
    const parsed = SWITCHES.safeParse(await bodyOf(context));
    if (!parsed.success) {
      return context.json({ error: z.prettifyError(parsed.error) }, 400);
    }
    switches = { ...switches, ...parsed.data } as VmSwitches;
    return context.json(switches);
  });
  return app;
}

/** The JSON body; undefined if it is malformed. */
async function bodyOf(context: Context): Promise<unknown> {
  try {
    return await context.req.json();
  } catch {
    return undefined;
  }
}
