/** Validates input from the command line, the environment and files. */

import { readFile } from 'node:fs/promises';
import type { Readable } from 'node:stream';
import { text as textOfStream } from 'node:stream/consumers';
import * as t from 'typanion';
import { Secret } from '@bamboowell/logger/secret';

/** The command can't run with the given arguments, environment or files. */
export class UsageError extends Error {
  override readonly name = 'UsageError';
}

export type Environment = Readonly<Record<string, string | undefined>>;

const DEFAULT_DAEMON = '127.0.0.1:8470';
const KEY_PATTERN = /^[a-z0-9-]+\.\S+$/;

export const positiveInteger = t.cascade(t.isNumber(), t.isInteger(), t.isAtLeast(1));
export const nonNegativeInteger = t.cascade(t.isNumber(), t.isInteger(), t.isAtLeast(0));
export const nonNegativeNumber = t.cascade(t.isNumber(), t.isAtLeast(0));

/** URLs of the daemons: those given, else those in BAMBOOWELL_DAEMONS, else a local default. */
export function daemonUrls(given: readonly string[], environment: Environment): string[] {
  const addresses = given.length > 0 ? given : (environment.BAMBOOWELL_DAEMONS ?? '').split(',');
  const texts = addresses.map((text) => text.trim()).filter((text) => text !== '');
  return (texts.length > 0 ? texts : [DEFAULT_DAEMON]).map(parseDaemonUrl);
}

const URL_PATTERN = /^https?:\/\/[^/]+\/?$/;

function parseDaemonUrl(text: string): string {
  const url = text.includes('://') ? text : `http://${text}`;
  if (!URL_PATTERN.test(url) || !URL.canParse(url)) {
    throw new UsageError(`expected a daemon as host:port or https://host:port, found ${text}`);
  }
  return new URL(url).origin;
}

/**
 * The key from the given file, else from the file in BAMBOOWELL_KEY_FILE, else from BAMBOOWELL_KEY;
 * undefined if none of them is set.
 */
export async function keyFrom(
  file: string | undefined,
  environment: Environment,
): Promise<Secret | undefined> {
  const path = file ?? environment.BAMBOOWELL_KEY_FILE;
  const source = path ?? 'BAMBOOWELL_KEY';
  const text = path === undefined ? environment.BAMBOOWELL_KEY : await fileText(path);
  if (text === undefined) {
    return undefined;
  }
  if (!KEY_PATTERN.test(text.trim())) {
    throw new UsageError(`expected a key as <key id>.<secret> in ${source}`);
  }
  return new Secret(text.trim());
}

/** The payload given as text, read from a file, or read from standard input if the file is `-`. */
export async function payloadFrom(
  text: string | undefined,
  file: string | undefined,
  stdin: Readable,
): Promise<string> {
  if (text !== undefined && file !== undefined) {
    throw new UsageError('expected either --payload or --payload-file');
  }
  if (file === undefined) {
    return text ?? '';
  }
  return file === '-' ? textOfStream(stdin) : fileText(file);
}

async function fileText(path: string): Promise<string> {
  try {
    return await readFile(path, 'utf8');
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new UsageError(`can't read ${path}: ${reason}`);
  }
}
