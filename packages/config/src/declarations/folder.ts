/** Reads and writes folders of declarations. */

import { mkdir, readdir, readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { DeclarationsFile } from './parse.js';

/** A folder of declarations could not be read or written. */
export class FolderError extends Error {
  override readonly name = 'FolderError';
}

/**
 * Reads all `*.json` files directly in the folder, sorted by name. Skips `*.schema.json`.
 * @throws FolderError if there is no such file, since applying an empty folder would remove
 * everything.
 */
export async function readFolder(folder: string): Promise<DeclarationsFile[]> {
  const names = (await namesIn(folder)).filter(isDeclarationsFile).sort();
  if (names.length === 0) {
    throw new FolderError(`${folder} contains no *.json file`);
  }
  return Promise.all(names.map((name) => readFileOf(join(folder, name))));
}

/**
 * Writes the files to the folder, creating it if needed.
 * @throws FolderError if one of the files exists and `replace` is not set.
 */
export async function writeFolder(
  folder: string,
  files: readonly DeclarationsFile[],
  replace: boolean,
): Promise<void> {
  await mkdir(folder, { recursive: true }).catch(failWith(`cannot create ${folder}`));
  const existing = await namesIn(folder);
  const conflict = files.find(({ name }) => existing.includes(name));
  if (conflict !== undefined && !replace) {
    throw new FolderError(`${join(folder, conflict.name)} already exists`);
  }
  for (const { name, text } of files) {
    const path = join(folder, name);
    await writeFile(path, text).catch(failWith(`cannot write ${path}`));
  }
}

function isDeclarationsFile(name: string): boolean {
  return name.endsWith('.json') && !name.endsWith('.schema.json');
}

function namesIn(folder: string): Promise<string[]> {
  return readdir(folder).catch(failWith(`cannot read the folder ${folder}`));
}

async function readFileOf(path: string): Promise<DeclarationsFile> {
  const text = await readFile(path, 'utf8').catch(failWith(`cannot read ${path}`));
  return { name: path, text };
}

function failWith(what: string): (error: unknown) => never {
  return (error) => {
    const reason = error instanceof Error ? error.message : String(error);
    throw new FolderError(`${what}: ${reason}`);
  };
}
