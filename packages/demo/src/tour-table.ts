/** The table at the end of the tour. */

/** One request and its result. */
export interface Row {
  readonly asked: string;
  readonly through: string;
  readonly ranOn: string;
  readonly verdict: string;
  readonly asExpected: boolean;
}

const HEADINGS = ['asked', 'through', 'ran on', 'verdict', 'as expected'] as const;

export class TourTable {
  private readonly rows: Row[] = [];

  add(row: Row): void {
    this.rows.push(row);
  }

  get allAsExpected(): boolean {
    return this.rows.every((row) => row.asExpected);
  }

  toString(): string {
    const cells = this.rows.map((row) => [
      row.asked,
      row.through,
      row.ranOn,
      row.verdict,
      row.asExpected ? 'yes' : 'NO',
    ]);
    const all = [[...HEADINGS], ...cells];
    const widths = HEADINGS.map((_, column) =>
      Math.max(...all.map((row) => row[column]?.length ?? 0)),
    );
    return all
      .map((row) =>
        row
          .map((cell, column) => cell.padEnd(widths[column] ?? 0))
          .join('  ')
          .trimEnd(),
      )
      .join('\n');
  }
}
