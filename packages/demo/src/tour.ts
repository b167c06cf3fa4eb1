/**
 * The tour that `npm start` runs: a cell of three daemons and four workers, every kind of work
 * through every daemon, a withdrawn key and a killed owner. Stops the cell at the end unless
 * `--keep` is given.
 */

import { setTimeout as sleep } from 'node:timers/promises';
import { parseArgs } from 'node:util';
import { Cell, type CellPlan } from './cell.js';
import { applySampleDeclarations, grantKey, type Caller } from './setup.js';
import { TourTable } from './tour-table.js';
import {
  callQuickly,
  showKilledOwner,
  showWithdrawnKey,
  submitBatch,
  submitGang,
  submitService,
} from './tour-steps.js';

const PLAN: CellPlan = {
  regions: { 'nairobi-a': 'east-africa', 'nairobi-b': 'east-africa' },
  daemons: [
    { id: 'entry-1', region: 'east-africa', dataCentre: 'nairobi-a' },
    { id: 'entry-2', region: 'east-africa', dataCentre: 'nairobi-b' },
    { id: 'entry-3', region: 'east-africa', dataCentre: 'nairobi-a' },
  ],
  workers: [
    { id: 'worker-1', dataCentre: 'nairobi-a', rack: 'a1', accelerators: 2 },
    { id: 'worker-2', dataCentre: 'nairobi-a', rack: 'a2' },
    { id: 'worker-3', dataCentre: 'nairobi-b', rack: 'b1', accelerators: 2 },
    { id: 'worker-4', dataCentre: 'nairobi-b', rack: 'b2' },
  ],
};

function say(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function runTour(cell: Cell): Promise<TourTable> {
  const table = new TourTable();
  say('applying declarations: two data centres, two teams, two queues');
  await applySampleDeclarations(cell, say);
  const caller: Caller = { cell, key: await grantKey(cell, 'drone-lab') };
  for (const daemon of cell.daemonIds) {
    say(`through ${daemon}: a quick call, a batch, a gang and a service`);
    table.add(await callQuickly(caller, daemon));
    table.add(await submitBatch(caller, daemon));
    table.add(await submitGang(caller, daemon));
    table.add(await submitService(caller, daemon));
  }
  say('killing the owner of a shard while its work runs');
  table.add(await showKilledOwner(caller, say));
  say('withdrawing the key');
  table.add(await showWithdrawnKey(caller));
  return table;
}

function printCommands(cell: Cell): void {
  const [daemon = ''] = cell.daemonIds;
  const environment = `BAMBOOWELL_DAEMONS=${cell.callerAddress(daemon)} BAMBOOWELL_KEY=operator.${cell.operator.secret}`;
  say('\nThe cell stays up. Try, in another terminal:');
  say(`  export ${environment}`);
  say('  npx bamboowell status');
  say('  npx bamboowell plan examples/tour');
  say('  npx bamboowell apply examples/tour --wait');
  say('  npx bamboowell key grant --team aero-labs');
  say('  npx bamboowell --help');
  say('Press Ctrl-C to end it.');
}

async function main(): Promise<number> {
  const { values } = parseArgs({ options: { keep: { type: 'boolean', default: false } } });
  say('starting the log, the VM list, four workers and three daemons');
  const cell = await Cell.start(PLAN);
  try {
    const table = await runTour(cell);
    say(`\n${table.toString()}`);
    if (values.keep) {
      printCommands(cell);
      await untilInterrupted();
    }
    return table.allAsExpected ? 0 : 1;
  } finally {
    await cell.stop();
  }
}

async function untilInterrupted(): Promise<void> {
  const ended = new AbortController();
  process.once('SIGINT', () => {
    ended.abort();
  });
  process.once('SIGTERM', () => {
    ended.abort();
  });
  const longestSleepMillis = 2 ** 31 - 1;
  await sleep(longestSleepMillis, undefined, { signal: ended.signal }).catch(() => undefined);
}

process.exitCode = await main();
