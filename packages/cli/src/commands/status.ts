/** The command `status`. */

import { Command } from 'clipanion';
import { reportOfCell } from '../cell-status.js';
import { fetchConfiguration } from '../configuration.js';
import type { Daemons } from '../daemons.js';
import { EXIT_CODES, EXIT_CODES_HELP, type ExitCode } from '../exit-code.js';
import type { Output } from '../output.js';
import { CATEGORIES, DaemonCommand } from './daemon-command.js';

export class StatusCommand extends DaemonCommand {
  static override paths = [['status']];
  static override usage = Command.Usage({
    category: CATEGORIES.insight,
    description: 'show daemons, shards, teams and workers',
    details: `Shows owners and epochs, the portions of the team limits that shards hold, and which workers are quarantined or leaving. Needs an operator's key. If standard output is not a terminal, the first cell of each row is cell, daemon, shard, team or worker. ${EXIT_CODES_HELP}`,
    examples: [
      ['For people', '$0 status'],
      ['Owners of the shards', "$0 status | awk -F '\\t' '$1 == \"shard\" { print $2, $3 }'"],
      ['For programs', '$0 status --json'],
    ],
  });

  protected override async run(daemons: Daemons, output: Output): Promise<ExitCode> {
    const deadline = this.deadline();
    const { configuration } = await fetchConfiguration(daemons, deadline);
    const status = await daemons.call('read', deadline, ({ operator, options }) =>
      operator.getStatus({}, options),
    );
    output.report(reportOfCell(status, configuration));
    return EXIT_CODES.done;
  }
}
