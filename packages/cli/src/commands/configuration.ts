/** Commands for declarations: `plan`, `diff`, `apply` and `export`. */

import { Command, Option } from 'clipanion';
import { exportDeclarations } from '@bamboowell/config/declarations/export';
import { writeFolder } from '@bamboowell/config/declarations/folder';
import { fetchConfiguration } from '../configuration.js';
import type { Daemons } from '../daemons.js';
import { EXIT_CODES, EXIT_CODES_HELP, type ExitCode } from '../exit-code.js';
import { FailedCallError, type Failure } from '../failure.js';
import type { Output } from '../output.js';
import { linesSection } from '../report.js';
import { CATEGORIES, DaemonCommand } from './daemon-command.js';
import { applyAndWait } from './apply-and-wait.js';
import {
  DeclarationsCommand,
  jsonOfPlan,
  linesOfPlan,
  reportPlan,
  type Plan,
} from './declarations-command.js';

export class PlanCommand extends DeclarationsCommand {
  static override paths = [['plan']];
  static override usage = Command.Usage({
    category: CATEGORIES.configuration,
    description: 'show what apply would change',
    details: `Checks all \`*.json\` files in DIR and compares them with the configuration. Changes nothing. ${EXIT_CODES_HELP}`,
    examples: [['What would change', '$0 plan examples/upepo']],
  });

  protected override runPlan(plan: Plan, _daemons: Daemons, output: Output): Promise<ExitCode> {
    reportPlan(plan, output);
    return Promise.resolve(EXIT_CODES.done);
  }
}

export class DiffCommand extends DeclarationsCommand {
  static override paths = [['diff']];
  static override usage = Command.Usage({
    category: CATEGORIES.configuration,
    description: 'report by exit code whether declarations and configuration differ',
    details: `Prints what \`plan\` prints. The exit code is 2 if there is a difference. ${EXIT_CODES_HELP}`,
    examples: [['Watch for drift', '$0 diff examples/upepo || echo drift']],
  });

  protected override runPlan(plan: Plan, _daemons: Daemons, output: Output): Promise<ExitCode> {
    reportPlan(plan, output);
    return Promise.resolve(plan.changes.length === 0 ? EXIT_CODES.done : EXIT_CODES.different);
  }
}

export class ApplyCommand extends DeclarationsCommand {
  static override paths = [['apply']];
  static override usage = Command.Usage({
    category: CATEGORIES.configuration,
    description: 'change the configuration to match the declarations',
    details: `Applies the changes that \`plan\` shows, all or none, and only to the version that they were computed for: if another operator has changed the configuration since, nothing is applied and both versions are shown. Keys are not changed. With \`--wait\` it waits until the new version is in force on every daemon; if \`--timeout\` passes first, it names the daemons that have not confirmed the version (exit code 4). ${EXIT_CODES_HELP}`,
    examples: [
      ['Apply', '$0 apply examples/upepo'],
      ['Apply, and wait until it is in force', '$0 apply examples/upepo --wait'],
    ],
  });

  readonly isWaiting = Option.Boolean('--wait', false, {
    description: 'wait until the version is in force everywhere',
  });

  protected override async runPlan(
    plan: Plan,
    daemons: Daemons,
    output: Output,
  ): Promise<ExitCode> {
    if (plan.changes.length === 0) {
      reportPlan(plan, output);
      return EXIT_CODES.done;
    }
    try {
      return await applyAndWait(daemons, output, this.context.clock, {
        base: plan.current.version,
        changes: plan.changes,
        lines: linesOfPlan(plan),
        json: jsonOfPlan(plan),
        deadline: () => this.deadline(),
        isWaiting: this.isWaiting,
      });
    } catch (error) {
      throw await this.withBothVersions(error, plan, daemons);
    }
  }

  /** Adds both versions to the detail of a conflict. */
  private async withBothVersions(error: unknown, plan: Plan, daemons: Daemons): Promise<unknown> {
    if (!(error instanceof FailedCallError) || error.failure.reason !== 'configuration_conflict') {
      return error;
    }
    const { configuration } = await fetchConfiguration(daemons, this.deadline());
    const detail =
      `the changes are based on version ${plan.current.version}, ` +
      `but version ${configuration.version} is current; run plan again`;
    const failure: Failure = { ...error.failure, detail };
    return new FailedCallError(failure);
  }
}

export class ExportCommand extends DaemonCommand {
  static override paths = [['export']];
  static override usage = Command.Usage({
    category: CATEGORIES.configuration,
    description: 'write the configuration as declarations',
    details: `Writes teams.json, queues.json and data-centres.json into DIR. Keys are left out. ${EXIT_CODES_HELP}`,
    examples: [['Bring a running cell under version control', '$0 export declarations']],
  });

  readonly folder = Option.String({ name: 'DIR' });
  readonly isReplacing = Option.Boolean('--force', false, {
    description: 'replace existing files',
  });

  protected override async run(daemons: Daemons, output: Output): Promise<ExitCode> {
    const { configuration } = await fetchConfiguration(daemons, this.deadline());
    const files = exportDeclarations(configuration);
    await writeFolder(this.folder, files, this.isReplacing);
    const names = files.map(({ name }) => name);
    output.report({
      sections: [
        linesSection('export', [
          `version ${configuration.version} written to ${this.folder}: ${names.join(', ')}`,
        ]),
      ],
      json: { version: configuration.version, folder: this.folder, files: names },
    });
    return EXIT_CODES.done;
  }
}
