import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import test from 'ava';
import { parseSettings } from './daemon-settings.js';
import { readFolder } from './declarations/folder.js';
import { parseDeclarations } from './declarations/parse.js';
import { publishedSchemas } from './published-schemas.js';

const EXAMPLES = new URL('../../../examples/', import.meta.url);

function exampleText(name: string): string {
  return readFileSync(new URL(name, EXAMPLES), 'utf8');
}

for (const { name, schema } of publishedSchemas()) {
  test(`${name} is up to date; npm run schemas -w packages/config writes it`, (t) => {
    t.deepEqual(JSON.parse(exampleText(name)), JSON.parse(JSON.stringify(schema)));
  });
}

for (const profile of ['upepo', 'tallowgum', 'tour']) {
  test(`the declarations of ${profile} are valid and refer to the schema`, async (t) => {
    const files = await readFolder(fileURLToPath(new URL(profile, EXAMPLES)));
    t.is(parseDeclarations(files).kind, 'valid');
    for (const { text } of files) {
      t.like(JSON.parse(text), { $schema: '../declarations.schema.json' });
    }
  });
}

test('the sample settings are valid', (t) => {
  t.is(parseSettings(exampleText('bamboowelld.json'), {}).kind, 'valid');
});
