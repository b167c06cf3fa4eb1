/** Parses the daemon's settings: one JSON file, with overrides by environment variables. */

import {
  daemonSettingsJsonSchema,
  daemonSettingsSchema,
  type DaemonSettings,
} from './daemon-settings-schema.js';
import {
  applyOverrides,
  overridesOf,
  unknownVariables,
  withVariableName,
  type Environment,
} from './environment.js';
import { problemsOf } from './issues.js';
import { parseJson } from './json.js';
import type { Problem } from './problem.js';

export type { DaemonSettings } from './daemon-settings-schema.js';

/** Valid settings, or the problems found in the file and the environment. */
export type ParsedSettings =
  | { readonly kind: 'valid'; readonly settings: DaemonSettings }
  | { readonly kind: 'invalid'; readonly problems: readonly Problem[] };

/** The environment variables that override settings. */
export const OVERRIDES = overridesOf(daemonSettingsJsonSchema());

/** Parses and validates a settings file together with the environment. */
export function parseSettings(text: string, environment: Environment): ParsedSettings {
  const json = parseJson(text);
  if (json.kind === 'malformed') {
    return { kind: 'invalid', problems: json.problems };
  }
  const value = applyOverrides(json.value, OVERRIDES, environment);
  const checked = daemonSettingsSchema.safeParse(value);
  const schemaProblems = checked.success ? [] : problemsOf(checked.error, value, json.positionOf);
  const problems = [
    ...schemaProblems.map((problem) => withVariableName(problem, OVERRIDES, environment)),
    ...unknownVariables(OVERRIDES, environment),
  ];
  return checked.success && problems.length === 0
    ? { kind: 'valid', settings: checked.data }
    : { kind: 'invalid', problems };
}
