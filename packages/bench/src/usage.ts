/** Measures CPU time and heap of this process. */

import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

setFlagsFromString('--expose_gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** CPU time of `run` in microseconds, user and system, of all threads of the process. */
export function cpuMicrosOf(run: () => void): number {
  const before = process.cpuUsage();
  run();
  return microsSince(before);
}

/** As `cpuMicrosOf`, for an asynchronous function. */
export async function cpuMicrosOfAsync(run: () => Promise<void>): Promise<number> {
  const before = process.cpuUsage();
  await run();
  return microsSince(before);
}

/** Heap in use after garbage collection, in bytes. */
export function heapBytes(): number {
  collectGarbage();
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

function microsSince(before: NodeJS.CpuUsage): number {
  const { user, system } = process.cpuUsage(before);
  return user + system;
}
