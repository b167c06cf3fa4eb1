/** Turns the findings of a schema into problems. */

import type { z } from 'zod';
import { formatFound, formatPath, type Path, type Position, type Problem } from './problem.js';

/** Tells where the value at a path starts in its file. */
export type Locator = (path: Path) => Position | undefined;

/** All problems of a failed check, each with its path and what was found there. */
export function problemsOf(error: z.ZodError, value: unknown, placeOf: Locator): Problem[] {
  return error.issues.flatMap((issue) =>
    placesOf(issue).map((path) => problemAt(path, issue.message, value, placeOf)),
  );
}

function placesOf(issue: z.core.$ZodIssue): Path[] {
  const path = issue.path.filter((step) => typeof step !== 'symbol');
  return issue.code === 'unrecognized_keys' ? issue.keys.map((key) => [...path, key]) : [path];
}

function problemAt(path: Path, expected: string, value: unknown, placeOf: Locator): Problem {
  const found = formatFound(path, valueAt(value, path));
  const place = nearestPlace(path, placeOf);
  const problem = { path: formatPath(path), expected, found };
  return place === undefined ? problem : { ...problem, position: place };
}

/** The place of the value or, where it is missing, of what should hold it. */
function nearestPlace(path: Path, placeOf: Locator): Position | undefined {
  const place = placeOf(path);
  return place !== undefined || path.length === 0
    ? place
    : nearestPlace(path.slice(0, -1), placeOf);
}

/** The value at a path, undefined where the path leads nowhere. */
export function valueAt(value: unknown, path: Path): unknown {
  return path.reduce<unknown>(
    (inside, step) =>
      typeof inside === 'object' && inside !== null
        ? (inside as Record<string | number, unknown>)[step]
        : undefined,
    value,
  );
}
