/** Settings that environment variables replace. */

import { formatPath, type Path, type Problem } from './problem.js';

/** The variables of a process. */
export type Environment = Readonly<Record<string, string | undefined>>;

const PREFIX = 'BAMBOOWELL_';

/** Variables with the prefix that are no settings of the daemon. */
const OTHER_VARIABLES = [
  'BAMBOOWELL_DAEMONS',
  'BAMBOOWELL_KEY',
  'BAMBOOWELL_KEY_FILE',
  'BAMBOOWELL_SETTINGS',
];

/** A node of a JSON Schema, as far as it is read here. */
interface SchemaNode {
  readonly type?: string;
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly anyOf?: readonly SchemaNode[];
}

/** One setting that a variable may replace. */
export interface Override {
  /** As in `BAMBOOWELL_CALLERS_MAX_BODY_BYTES`. */
  readonly variable: string;
  readonly path: Path;
  readonly type: string;
}

/** All overrides that a JSON Schema of settings allows. */
export function overridesOf(schema: SchemaNode, path: Path = []): Override[] {
  const inner = schema.anyOf?.find(({ type }) => type === 'object') ?? schema;
  if (inner.properties === undefined) {
    return [{ variable: variableOf(path), path, type: inner.type ?? 'string' }];
  }
  return Object.entries(inner.properties)
    .filter(([key]) => !key.startsWith('$'))
    .flatMap(([key, node]) => overridesOf(node, [...path, key]));
}

function variableOf(path: Path): string {
  const words = path.map((step) => String(step).replace(/([a-z])([A-Z])/g, '$1_$2'));
  return PREFIX + words.join('_').toUpperCase();
}

/** The value with the overrides of `environment`. The given value is left as it is. */
export function applyOverrides(
  value: unknown,
  overrides: readonly Override[],
  environment: Environment,
): unknown {
  return overrides.reduce((result, override) => {
    const text = environment[override.variable];
    return text === undefined ? result : withValue(result, override.path, valueOf(override, text));
  }, value);
}

/** Numbers and lists are read as JSON; what is none stays a text and fails the schema. */
function valueOf(override: Override, text: string): unknown {
  if (override.type === 'string') {
    return text;
  }
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

function withValue(target: unknown, path: Path, value: unknown): unknown {
  const [step, ...rest] = path;
  if (step === undefined) {
    return value;
  }
  const isObject = typeof target === 'object' && target !== null;
  const base = isObject ? (target as Record<string, unknown>) : {};
  return { ...base, [step]: withValue(base[step], rest, value) };
}

/** Variables with the prefix that name no setting; most often misspelt ones. */
export function unknownVariables(
  overrides: readonly Override[],
  environment: Environment,
): Problem[] {
  const known = new Set([...OTHER_VARIABLES, ...overrides.map(({ variable }) => variable)]);
  return Object.keys(environment)
    .filter((variable) => variable.startsWith(PREFIX) && !known.has(variable))
    .map((variable) => ({
      path: variable,
      expected: 'a variable that names a setting',
      found: 'an unknown one',
    }));
}

/** Names the variable where a problem's value came from one. */
export function withVariableName(
  problem: Problem,
  overrides: readonly Override[],
  environment: Environment,
): Problem {
  const source = overrides.find(
    ({ path, variable }) =>
      environment[variable] !== undefined && formatPath(path) === problem.path,
  );
  if (source === undefined) {
    return problem;
  }
  const { path, expected, found } = problem;
  return { path, expected, found: `${found} in ${source.variable}` };
}
