/** Prints reports for people, shells or programs. */

import type { Writable } from 'node:stream';
import type { Failure } from './failure.js';
import type { Report, Section } from './report.js';

/** Prints what a command reports. Subclasses differ in format. */
export abstract class Output {
  constructor(
    protected readonly stdout: Writable,
    protected readonly stderr: Writable,
  ) {}

  /** Prints a result. Called several times by commands such as `watch`. */
  abstract report(report: Report): void;

  /** Prints that the request failed. */
  abstract failure(failure: Failure): void;

  /** Prints what is wrong with the command, its files or its settings, one line per problem. */
  abstract problems(lines: readonly string[]): void;

  /** Prints a remark about a result. */
  abstract note(line: string): void;

  /** Prints progress for a person who is waiting. */
  abstract progress(line: string): void;
}

/** The output streams of the process. */
export interface Destination {
  readonly stdout: Writable;
  readonly stderr: Writable;
  /** Whether standard output is a terminal. */
  readonly isTerminal: boolean;
}

const VERDICT_TEXTS = { not_run: 'not run', may_have_run: 'may have run', ran: 'ran' } as const;

/** Formats a failure as one line: verdict, reason, detail, field and how to check the work item. */
export function describeFailure({ verdict, reason, detail, field, work }: Failure): string {
  const fieldText = field === null ? '' : ` (field ${field})`;
  const hint = work === null ? '' : `; check with: bamboowell get ${work}`;
  return `${VERDICT_TEXTS[verdict]}: ${reason}: ${detail}${fieldText}${hint}`;
}

/** Text for people and shells: results on standard output, the rest on standard error. */
abstract class TextOutput extends Output {
  failure(failure: Failure): void {
    this.stderr.write(`bamboowell: ${describeFailure(failure)}\n`);
  }

  problems(lines: readonly string[]): void {
    for (const line of lines) {
      this.stderr.write(`${line}\n`);
    }
  }

  note(line: string): void {
    this.stderr.write(`${line}\n`);
  }
}

const COLUMN_GAP = '  ';

/** For terminals: aligned tables with headings, and progress. */
export class TerminalOutput extends TextOutput {
  report({ sections }: Report): void {
    const texts = sections.filter(({ rows }) => rows.length > 0).map(tableOf);
    this.stdout.write(texts.join('\n'));
  }

  progress(line: string): void {
    this.stderr.write(`${line}\n`);
  }
}

function tableOf({ columns, rows }: Section): string {
  if (columns.length === 0) {
    return verbatim(rows);
  }
  const lines = [columns.map((name) => name.toUpperCase()), ...rows];
  const widths = columns.map((_, index) =>
    Math.max(...lines.map((cells) => (cells[index] ?? '').length)),
  );
  return lines.map((cells) => `${alignedRow(cells, widths)}\n`).join('');
}

/** Leaves plain lines unchanged, as they may be a worker's answer. */
function verbatim(rows: Section['rows']): string {
  return rows.map((cells) => `${cells.join(' ')}\n`).join('');
}

function alignedRow(cells: readonly string[], widths: readonly number[]): string {
  return cells
    .map((cell, index) => cell.padEnd(widths[index] ?? 0))
    .join(COLUMN_GAP)
    .trimEnd();
}

/**
 * For shells: rows of tab-separated cells, without headings or progress. If a report has several
 * sections, the first cell of each row names the section.
 */
export class PlainOutput extends TextOutput {
  report({ sections }: Report): void {
    const [only] = sections;
    if (sections.length === 1 && only?.columns.length === 0) {
      this.stdout.write(verbatim(only.rows));
      return;
    }
    const isNamed = sections.length > 1;
    for (const { name, rows } of sections) {
      for (const cells of rows) {
        this.stdout.write(`${plainRow(isNamed ? [name, ...cells] : cells)}\n`);
      }
    }
  }

  progress(): void {
    return;
  }
}

function plainRow(cells: readonly string[]): string {
  return cells.map((cell) => cell.replace(/[\t\r\n]/g, ' ')).join('\t');
}

/** JSON if requested, tables for a terminal, otherwise tab-separated rows. */
export function outputFor(isJson: boolean, { stdout, stderr, isTerminal }: Destination): Output {
  if (isJson) {
    return new JsonOutput(stdout, stderr);
  }
  return isTerminal ? new TerminalOutput(stdout, stderr) : new PlainOutput(stdout, stderr);
}

/** For programs: one JSON document per line on standard output, also for failures and problems. */
export class JsonOutput extends Output {
  report({ json }: Report): void {
    this.write(json);
  }

  failure(failure: Failure): void {
    this.write({ failure });
  }

  problems(lines: readonly string[]): void {
    this.write({ problems: lines });
  }

  note(): void {
    return;
  }

  progress(): void {
    return;
  }

  private write(document: unknown): void {
    this.stdout.write(`${JSON.stringify(document)}\n`);
  }
}
