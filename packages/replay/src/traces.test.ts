import { readdirSync, readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import test from 'ava';
import { replayTrace } from './replay-trace.js';

const TRACES = fileURLToPath(new URL('../traces/', import.meta.url));

function tracesIn(folder: string): string[] {
  return readdirSync(folder).filter((name) => name.endsWith('.jsonl'));
}

for (const name of tracesIn(TRACES)) {
  test(`the trace ${name} has the outcome that its header states`, async (t) => {
    const { problems } = await replayTrace(readFileSync(`${TRACES}${name}`, 'utf8'));
    t.deepEqual(problems, []);
  });
}

test('a failed expectation is reported with its line number', async (t) => {
  const [name = ''] = tracesIn(TRACES).filter((each) => each.startsWith('owner-killed'));
  const text = readFileSync(`${TRACES}${name}`, 'utf8').trimEnd();
  const wrong = JSON.stringify({ at: 60_000, expect: 'version', daemon: 'e1', is: 99 });
  const { problems } = await replayTrace(`${text}\n${wrong}`);
  t.is(problems.length, 1);
  t.regex(problems[0] ?? '', /^line \d+: daemon e1 has version 1, expected 99$/);
});

test('a recorded trace without the violation that its header states is reported', async (t) => {
  const header = {
    trace: 'empty',
    point: 'one_place',
    failure: 'none',
    text: 'Nothing was seen.',
    mode: 'recorded',
    outcome: { flagged: ['one_place'] },
  };
  const { problems } = await replayTrace(JSON.stringify(header));
  t.is(problems.length, 1);
});
