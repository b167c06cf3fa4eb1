/** Writes the published JSON Schemas to the folder given on the command line. */

import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { publishedSchemas } from './published-schemas.js';

const [folder = '.'] = process.argv.slice(2);

for (const { name, schema } of publishedSchemas()) {
  writeFileSync(join(folder, name), `${JSON.stringify(schema, undefined, 2)}\n`);
}
