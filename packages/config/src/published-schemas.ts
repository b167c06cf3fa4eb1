/** The JSON Schemas that are published in the folder `examples`. */

import { daemonSettingsJsonSchema } from './daemon-settings-schema.js';
import { declarationsJsonSchema } from './declarations/schema.js';

export interface PublishedSchema {
  readonly name: string;
  readonly schema: object;
}

export function publishedSchemas(): PublishedSchema[] {
  return [
    { name: 'declarations.schema.json', schema: declarationsJsonSchema() },
    { name: 'bamboowelld.schema.json', schema: daemonSettingsJsonSchema() },
  ];
}
