/** Bundles the member for the platform into one file under target/. */

import { build } from 'esbuild';

const root = new URL('../', import.meta.url).pathname;

await build({
  entryPoints: [`${root}platform/src/main.ts`],
  outfile: `${root}target/bamboowelld.mjs`,
  bundle: true,
  minify: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  // Packages export their sources under this condition, so that no other build is needed.
  conditions: ['source'],
  // Bundled CommonJS packages call require.
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
});
