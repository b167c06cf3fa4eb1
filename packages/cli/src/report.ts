/** The result of a command, independent of how it is printed. */

/** A table, or plain lines if it has no columns. */
export interface Section {
  /** One word that identifies the rows if several sections are printed without headings. */
  readonly name: string;
  readonly columns: readonly string[];
  readonly rows: readonly (readonly string[])[];
}

export interface Report {
  readonly sections: readonly Section[];
  /** The same result for programs. */
  readonly json: unknown;
}

/** A section of plain lines. */
export function linesSection(name: string, lines: readonly string[]): Section {
  return { name, columns: [], rows: lines.map((line) => [line]) };
}
