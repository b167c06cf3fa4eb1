/** The command `explain`. */

import { Command, Option } from 'clipanion';
import { JobEventCollector } from '@bamboowell/explain/job-event-collector';
import { explanationOf, type JobExplanation } from '@bamboowell/explain/job-explanation';
import { EXIT_CODES, EXIT_CODES_HELP, type ExitCode } from '../exit-code.js';
import { outputFor } from '../output.js';
import type { Report } from '../report.js';
import { CATEGORIES, type ProgramContext } from './daemon-command.js';
import { readLogs } from './log-lines.js';

export class ExplainCommand extends Command<ProgramContext> {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    category: CATEGORIES.insight,
    description: "explain from members' logs what happened to a job",
    details: `Reads the log lines that members wrote to standard output, of all members together, from files or, if none is given, from standard input. Shows the lines about the job in order of time, then why a request was refused or the job was late or failed, as far as the lines show it. Calls no daemon and needs no key. Also exits with 1 if no line names the job. ${EXIT_CODES_HELP}`,
    examples: [
      ['From files', '$0 explain 5c0e7a21d94b36f8 west-1.log west-2.log east-1.log'],
      ['From a pipe', 'zcat logs/*.gz | $0 explain 5c0e7a21d94b36f8'],
    ],
  });

  readonly job = Option.String({ name: 'job' });
  readonly files = Option.Rest({ name: 'file' });
  readonly isJson = Option.Boolean('--json', false, { description: 'print JSON for programs' });

  override async execute(): Promise<ExitCode> {
    const output = outputFor(this.isJson, this.context);
    const collector = new JobEventCollector(this.job);
    const problem = await readLogs(this.files, this.context.stdin, collector);
    if (problem !== undefined) {
      output.problems([`bamboowell: ${problem}`]);
      return EXIT_CODES.usage;
    }
    const explanation = explanationOf(collector);
    output.report(reportOf(explanation));
    return explanation.rows.length > 0 ? EXIT_CODES.done : EXIT_CODES.usage;
  }
}

function reportOf({ rows, findings }: JobExplanation): Report {
  return {
    json: { rows, findings },
    sections: [
      {
        name: 'line',
        columns: ['after ms', 'member', 'event', 'fields'],
        rows: rows.map(({ afterMillis, member, event, detail }) => [
          String(afterMillis),
          member,
          event,
          detail,
        ]),
      },
      { name: 'finding', columns: ['finding'], rows: findings.map((finding) => [finding]) },
    ],
  };
}
