/** Reads and checks the settings file and the certificate files that it names. */

import { readFile } from 'node:fs/promises';
import { parseSettings, type DaemonSettings } from '@bamboowell/config/daemon-settings';
import type { Environment } from '@bamboowell/config/environment';
import { describeProblem } from '@bamboowell/config/problem';
import { readCallerIdentity, readPeerIdentity, UnusableFileError } from './certificate-files.js';

/** The settings if everything is valid, otherwise one line for each problem. */
export type SettingsFile =
  | { readonly kind: 'usable'; readonly settings: DaemonSettings }
  | { readonly kind: 'unusable'; readonly lines: readonly string[] };

export async function readSettingsFile(
  file: string,
  environment: Environment,
): Promise<SettingsFile> {
  const text = await readText(file);
  if (text.kind === 'unusable') {
    return text;
  }
  const parsed = parseSettings(text.text, environment);
  if (parsed.kind === 'invalid') {
    const lines = parsed.problems.map((problem) => describeProblem(file, problem));
    return { kind: 'unusable', lines };
  }
  const { settings } = parsed;
  const problems = await certificateProblems(settings);
  return problems.length === 0
    ? { kind: 'usable', settings }
    : { kind: 'unusable', lines: problems.map((problem) => `${file}: ${problem}`) };
}

type Text =
  | { readonly kind: 'read'; readonly text: string }
  | { readonly kind: 'unusable'; readonly lines: readonly string[] };

async function readText(file: string): Promise<Text> {
  try {
    return { kind: 'read', text: await readFile(file, 'utf8') };
  } catch (error) {
    const found = error instanceof Error ? error.message : String(error);
    return { kind: 'unusable', lines: [`${file}: expected a readable file, found: ${found}`] };
  }
}

async function certificateProblems({ callers, peers }: DaemonSettings): Promise<string[]> {
  const problems = [
    callers.tls === undefined ? undefined : await problemOf(readCallerIdentity(callers.tls)),
    peers.tls === undefined ? undefined : await problemOf(readPeerIdentity(peers.tls)),
  ];
  return problems.filter((problem) => problem !== undefined);
}

async function problemOf(read: Promise<unknown>): Promise<string | undefined> {
  try {
    await read;
    return undefined;
  } catch (error) {
    if (error instanceof UnusableFileError) {
      return error.message;
    }
    throw error;
  }
}
