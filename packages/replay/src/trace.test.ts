import test from 'ava';
import { MalformedTraceError, parseTrace } from './trace.js';

const HEADER = {
  trace: 'sample',
  point: 'one_place',
  failure: 'none',
  text: 'A sample.',
  mode: 'run',
  outcome: 'holds',
};

function traceOf(...lines: readonly object[]): string {
  return [HEADER, ...lines].map((line) => JSON.stringify(line)).join('\n');
}

function malformedLine(text: string): MalformedTraceError {
  try {
    parseTrace(text);
  } catch (error) {
    if (error instanceof MalformedTraceError) {
      return error;
    }
  }
  throw new Error('the trace was parsed without an error');
}

test('parses steps and expectations with their line numbers', (t) => {
  const trace = parseTrace(
    traceOf({ at: 5, do: 'heal' }, { at: 6, expect: 'version', daemon: 'e1', is: 2 }),
  );
  t.deepEqual(trace.steps, [{ at: 5, do: 'heal', line: 2 }]);
  t.deepEqual(trace.expectations, [{ at: 6, expect: 'version', daemon: 'e1', is: 2, line: 3 }]);
});

test('the error names the line that is not valid JSON', (t) => {
  const error = malformedLine(`${traceOf({ at: 1, do: 'heal' })}\n{"at": 2,`);
  t.is(error.line, 3);
});

test('the error names the line and the invalid member', (t) => {
  const error = malformedLine(traceOf({ at: 1, do: 'log', is: 'sideways' }));
  t.is(error.line, 2);
  t.regex(error.message, /is/);
});

test('rejects unknown members, unknown steps, decreasing times and an empty text', (t) => {
  t.is(malformedLine(traceOf({ at: 1, do: 'heal', extra: 1 })).line, 2);
  t.is(malformedLine(traceOf({ at: 1, do: 'fly' })).line, 2);
  t.is(malformedLine(traceOf({ at: 2, do: 'heal' }, { at: 1, do: 'heal' })).line, 3);
  t.is(malformedLine('').line, 1);
});
