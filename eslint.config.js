import tseslint from 'typescript-eslint';

/** Packages that make decisions: they must not use I/O, codecs or timers. */
const PURE_PACKAGES = ['types', 'state', 'policy', 'owner', 'ownership', 'jobs'];

const INPUT_OUTPUT = ['node:*', 'undici', 'hono', 'hono/*', '@hono/*', 'hot-shots', 'debug'];
const CODECS = ['@bufbuild/*', '@connectrpc/*', 'json-rpc-2.0', 'zod', '@bamboowell/schema/*'];

/** Names of the platform's formats and calls, which only `platform/` may use. */
const PLATFORM_NAMES =
  /run-start|run-stop|log-append|log-read|log-newest|log-join|machine-move|machine-upkeep|fencingToken|ackedUpto|deadlineMs|enforceCapacity|X-Lease-Holder|X-Expected-Instance|BAMBOOWELL_BOOT|keyed\.|grantToken|requiredLabel|dataRack|slackFactor|maxUnavailable|estimateMs|maxPerServer|speculative/;

/**
 * Modules that make decisions. `platform/` must not import them; it may use types, ports and
 * services.
 */
const DECISIONS = ['@bamboowell/policy/*', '@bamboowell/owner/*', '@bamboowell/jobs/scheduler'];

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
  {
    files: ['packages/**/*.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        {
          selector: `Literal[value=${PLATFORM_NAMES}]`,
          message: "The platform's names belong into platform/.",
        },
        {
          selector: `Identifier[name=${PLATFORM_NAMES}]`,
          message: "The platform's names belong into platform/.",
        },
        {
          selector: `TemplateElement[value.raw=${PLATFORM_NAMES}]`,
          message: "The platform's names belong into platform/.",
        },
      ],
    },
  },
  {
    files: ['platform/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            { group: DECISIONS, message: 'The platform folder decides nothing.' },
            { group: ['**/index', '**/index.js'], message: 'No index files.' },
          ],
        },
      ],
    },
  },
);
