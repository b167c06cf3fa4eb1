/** The command `breakdown`. */

import { Command, Option } from 'clipanion';
import { breakdownOf, type Breakdown, type GroupBreakdown } from '@bamboowell/explain/breakdown';
import { EventsByJob } from '@bamboowell/explain/events-by-job';
import { EXIT_CODES, EXIT_CODES_HELP, type ExitCode } from '../exit-code.js';
import { nonNegativeNumber } from '../inputs.js';
import { outputFor } from '../output.js';
import type { Report, Section } from '../report.js';
import { CATEGORIES, type ProgramContext } from './daemon-command.js';
import { readLogs } from './log-lines.js';

const DEFAULT_WINDOW_SECONDS = 2;

export class BreakdownCommand extends Command<ProgramContext> {
  static override paths = [['breakdown']];
  static override usage = Command.Usage({
    category: CATEGORIES.insight,
    description: "show from members' logs how jobs spent their time",
    details: `Reads the log lines that members wrote to standard output, of all members together, from files or, if none is given, from standard input. Shows for each queue, and for each time window in which jobs were accepted by an owner, how many jobs ended in which state, the time within which 50% and 95% of the completed jobs ended, and the mean milliseconds that the slowest task of each completed job waited for advice, waited for room on a worker, ran, and lost in unsuccessful runs. ${EXIT_CODES_HELP}`,
    examples: [
      ['From files', '$0 breakdown west-1.log west-2.log east-1.log'],
      ['In windows of ten seconds', 'zcat logs/*.gz | $0 breakdown --window 10'],
    ],
  });

  readonly files = Option.Rest({ name: 'file' });
  readonly isJson = Option.Boolean('--json', false, { description: 'print JSON for programs' });
  readonly windowSeconds = Option.String('--window', {
    description: 'length of a time window in seconds; 2 if left out',
    validator: nonNegativeNumber,
  });

  override async execute(): Promise<ExitCode> {
    const output = outputFor(this.isJson, this.context);
    const events = new EventsByJob();
    const problem = await readLogs(this.files, this.context.stdin, events);
    if (problem !== undefined) {
      output.problems([`bamboowell: ${problem}`]);
      return EXIT_CODES.usage;
    }
    const windowSeconds = this.windowSeconds ?? DEFAULT_WINDOW_SECONDS;
    output.report(reportOf(breakdownOf(events.jobs, windowSeconds)));
    if (events.dropped > 0) {
      output.note(
        `${events.dropped} lines were left out because the logs have too many jobs; read them in parts`,
      );
    }
    return EXIT_CODES.done;
  }
}

function reportOf({ byQueue, byWindow, answers }: Breakdown): Report {
  return {
    json: {
      queues: [...byQueue].map(([queue, group]) => ({ queue, ...jsonOf(group) })),
      windows: [...byWindow].map(([second, group]) => ({ second, ...jsonOf(group) })),
      answers: Object.fromEntries(answers),
    },
    sections: [
      sectionOf('queue', [...byQueue]),
      sectionOf('second', [...byWindow]),
      {
        name: 'answer',
        columns: ['answer', 'requests'],
        rows: [...answers].map(([outcome, count]) => [outcome, String(count)]),
      },
    ],
  };
}

function jsonOf(group: GroupBreakdown) {
  return { ...group, lostRuns: Object.fromEntries(group.lostRuns) };
}

const COLUMNS = [
  'jobs',
  'completed',
  'failed',
  'cancelled',
  'open',
  'excess',
  'half ms',
  '95% ms',
  'advice ms',
  'room ms',
  'run ms',
  'lost ms',
  'lost runs',
];

function sectionOf(
  name: string,
  groups: readonly (readonly [string | number, GroupBreakdown])[],
): Section {
  return {
    name,
    columns: [name, ...COLUMNS],
    rows: groups.map(([key, group]) => [String(key), ...cellsOf(group)]),
  };
}

function cellsOf(group: GroupBreakdown): string[] {
  const amounts = [
    group.jobs,
    group.completed,
    group.failed,
    group.cancelled,
    group.open,
    group.excess,
    group.halfMillis,
    group.lateMillis,
    group.adviceMillis,
    group.roomMillis,
    group.runMillis,
    group.lostMillis,
  ];
  const causes = [...group.lostRuns].map(([cause, count]) => `${cause}=${count}`);
  return [...amounts.map(String), causes.join(' ')];
}
