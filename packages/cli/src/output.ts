/** Shows reports to people, to shells or to programs. */

import type { Writable } from 'node:stream';
import type { Failure } from './failure.js';
import type { Report, Section } from './report.js';

/** Where a command writes. Subclasses differ in form. */
export abstract class Output {
  constructor(
    protected readonly stdout: Writable,
    protected readonly stderr: Writable,
  ) {}

  /** Shows the result, or one of several as they come. */
  abstract report(report: Report): void;

  /** Says that the request failed. */
  abstract failure(failure: Failure): void;

  /** Says what is wrong with the command, its files or its settings, a line for each problem. */
  abstract problems(lines: readonly string[]): void;

  /** Adds a remark to a result. */
  abstract note(line: string): void;

  /** Tells a person who waits how far things are. */
  abstract progress(line: string): void;
}

/** What the process writes to. */
export interface Destination {
  readonly stdout: Writable;
  readonly stderr: Writable;
  /** Whether a person reads standard output. */
  readonly isTerminal: boolean;
}

const VERDICT_WORDS = { not_run: 'not run', may_have_run: 'may have run', ran: 'ran' } as const;

/** One line: verdict, reason, sentence and what else helps. */
export function describeFailure({ verdict, reason, detail, field, work }: Failure): string {
  const place = field === null ? '' : ` (field ${field})`;
  const about = work === null ? '' : `; ask with: bamboowell get ${work}`;
  return `${VERDICT_WORDS[verdict]}: ${reason}: ${detail}${place}${about}`;
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

/** Aligned tables under headings, and progress. */
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

/** Plain lines as they are: they may be a worker's answer. */
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
 * Rows of cells parted by tabs, without headings or progress. Where a report has several sections,
 * the first cell names the section.
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

/** The form that the user asked for, else the one that suits who reads. */
export function outputFor(isJson: boolean, { stdout, stderr, isTerminal }: Destination): Output {
  if (isJson) {
    return new JsonOutput(stdout, stderr);
  }
  return isTerminal ? new TerminalOutput(stdout, stderr) : new PlainOutput(stdout, stderr);
}

/** One JSON document a line on standard output: results, failures and problems alike. */
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
