/** What is wrong in a file that people write. */

/** One fault, with the place where it stands. */
export interface Problem {
  /** Path of the value, as in `callers.port` or `teams[2].limit`; empty for the whole file. */
  readonly path: string;
  /** Where the value starts in the file, counted from 1. Absent for what is not in the file. */
  readonly position?: Position;
  readonly expected: string;
  readonly found: string;
}

export interface Position {
  readonly line: number;
  readonly column: number;
}

/** Keys and indices that lead to a value. */
export type Path = readonly (string | number)[];

const MAX_FOUND_LENGTH = 80;

/** Fields in which a secret may stand by mistake. */
const CONFIDENTIAL_FIELDS: readonly unknown[] = ['secretHash'];

/** The path as people write it. */
export function formatPath(path: Path): string {
  return path
    .map((step) => (typeof step === 'number' ? `[${step}]` : `.${step}`))
    .join('')
    .replace(/^\./, '');
}

/** The value as a problem shows it: JSON, cut when long, hidden when it may be a secret. */
export function formatFound(path: Path, value: unknown): string {
  if (value === undefined) {
    return 'nothing';
  }
  if (typeof value === 'string' && CONFIDENTIAL_FIELDS.includes(path.at(-1))) {
    return `a text of ${value.length} characters`;
  }
  const text = JSON.stringify(value);
  return text.length > MAX_FOUND_LENGTH ? `${text.slice(0, MAX_FOUND_LENGTH)}…` : text;
}

/** One line: `file:line:column: path: expected …, found …`. */
export function describeProblem(file: string, problem: Problem): string {
  const { path, position: place, expected, found } = problem;
  const position = place === undefined ? file : `${file}:${place.line}:${place.column}`;
  const subject = path === '' ? '' : `${path}: `;
  return `${position}: ${subject}expected ${expected}, found ${found}`;
}
