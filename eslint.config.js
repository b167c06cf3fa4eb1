import tseslint from 'typescript-eslint';

/** Packages whose code makes decisions: no I/O, no codec, no timers. */
const PURE_PACKAGES = ['types', 'state', 'policy', 'owner', 'ownership'];

const INPUT_OUTPUT = ['node:*', 'undici', 'hono', 'hono/*', '@hono/*', 'hot-shots', 'debug'];
const CODECS = ['@bufbuild/*', '@connectrpc/*', 'json-rpc-2.0', 'zod', '@bamboowell/schema/*'];

export default tseslint.config(
  { ignores: ['**/dist/**', '**/generated/**', 'eslint.config.js', 'tools/**'] },
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
      'no-restricted-imports': [
        'error',
        { patterns: [{ group: ['**/index', '**/index.js'], message: 'No index files.' }] },
      ],
    },
  },
  {
    files: PURE_PACKAGES.map((name) => `packages/${name}/src/**/*.ts`),
    ignores: ['**/*.test.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group: [...INPUT_OUTPUT, ...CODECS],
              message: 'Decisions stay apart from I/O and codecs.',
            },
            {
              group: ['@bamboowell/kernel/*', '@bamboowell/log/*', '@bamboowell/wire/*'],
              message: 'Decisions stay apart from services.',
            },
            { group: ['**/index', '**/index.js'], message: 'No index files.' },
          ],
        },
      ],
      'no-restricted-globals': [
        'error',
        'setTimeout',
        'setInterval',
        'setImmediate',
        'process',
        'performance',
        'fetch',
      ],
      'no-restricted-properties': [
        'error',
        { object: 'Date', property: 'now' },
        { object: 'Math', property: 'random' },
      ],
    },
  },
);
