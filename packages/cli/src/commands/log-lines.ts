/** Reads the lines of members' logs from files or from standard input. */

import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';

/** Takes all lines, one after the other. */
export interface LineConsumer {
  add(line: string): void;
}

/** Hands all lines over; returns a sentence about the file that can't be read, if one can't. */
export async function readLogs(
  files: readonly string[],
  stdin: Readable,
  taker: LineConsumer,
): Promise<string | undefined> {
  if (files.length === 0) {
    const problem = await readAll(stdin, taker);
    return problem === undefined ? undefined : `can't read standard input: ${problem}`;
  }
  for (const file of files) {
    const problem = await readAll(createReadStream(file), taker);
    if (problem !== undefined) {
      return `can't read ${file}: ${problem}`;
    }
  }
  return undefined;
}

async function readAll(input: Readable, taker: LineConsumer): Promise<string | undefined> {
  const lines = createInterface({ input, crlfDelay: Number.POSITIVE_INFINITY });
  const failure = new Promise<string>((resolve) => {
    input.once('error', (error) => {
      resolve(error.message);
      lines.close();
    });
  });
  const read = async (): Promise<string | undefined> => {
    for await (const line of lines) {
      taker.add(line);
    }
    return input.errored === null ? undefined : failure;
  };
  return Promise.race([failure, read()]);
}
