/** Replays one trace and compares the result with the outcome stated in its header. */

import { findViolations } from './checks/all-checks.js';
import type { Observation } from './observation.js';
import { TraceRunner } from './trace-runner.js';
import { parseTrace, type Header, type Trace } from './trace.js';

export interface ReplayResult {
  readonly header: Header;
  /** Failed expectations and differences from the stated outcome; empty if there are none. */
  readonly problems: readonly string[];
  readonly observations: readonly Observation[];
}

/** @throws MalformedTraceError if the text is not a valid trace. */
export async function replayTrace(text: string): Promise<ReplayResult> {
  const trace = parseTrace(text);
  return trace.header.mode === 'run' ? replayOnServices(trace) : checkRecorded(trace);
}

async function replayOnServices(trace: Trace): Promise<ReplayResult> {
  const runner = new TraceRunner(trace);
  const failed = await runner.run();
  const problems = failed.map(({ line, detail }) => `line ${line}: ${detail}`);
  const { observations } = runner;
  return {
    header: trace.header,
    observations,
    problems: [...problems, ...outcomeProblems(trace.header, observations)],
  };
}

function checkRecorded({ header, observations }: Trace): ReplayResult {
  return { header, observations, problems: outcomeProblems(header, observations) };
}

function outcomeProblems({ outcome }: Header, observations: readonly Observation[]): string[] {
  const violations = findViolations(observations);
  if (outcome === 'holds') {
    return violations.map(
      ({ at, guarantee, detail }) => `at ${at}: ${guarantee} does not hold: ${detail}`,
    );
  }
  const found = new Set(violations.map(({ guarantee }) => guarantee));
  return outcome.flagged
    .filter((guarantee) => !found.has(guarantee))
    .map((guarantee) => `the check of ${guarantee} found no violation, but the header states one`);
}
