/** Formats the table of docs/METRICS.md. */

import { METRICS, type Metric } from './names.js';

/** Returns the header and one row for each metric, in the order of `METRICS`. */
export function metricsTable(): string {
  const rows = METRICS.map(rowOf);
  return ['| name | kind | unit | meaning |', '| --- | --- | --- | --- |', ...rows].join('\n');
}

function rowOf({ name, kind, unit, meaning }: Metric): string {
  return `| \`${name}\` | ${kind} | ${unit} | ${meaning} |`;
}
