/** Entry point of `npm run replay`: replays traces and prints a table of their outcomes. */

import { readdir, readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { guardNames, guardOf } from './guards.js';
import { recordTrace } from './record-trace.js';
import { replayTrace } from './replay-trace.js';

const BUNDLED_TRACES = fileURLToPath(new URL('../traces', import.meta.url));
const HEADINGS = ['point', 'failure', 'trace', 'outcome'] as const;

async function bundledTraces(): Promise<string[]> {
  const names = await readdir(BUNDLED_TRACES);
  return names
    .filter((name) => name.endsWith('.jsonl'))
    .sort()
    .map((name) => join(BUNDLED_TRACES, name));
}

interface Row {
  readonly cells: readonly string[];
  readonly problems: readonly string[];
}

async function replayFile(file: string): Promise<Row> {
  try {
    const { header, problems } = await replayTrace(await readFile(file, 'utf8'));
    const expected =
      header.outcome === 'holds' ? 'holds' : `flagged: ${header.outcome.flagged.join(', ')}`;
    const outcome = problems.length === 0 ? expected : 'NOT AS STATED';
    return { cells: [header.point, header.failure, header.trace, outcome], problems };
  } catch (error) {
    return {
      cells: ['', '', file, 'MALFORMED'],
      problems: [error instanceof Error ? error.message : String(error)],
    };
  }
}

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: { record: { type: 'string' }, without: { type: 'string' } },
});

async function main(): Promise<number> {
  return values.record === undefined ? replayAll() : recordOne(values.record);
}

async function recordOne(out: string): Promise<number> {
  const [file] = positionals;
  const { without } = values;
  if (file === undefined || (without !== undefined && guardOf(without) === undefined)) {
    process.stderr.write(`expected --record OUT [--without ${guardNames().join('|')}] FILE\n`);
    return 1;
  }
  await writeFile(out, await recordTrace(await readFile(file, 'utf8'), without));
  return 0;
}

async function replayAll(): Promise<number> {
  const files = positionals.length > 0 ? positionals : await bundledTraces();
  const rows: Row[] = [];
  for (const file of files) {
    const row = await replayFile(file);
    rows.push(row);
    for (const problem of row.problems) {
      process.stderr.write(`${file}: ${problem}\n`);
    }
  }
  process.stdout.write(`${formatTable(rows)}\n`);
  return rows.some(({ problems }) => problems.length > 0) ? 1 : 0;
}

function formatTable(rows: readonly Row[]): string {
  const all = [[...HEADINGS], ...rows.map(({ cells }) => cells)];
  const widths = HEADINGS.map((_, column) =>
    Math.max(...all.map((cells) => cells[column]?.length ?? 0)),
  );
  return all
    .map((cells) =>
      cells
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

process.exitCode = await main();
