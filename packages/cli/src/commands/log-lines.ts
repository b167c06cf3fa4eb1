/** Reads the lines of members' logs from files or from standard input. */

import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';

/** Receives log lines one after another. */
export interface LineConsumer {
  add(line: string): void;
}

/** Passes all lines to the consumer. Returns an error message if an input can't be read. */
export async function readLogs(
  files: readonly string[],
  stdin: Readable,
  consumer: LineConsumer,
): Promise<string | undefined> {
  if (files.length === 0) {
    const problem = await readAll(stdin, consumer);
    return problem === undefined ? undefined : `can't read standard input: ${problem}`;
  }
  for (const file of files) {
    const problem = await readAll(createReadStream(file), consumer);
    if (problem !== undefined) {
      return `can't read ${file}: ${problem}`;
    }
  }
  return undefined;
}

async function readAll(input: Readable, consumer: LineConsumer): Promise<string | undefined> {
  const lines = createInterface({ input, crlfDelay: Number.POSITIVE_INFINITY });
  const failure = new Promise<string>((resolve) => {
    input.once('error', (error) => {
      resolve(error.message);
      lines.close();
    });
  });
  const read = async (): Promise<string | undefined> => {
    for await (const line of lines) {
      consumer.add(line);
    }
    return input.errored === null ? undefined : failure;
  };
  return Promise.race([failure, read()]);
}
