/** Replays one trace and compares what comes of it with the stated outcome. */

import { findViolations } from './checks/all-checks.js';
import type { Observation } from './observation.js';
import { TraceRunner } from './trace-runner.js';
import { parseTrace, type Header, type Trace } from './trace.js';

export interface ReplayResult {
  readonly header: Header;
  /** What did not come out as stated; none if all did. */
  readonly problems: readonly string[];
  readonly observations: readonly Observation[];
}

/** @throws MalformedTraceError if the text is no trace. */
export async function replayTrace(text: string): Promise<ReplayResult> {
  const trace = parseTrace(text);
  return trace.header.mode === 'run' ? replayRun(trace) : judgeRecorded(trace);
}

async function replayRun(trace: Trace): Promise<ReplayResult> {
  const player = new TraceRunner(trace);
  const disappointments = await player.run();
  const problems = disappointments.map(({ line, detail }) => `line ${line}: ${detail}`);
  const { observations } = player;
  return {
    header: trace.header,
    observations,
    problems: [...problems, ...outcomeProblems(trace.header, observations)],
  };
}

function judgeRecorded({ header, observations }: Trace): ReplayResult {
  return { header, observations, problems: outcomeProblems(header, observations) };
}

function outcomeProblems({ outcome }: Header, observations: readonly Observation[]): string[] {
  const violations = findViolations(observations);
  if (outcome === 'holds') {
    return violations.map(
      ({ at, guarantee: point, detail }) => `at ${at}: ${point} does not hold: ${detail}`,
    );
  }
  const found = new Set(violations.map(({ guarantee: point }) => point));
  return outcome.flagged
    .filter((point) => !found.has(point))
    .map((point) => `the check of ${point} found no violation, but one was stated`);
}
