/** Commands for submitted work items: `get`, `watch`, `cancel` and `why`. */

import { Command, Option } from 'clipanion';
import type { CancelOutcome } from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import type { Daemons } from '../daemons.js';
import { EXIT_CODES, EXIT_CODES_HELP, exitCodeOf, type ExitCode } from '../exit-code.js';
import { verdictFrom } from '../failure.js';
import type { Output } from '../output.js';
import { linesSection } from '../report.js';
import { requireStatus, reportOfWork } from '../work-status.js';
import { CATEGORIES, DaemonCommand } from './daemon-command.js';
import { watchWork } from './watch-work.js';

export class GetCommand extends DaemonCommand {
  static override paths = [['get']];
  static override usage = Command.Usage({
    category: CATEGORIES.work,
    description: 'show the status of a work item',
    details: `The exit code is 0 if the work item is known, however it ended. ${EXIT_CODES_HELP}`,
    examples: [['Show it', '$0 get nairobi-1:aero-labs:x7Kq2']],
  });

  readonly workId = Option.String({ name: 'WORK' });

  protected override async run(daemons: Daemons, output: Output): Promise<ExitCode> {
    const { workId } = this;
    const { status } = await daemons.call('read', this.deadline(), ({ caller, options }) =>
      caller.get({ workId }, options),
    );
    output.report(reportOfWork(requireStatus(status)));
    return EXIT_CODES.done;
  }
}

export class WatchCommand extends DaemonCommand {
  static override paths = [['watch']];
  static override usage = Command.Usage({
    category: CATEGORIES.work,
    description: 'follow a work item until it has ended',
    details: `Prints a line for each change. The exit code tells how the work item ended: 0 all tasks succeeded; 3 cancelled before it ran; 4 a task is lost and may have run to its end; 5 a task failed or was cancelled while it ran. \`--timeout\` doesn't apply. ${EXIT_CODES_HELP}`,
    examples: [['Wait for the end', '$0 watch nairobi-1:aero-labs:x7Kq2 && echo done']],
  });

  readonly workId = Option.String({ name: 'WORK' });

  protected override run(daemons: Daemons, output: Output): Promise<ExitCode> {
    return watchWork(daemons, output, this.context.clock, this.workId);
  }
}

export class CancelCommand extends DaemonCommand {
  static override paths = [['cancel']];
  static override usage = Command.Usage({
    category: CATEGORIES.work,
    description: 'cancel work items',
    details: `Shows for each whether it had run before it was cancelled. The exit code is 0 if all are cancelled, including those that had run; otherwise it is the highest code of those that were refused, such as 3 for unknown work. ${EXIT_CODES_HELP}`,
    examples: [
      ['Cancel two', '$0 cancel nairobi-1:aero-labs:x7Kq2 nairobi-1:aero-labs:y8Lr3'],
      ['Cancel a list', 'xargs $0 cancel < works.txt'],
    ],
  });

  readonly workIds = Option.Rest({ name: 'WORK', required: 1 });

  protected override async run(daemons: Daemons, output: Output): Promise<ExitCode> {
    const { workIds } = this;
    const { outcomes } = await daemons.call('write', this.deadline(), ({ caller, options }) =>
      caller.cancel({ workIds }, options),
    );
    const verdicts = outcomes.map((outcome) => ({
      workId: outcome.workId,
      verdict: verdictOf(outcome),
      reason: outcome.reason,
    }));
    output.report({
      sections: [
        {
          name: 'cancelled',
          columns: ['work', 'verdict', 'reason'],
          rows: verdicts.map(({ workId, verdict, reason }) => [workId, verdict, reason]),
        },
      ],
      json: verdicts,
    });
    const refused = verdicts.filter(({ reason }) => reason !== '' && reason !== 'cancelled');
    return refused.length === 0
      ? EXIT_CODES.done
      : (Math.max(...refused.map(({ verdict }) => exitCodeOf(verdict))) as ExitCode);
  }
}

function verdictOf({ verdict }: CancelOutcome) {
  return verdictFrom(verdict) ?? 'may_have_run';
}

export class WhyCommand extends DaemonCommand {
  static override paths = [['why']];
  static override usage = Command.Usage({
    category: CATEGORIES.insight,
    description: 'explain why a work item waits or was refused',
    details: `Prints the reasons with their numbers, the most important first. ${EXIT_CODES_HELP}`,
    examples: [['Ask why', '$0 why nairobi-1:aero-labs:x7Kq2']],
  });

  readonly workId = Option.String({ name: 'WORK' });

  protected override async run(daemons: Daemons, output: Output): Promise<ExitCode> {
    const { workId } = this;
    const { status, sentences } = await daemons.call(
      'read',
      this.deadline(),
      ({ caller, options }) => caller.explain({ workId }, options),
    );
    const work = reportOfWork(requireStatus(status));
    output.report({
      sections: [linesSection('why', sentences), ...work.sections],
      json: { sentences, status: work.json },
    });
    return EXIT_CODES.done;
  }
}
