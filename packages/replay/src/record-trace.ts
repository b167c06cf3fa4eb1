/** Runs a `run` trace and writes its observations as a `recorded` trace. */

import { findViolations } from './checks/all-checks.js';
import { guardOf } from './guards.js';
import { TraceRunner } from './trace-runner.js';
import { MalformedTraceError, parseTrace } from './trace.js';

/**
 * Runs the trace and returns the text of the recorded trace.
 * @param without Name of a guard, or of a guarantee whose guards are all removed before the run.
 */
export async function recordTrace(text: string, without: string | undefined): Promise<string> {
  const trace = parseTrace(text);
  if (trace.header.mode !== 'run') {
    throw new MalformedTraceError(1, 'only a trace of mode `run` can be recorded');
  }
  const guard = without === undefined ? undefined : guardOf(without);
  guard?.remove();
  const runner = new TraceRunner(trace);
  await runner.run();
  const violated = [
    ...new Set(findViolations(runner.observations).map(({ guarantee }) => guarantee)),
  ];
  const header = {
    ...trace.header,
    trace: without === undefined ? `${trace.header.trace}-recorded` : `without-${without}`,
    point: guard?.guarantee ?? trace.header.point,
    text:
      without === undefined
        ? trace.header.text
        : `${trace.header.text} Recorded with the guard of ${without} taken out.`,
    mode: 'recorded',
    outcome:
      violated.length === 0
        ? 'holds'
        : { flagged: guard === undefined ? violated : [guard.guarantee] },
  };
  return [header, ...runner.observations].map((line) => `${JSON.stringify(line)}\n`).join('');
}
