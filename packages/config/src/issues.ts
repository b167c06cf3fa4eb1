/** Converts Zod validation issues to problems. */

import type { z } from 'zod';
import { formatFound, formatPath, type Path, type Position, type Problem } from './problem.js';

/** Finds where the value at a path starts in its file. */
export type Locator = (path: Path) => Position | undefined;

/** All problems of a failed validation, each with its path and the value found there. */
export function problemsOf(error: z.ZodError, value: unknown, positionOf: Locator): Problem[] {
  return error.issues.flatMap((issue) =>
    pathsOf(issue).map((path) => problemAt(path, issue.message, value, positionOf)),
  );
}

function pathsOf(issue: z.core.$ZodIssue): Path[] {
  const path = issue.path.filter((step) => typeof step !== 'symbol');
  return issue.code === 'unrecognized_keys' ? issue.keys.map((key) => [...path, key]) : [path];
}

function problemAt(path: Path, expected: string, value: unknown, positionOf: Locator): Problem {
  const found = formatFound(path, valueAt(value, path));
  const position = nearestPosition(path, positionOf);
  const problem = { path: formatPath(path), expected, found };
  return position === undefined ? problem : { ...problem, position };
}

/** The position of the value or, if it is missing, of the nearest enclosing value. */
function nearestPosition(path: Path, positionOf: Locator): Position | undefined {
  const position = positionOf(path);
  return position !== undefined || path.length === 0
    ? position
    : nearestPosition(path.slice(0, -1), positionOf);
}

/** The value at a path, undefined if there is none. */
export function valueAt(value: unknown, path: Path): unknown {
  return path.reduce<unknown>(
    (inside, step) =>
      typeof inside === 'object' && inside !== null
        ? (inside as Record<string | number, unknown>)[step]
        : undefined,
    value,
  );
}
