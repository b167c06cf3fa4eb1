/** Replays one trace and compares what comes of it with the stated outcome. */

import { judgeAll } from './checks/all-checks.js';
import type { Observation } from './observation.js';
import { Player } from './player.js';
import { parseTrace, type Header, type Trace } from './trace.js';

export interface Replayed {
  readonly header: Header;
  /** What did not come out as stated; none if all did. */
  readonly problems: readonly string[];
  readonly observations: readonly Observation[];
}

/** @throws MalformedTraceError if the text is no trace. */
export async function replay(text: string): Promise<Replayed> {
  const trace = parseTrace(text);
  return trace.header.mode === 'run' ? replayRun(trace) : judgeRecorded(trace);
}

async function replayRun(trace: Trace): Promise<Replayed> {
  const player = new Player(trace);
  const disappointments = await player.play();
  const problems = disappointments.map(({ line, detail }) => `line ${line}: ${detail}`);
  const { observations } = player;
  return {
    header: trace.header,
    observations,
    problems: [...problems, ...outcomeProblems(trace.header, observations)],
  };
}

function judgeRecorded({ header, observations }: Trace): Replayed {
  return { header, observations, problems: outcomeProblems(header, observations) };
}

function outcomeProblems({ outcome }: Header, observations: readonly Observation[]): string[] {
  const violations = judgeAll(observations);
  if (outcome === 'holds') {
    return violations.map(({ at, point, detail }) => `at ${at}: ${point} does not hold: ${detail}`);
  }
  const found = new Set(violations.map(({ point }) => point));
  return outcome.flagged
    .filter((point) => !found.has(point))
    .map((point) => `the check of ${point} found no violation, but one was stated`);
}
