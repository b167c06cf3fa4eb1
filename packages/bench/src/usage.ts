/** What this process uses: processor time and heap. */

import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

setFlagsFromString('--expose_gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Processor time that `run` takes, user and system, all threads, microseconds. */
export function cpuMicrosOf(run: () => void): number {
  const before = process.cpuUsage();
  run();
  return microsSince(before);
}

/** As `cpuMicrosOf`, for something that waits. */
export async function cpuMicrosOfAsync(run: () => Promise<void>): Promise<number> {
  const before = process.cpuUsage();
  await run();
  return microsSince(before);
}

/** Bytes of heap that are in use after garbage was collected. */
export function heapBytes(): number {
  collectGarbage();
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

function microsSince(before: NodeJS.CpuUsage): number {
  const { user, system } = process.cpuUsage(before);
  return user + system;
}
