/** Validation problems of settings and declarations, and how they are printed. */

/** A validation problem and its position in the file. */
export interface Problem {
  /** Path of the value, such as `callers.port` or `teams[2].limit`; empty for the whole file. */
  readonly path: string;
  /** Where the value starts in the file, counted from 1. Absent if the value is not in the file. */
  readonly position?: Position;
  readonly expected: string;
  readonly found: string;
}

export interface Position {
  readonly line: number;
  readonly column: number;
}

/** Object keys and array indices that lead to a value. */
export type Path = readonly (string | number)[];

const MAX_FOUND_LENGTH = 80;

/** Fields that may contain a secret by mistake, so their values are not printed. */
const SECRET_FIELDS: readonly unknown[] = ['secretHash'];

/** Formats a path such as `teams[2].limit`. */
export function formatPath(path: Path): string {
  return path
    .map((step) => (typeof step === 'number' ? `[${step}]` : `.${step}`))
    .join('')
    .replace(/^\./, '');
}

/** Formats a found value as JSON, truncated if long and hidden if it may be a secret. */
export function formatFound(path: Path, value: unknown): string {
  if (value === undefined) {
    return 'nothing';
  }
  if (typeof value === 'string' && SECRET_FIELDS.includes(path.at(-1))) {
    return `a string of ${value.length} characters`;
  }
  const text = JSON.stringify(value);
  return text.length > MAX_FOUND_LENGTH ? `${text.slice(0, MAX_FOUND_LENGTH)}…` : text;
}

/** Formats a problem as one line: `file:line:column: path: expected …, found …`. */
export function describeProblem(file: string, problem: Problem): string {
  const { path, position, expected, found } = problem;
  const location = position === undefined ? file : `${file}:${position.line}:${position.column}`;
  const subject = path === '' ? '' : `${path}: `;
  return `${location}: ${subject}expected ${expected}, found ${found}`;
}
