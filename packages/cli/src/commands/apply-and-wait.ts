/** Applies changes, waits for them if asked to, and reports. */

import type { Clock } from '@bamboowell/kernel/clock';
import type { Change } from '@bamboowell/types/declarations';
import type { Version } from '@bamboowell/types/ids';
import type { Deadline } from '@bamboowell/types/time';
import { applyChanges, describeEnforcement, waitForEnforcement } from '../configuration.js';
import type { Daemons } from '../daemons.js';
import { EXIT_CODES, type ExitCode } from '../exit-code.js';
import type { Output } from '../output.js';
import { linesSection } from '../report.js';

/** Changes with what to report about them. */
export interface ApplyOptions {
  readonly base: Version;
  readonly changes: readonly Change[];
  /** The result for people and shells. */
  readonly lines: readonly string[];
  readonly json: object;
  /** The end of the time for the step that begins now. */
  readonly deadline: () => Deadline;
  readonly isWaiting: boolean;
}

/** @throws FailedCallError if the changes were not applied or it is not known. */
export async function applyAndWait(
  daemons: Daemons,
  output: Output,
  clock: Clock,
  application: ApplyOptions,
): Promise<ExitCode> {
  const { base, changes, lines, json, deadline, isWaiting } = application;
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
