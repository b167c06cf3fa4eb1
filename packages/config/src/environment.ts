/** Overrides of settings by environment variables. */

import { formatPath, type Path, type Problem } from './problem.js';

/** The environment variables of a process. */
export type Environment = Readonly<Record<string, string | undefined>>;

const PREFIX = 'BAMBOOWELL_';

/** Variables that have the prefix but don't override a daemon setting. */
const OTHER_VARIABLES = [
  'BAMBOOWELL_DAEMONS',
  'BAMBOOWELL_KEY',
  'BAMBOOWELL_KEY_FILE',
  'BAMBOOWELL_SETTINGS',
];

/** The part of a JSON Schema node that this module reads. */
interface SchemaNode {
  readonly type?: string;
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly anyOf?: readonly SchemaNode[];
}

/** A setting that an environment variable can override. */
export interface Override {
  /** Name of the variable, such as `BAMBOOWELL_CALLERS_MAX_BODY_BYTES`. */
  readonly variable: string;
  readonly path: Path;
  readonly type: string;
}

/** Lists the overrides of all settings in a JSON Schema. */
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

/** Returns a copy of the settings with the overrides that `environment` sets. */
export function applyOverrides(
  value: unknown,
  overrides: readonly Override[],
  environment: Environment,
): unknown {
  return overrides.reduce((result, override) => {
    const text = environment[override.variable];
    return text === undefined
      ? result
      : setAtPath(result, override.path, parseValue(override, text));
  }, value);
}

/** Parses numbers and lists as JSON. Invalid JSON stays a string, which the schema then rejects. */
function parseValue(override: Override, text: string): unknown {
  if (override.type === 'string') {
    return text;
  }
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

function setAtPath(target: unknown, path: Path, value: unknown): unknown {
  const [step, ...rest] = path;
  if (step === undefined) {
    return value;
  }
  const isObject = typeof target === 'object' && target !== null;
  const base = isObject ? (target as Record<string, unknown>) : {};
  return { ...base, [step]: setAtPath(base[step], rest, value) };
}

/** Reports variables that have the prefix but name no setting, most often misspelt ones. */
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

/** Adds the name of the variable to a problem whose value came from the environment. */
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
