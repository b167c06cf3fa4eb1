/** What a command has to say, apart from how it is shown. */

/** A table, or plain lines if it has no columns. */
export interface Section {
  /** One word; tells the rows of several sections apart where there are no headings. */
  readonly name: string;
  readonly columns: readonly string[];
  readonly rows: readonly (readonly string[])[];
}

export interface Report {
  readonly sections: readonly Section[];
  /** The same for programs. */
  readonly json: unknown;
}

/** A section of plain lines. */
export function linesSection(name: string, lines: readonly string[]): Section {
  return { name, columns: [], rows: lines.map((line) => [line]) };
}
