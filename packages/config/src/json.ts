/** Parses JSON and keeps the position of each value. */

import {
  findNodeAtLocation,
  getNodeValue,
  parseTree,
  printParseErrorCode,
  type Node,
  type ParseError,
} from 'jsonc-parser';
import { formatPath, type Path, type Position, type Problem } from './problem.js';

/** Parsed JSON, or its syntax errors. */
export type ParsedJson =
  | {
      readonly kind: 'parsed';
      readonly value: unknown;
      /** Where the value at the path starts; undefined if there is no such value. */
      readonly positionOf: (path: Path) => Position | undefined;
    }
  | { readonly kind: 'malformed'; readonly problems: readonly Problem[] };

const STRICT = { disallowComments: true, allowTrailingComma: false };

/** Some editors put a byte order mark at the start of a file. */
const BYTE_ORDER_MARK = /^\uFEFF/;

/** Parses strict JSON. A duplicate key in an object is an error too. */
export function parseJson(source: string): ParsedJson {
  const text = source.replace(BYTE_ORDER_MARK, '');
  const errors: ParseError[] = [];
  const tree = parseTree(text, errors, STRICT);
  const problems = [...errors.slice(0, 1).map((error) => problemOf(text, error))];
  if (tree === undefined || problems.length > 0) {
    return { kind: 'malformed', problems: problems.length > 0 ? problems : [emptyFileProblem()] };
  }
  const duplicates = duplicateKeys(text, tree, []);
  if (duplicates.length > 0) {
    return { kind: 'malformed', problems: duplicates };
  }
  return {
    kind: 'parsed',
    value: getNodeValue(tree),
    positionOf: (path) => {
      const node = findNodeAtLocation(tree, [...path]);
      return node === undefined ? undefined : positionAt(text, node.offset);
    },
  };
}

function emptyFileProblem(): Problem {
  return { path: '', position: { line: 1, column: 1 }, expected: 'JSON', found: 'an empty file' };
}

function problemOf(text: string, error: ParseError): Problem {
  const found = text.slice(error.offset, error.offset + Math.max(error.length, 1));
  return {
    path: '',
    position: positionAt(text, error.offset),
    expected: expectedBy(error),
    found: found === '' ? 'the end of the file' : JSON.stringify(found),
  };
}

/** Turns `CommaExpected` into `a comma`, and other error codes into `valid JSON (<error>)`. */
function expectedBy(error: ParseError): string {
  const name = printParseErrorCode(error.error);
  const words = name.replace(/([a-z])([A-Z])/g, '$1 $2').toLowerCase();
  return words.endsWith(' expected')
    ? `a ${words.slice(0, -' expected'.length)}`
    : `valid JSON (${words})`;
}

function positionAt(text: string, offset: number): Position {
  const before = text.slice(0, offset).split('\n');
  return { line: before.length, column: (before.at(-1)?.length ?? 0) + 1 };
}

function duplicateKeys(text: string, node: Node, path: Path): Problem[] {
  const children = node.children ?? [];
  if (node.type === 'array') {
    return children.flatMap((child, index) => duplicateKeys(text, child, [...path, index]));
  }
  if (node.type !== 'object') {
    return [];
  }
  const seen = new Set<string>();
  return children.flatMap(({ children: [key, value] = [], offset }) => {
    const name = String(key?.value);
    const keyPath = [...path, name];
    if (seen.has(name)) {
      return [duplicateKeyProblem(keyPath, positionAt(text, offset))];
    }
    seen.add(name);
    return value === undefined ? [] : duplicateKeys(text, value, keyPath);
  });
}

function duplicateKeyProblem(path: Path, position: Position): Problem {
  return {
    path: formatPath(path),
    position,
    expected: 'each field once',
    found: 'a second one',
  };
}
