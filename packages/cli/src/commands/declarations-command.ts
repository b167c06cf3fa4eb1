/** Base class of the commands that compare declarations with the configuration. */

import { toJson } from '@bufbuild/protobuf';
import { Option } from 'clipanion';
import { describeChange } from '@bamboowell/config/declarations/describe';
import { readFolder } from '@bamboowell/config/declarations/folder';
import {
  describeFileProblem,
  parseDeclarations,
  type Declarations,
} from '@bamboowell/config/declarations/parse';
import { planChanges } from '@bamboowell/config/declarations/plan';
import { ChangeSchema } from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import type { Change, Configuration } from '@bamboowell/types/declarations';
import { fetchConfiguration } from '../configuration.js';
import type { Daemons } from '../daemons.js';
import { encodeChange } from '../encoding.js';
import { EXIT_CODES, type ExitCode } from '../exit-code.js';
import type { Output } from '../output.js';
import { linesSection } from '../report.js';
import { DaemonCommand } from './daemon-command.js';

/** The changes that bring the configuration to the declared state. */
export interface Plan {
  readonly current: Configuration;
  readonly fresh: boolean;
  readonly changes: readonly Change[];
}

export abstract class DeclarationsCommand extends DaemonCommand {
  readonly folder = Option.String({ name: 'DIR' });

  protected override async run(daemons: Daemons, output: Output): Promise<ExitCode> {
    const declarations = await this.readDeclarations(output);
    if (declarations === undefined) {
      return EXIT_CODES.usage;
    }
    const { configuration, fresh } = await fetchConfiguration(daemons, this.deadline());
    const changes = planChanges(configuration, declarations);
    return this.runPlan({ current: configuration, fresh, changes }, daemons, output);
  }

  /** Runs the command with the computed plan. */
  protected abstract runPlan(plan: Plan, daemons: Daemons, output: Output): Promise<ExitCode>;

  /** Reads the folder's declarations. Reports problems and returns undefined if they are invalid. */
  private async readDeclarations(output: Output): Promise<Declarations | undefined> {
    const parsed = parseDeclarations(await readFolder(this.folder));
    if (parsed.kind === 'invalid') {
      output.problems(parsed.problems.map(describeFileProblem));
      return undefined;
    }
    return parsed.declarations;
  }
}

/** Reports what a plan changes. */
export function reportPlan(plan: Plan, output: Output): void {
  output.report({ sections: [linesSection('plan', linesOfPlan(plan))], json: jsonOfPlan(plan) });
  notePlan(plan, output);
}

/** Describes what a plan changes, line by line. */
export function linesOfPlan({ current, changes }: Plan): string[] {
  return changes.flatMap((change) => describeChange(change, current));
}

function notePlan({ current, fresh, changes }: Plan, output: Output): void {
  output.note(
    changes.length === 0
      ? `no changes; version ${current.version} is as declared`
      : `${changes.length} changes to version ${current.version}`,
  );
  if (!fresh) {
    output.note('the daemon can’t show that this version is the latest');
  }
}

/** The JSON output of a plan. */
export function jsonOfPlan({ current, fresh, changes }: Plan) {
  return {
    base: current.version,
    fresh,
    changes: changes.map((change) => toJson(ChangeSchema, encodeChange(change))),
  };
}
