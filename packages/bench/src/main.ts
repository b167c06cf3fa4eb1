/** Runs the measurement that is named on the command line and prints its figures as JSON. */

import { measureRecovery } from '@bamboowell/demo/recovery';
import { measureCapacity } from './capacity.js';
import { measureJobs } from './jobs.js';
import { measureControlCost } from './control-cost.js';
import { measurePacking } from './packing.js';
import { measurePlacement } from './placement.js';
import { measureRunTimes } from './run-times.js';
import { measureWaiting } from './waiting.js';

/** Runs a measurement and returns its figures as plain data. */
type Measurement = () => object | Promise<object>;

const MEASUREMENTS: ReadonlyMap<string, Measurement> = new Map<string, Measurement>([
  ['placement', measurePlacement],
  ['waiting', measureWaiting],
  ['packing', measurePacking],
  ['capacity', measureCapacity],
  ['control-cost', measureControlCost],
  ['jobs', measureJobs],
  ['run-times', measureRunTimes],
  ['recovery', measureRecovery],
]);

const name = process.argv[2] ?? '';
const measurement = MEASUREMENTS.get(name);
if (measurement === undefined) {
  const known = [...MEASUREMENTS.keys()].join(', ');
  process.stderr.write(`Unknown measurement "${name}". Known: ${known}.\n`);
  process.exitCode = 2;
} else {
  const figures = await measurement();
  process.stdout.write(`${JSON.stringify({ name, ...figures }, undefined, 2)}\n`);
}
