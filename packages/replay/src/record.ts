/** Writes the observations of a `run` trace as a `recorded` one. */

import { judgeAll } from './checks/all-checks.js';
import { GUARD_REMOVALS } from './guards.js';
import { Player } from './player.js';
import { MalformedTraceError, parseTrace, type Point } from './trace.js';

/** Plays the trace, perhaps without the guards of a point, and returns the recorded trace's text. */
export async function record(text: string, without: Point | undefined): Promise<string> {
  const trace = parseTrace(text);
  if (trace.header.mode !== 'run') {
    throw new MalformedTraceError(1, 'only a trace of mode `run` can be recorded');
  }
  if (without !== undefined) {
    GUARD_REMOVALS[without]();
  }
  const player = new Player(trace);
  await player.play();
  const found = [...new Set(judgeAll(player.observations).map(({ point }) => point))];
  const header = {
    ...trace.header,
    trace: without === undefined ? `${trace.header.trace}-recorded` : `without-${without}`,
    point: without ?? trace.header.point,
    text:
      without === undefined
        ? trace.header.text
        : `${trace.header.text} Recorded with the guard of ${without} taken out.`,
    mode: 'recorded',
    outcome: found.length === 0 ? 'holds' : { flagged: without === undefined ? found : [without] },
  };
  return [header, ...player.observations].map((line) => `${JSON.stringify(line)}\n`).join('');
}
