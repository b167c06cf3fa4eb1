/** Writes the observations of a `run` trace as a `recorded` one. */

import { findViolations } from './checks/all-checks.js';
import { guardOf } from './guards.js';
import { TraceRunner } from './trace-runner.js';
import { MalformedTraceError, parseTrace } from './trace.js';

/** Plays the trace, perhaps without a guard or the guards of a point, and returns the recorded trace's text. */
export async function recordTrace(text: string, without: string | undefined): Promise<string> {
  const trace = parseTrace(text);
  if (trace.header.mode !== 'run') {
    throw new MalformedTraceError(1, 'only a trace of mode `run` can be recorded');
  }
  const guard = without === undefined ? undefined : guardOf(without);
  guard?.remove();
  const player = new TraceRunner(trace);
  await player.run();
  const found = [
    ...new Set(findViolations(player.observations).map(({ guarantee: point }) => point)),
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
      found.length === 0 ? 'holds' : { flagged: guard === undefined ? found : [guard.guarantee] },
  };
  return [header, ...player.observations].map((line) => `${JSON.stringify(line)}\n`).join('');
}
