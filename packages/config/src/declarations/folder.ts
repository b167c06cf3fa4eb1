/** Folders of declarations on disk. */

import { mkdir, readdir, readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { DeclarationsFile } from './parse.js';

/** The files of a folder could not be read or written. */
export class FolderError extends Error {
  override readonly name = 'FolderError';
}

/**
 * Reads all `*.json` files directly in the folder, in the order of their names.
 * @throws FolderError if there is none: an empty folder would remove everything.
 */
export async function readFolder(folder: string): Promise<DeclarationsFile[]> {
  const names = (await namesIn(folder)).filter(isDeclarations).sort();
  if (names.length === 0) {
    throw new FolderError(`${folder} holds no *.json file`);
  }
  return Promise.all(names.map((name) => readFileOf(join(folder, name))));
}

/**
 * Writes the files into the folder, which is made if need be.
 * @throws FolderError if one exists, unless `replace` is set.
 */
export async function writeFolder(
  folder: string,
  files: readonly DeclarationsFile[],
  replace: boolean,
): Promise<void> {
  await mkdir(folder, { recursive: true }).catch(fail(`cannot make ${folder}`));
  const present = await namesIn(folder);
  const taken = files.find(({ name }) => present.includes(name));
  if (taken !== undefined && !replace) {
    throw new FolderError(`${join(folder, taken.name)} exists already`);
  }
  for (const { name, text } of files) {
    const path = join(folder, name);
    await writeFile(path, text).catch(fail(`cannot write ${path}`));
  }
}

function isDeclarations(name: string): boolean {
  return name.endsWith('.json') && !name.endsWith('.schema.json');
}

function namesIn(folder: string): Promise<string[]> {
  return readdir(folder).catch(fail(`cannot read the folder ${folder}`));
}

async function readFileOf(path: string): Promise<DeclarationsFile> {
  const text = await readFile(path, 'utf8').catch(fail(`cannot read ${path}`));
  return { name: path, text };
}

function fail(what: string): (error: unknown) => never {
  return (error) => {
    const reason = error instanceof Error ? error.message : String(error);
    throw new FolderError(`${what}: ${reason}`);
  };
}
