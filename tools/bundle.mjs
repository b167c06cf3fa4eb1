/**
 * Builds the member for the platform under target/: the launcher, the script with all code, and the
 * cache of its machine code for the runtime of this machine.
 */

import { spawnSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { build } from 'esbuild';
import { parse } from 'smol-toml';

const root = new URL('../', import.meta.url).pathname;
const target = `${root}target`;

const PROGRAM = 'target/bamboowelld.cjs';
const deployment = parse(readFileSync(`${root}deploy/system.toml`, 'utf8'));

/**
 * Names that the code imports from modules of the runtime which a member on the platform doesn't use;
 * each module is loaded when one of its names is.
 */
const ON_DEMAND = {
  'node:tls': ['Server', 'TLSSocket', 'connect', 'createServer'],
};

/** Loads modules of the runtime on demand, and leaves out HTTP/2, which undici does without. */
const runtimeModules = {
  name: 'runtime-modules',
  setup(builder) {
    builder.onResolve({ filter: /^node:(tls|http2)$/ }, ({ path, namespace }) =>
      namespace === 'runtime' ? { path, external: true } : { path, namespace: 'runtime' },
    );
    builder.onLoad({ filter: /.*/, namespace: 'runtime' }, ({ path }) => {
      const names = ON_DEMAND[path];
      const contents =
        names === undefined
          ? `throw new Error('${path} is not part of this program');`
          : names
              .map(
                (name) =>
                  `Object.defineProperty(exports, '${name}', { enumerable: true, get: () => require('${path}').${name} });`,
              )
              .join('\n');
      return { contents, loader: 'js' };
    });
  },
};

const options = {
  bundle: true,
  minify: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  // Packages export their sources under this condition, so that no other build is needed.
  conditions: ['source'],
  plugins: [runtimeModules],
};

await build({
  ...options,
  entryPoints: [`${root}platform/src/main.ts`],
  outfile: `${target}/member.cjs`,
});
for (const name of ['launcher', 'write-cache']) {
  await build({
    ...options,
    entryPoints: [`${root}platform/src/${name}.ts`],
    outfile: `${target}/${name === 'launcher' ? 'bamboowelld' : name}.cjs`,
  });
}
// The runtime rejects a cache that was made with other options than it runs with.
const [, ...words] = deployment.roles.member.run.split(' ');
const runtimeOptions = words.filter((word, index) => index < words.indexOf(PROGRAM));
const writer = [...runtimeOptions, `${target}/write-cache.cjs`];
const { status } = spawnSync(process.execPath, writer, { stdio: 'inherit' });
process.exitCode = status ?? 1;
