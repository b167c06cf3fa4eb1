/** Applies changes, optionally waits until they are in force, and reports the result. */

import type { Clock } from '@bamboowell/kernel/clock';
import type { Change } from '@bamboowell/types/declarations';
import type { Version } from '@bamboowell/types/ids';
import type { Deadline } from '@bamboowell/types/time';
import { applyChanges, describeEnforcement, waitForEnforcement } from '../configuration.js';
import type { Daemons } from '../daemons.js';
import { EXIT_CODES, type ExitCode } from '../exit-code.js';
import type { Output } from '../output.js';
import { linesSection } from '../report.js';

/** The changes to apply and what to report about them. */
export interface ApplyOptions {
  readonly base: Version;
  readonly changes: readonly Change[];
  /** The result for people and shells. */
  readonly lines: readonly string[];
  readonly json: object;
  /** Returns the deadline for a step that starts now. */
  readonly deadline: () => Deadline;
  readonly isWaiting: boolean;
}

/** @throws FailedCallError if the changes were not applied or the outcome is unknown. */
export async function applyAndWait(
  daemons: Daemons,
  output: Output,
  clock: Clock,
  options: ApplyOptions,
): Promise<ExitCode> {
  const { base, changes, lines, json, deadline, isWaiting } = options;
  const version = await applyChanges(daemons, deadline(), base, changes);
  if (!isWaiting) {
    output.report({ sections: [linesSection('apply', lines)], json: { ...json, version } });
    output.note(`version ${version} was accepted`);
    return EXIT_CODES.done;
  }
  const enforcement = await waitForEnforcement(daemons, clock, deadline(), version, (pending) => {
    output.progress(describeEnforcement(version, pending));
  });
  output.report({
    sections: [linesSection('apply', lines)],
    json: { ...json, version, enforcement },
  });
  output.note(describeEnforcement(version, enforcement));
  return enforcement.kind === 'everywhere' ? EXIT_CODES.done : EXIT_CODES.mayHaveRun;
}
