/** JSON text with the position of each value. */

import {
  findNodeAtLocation,
  getNodeValue,
  parseTree,
  printParseErrorCode,
  type Node,
  type ParseError,
} from 'jsonc-parser';
import { formatPath, type Path, type Position, type Problem } from './problem.js';

/** A parsed text, or what is wrong with it. */
export type JsonText =
  | {
      readonly kind: 'parsed';
      readonly value: unknown;
      /** Where the value at the path starts; undefined if there is none. */
      readonly positionOf: (path: Path) => Position | undefined;
    }
  | { readonly kind: 'malformed'; readonly problems: readonly Problem[] };

const STRICT = { disallowComments: true, allowTrailingComma: false };

/** The bytes that some editors put at the start of a file. */
const BYTE_ORDER_MARK = /^\uFEFF/;

/** Parses strict JSON. A repeated key in one object is an error too. */
export function parseJson(source: string): JsonText {
  const text = source.replace(BYTE_ORDER_MARK, '');
  const errors: ParseError[] = [];
  const tree = parseTree(text, errors, STRICT);
  const problems = [...errors.slice(0, 1).map((error) => problemOf(text, error))];
  if (tree === undefined || problems.length > 0) {
    return { kind: 'malformed', problems: problems.length > 0 ? problems : [emptyText()] };
  }
  const repeated = repeatedKeys(text, tree, []);
  if (repeated.length > 0) {
    return { kind: 'malformed', problems: repeated };
  }
  return {
    kind: 'parsed',
    value: getNodeValue(tree),
    positionOf: (path) => {
      const node = findNodeAtLocation(tree, [...path]);
      return node === undefined ? undefined : placeAt(text, node.offset);
    },
  };
}

function emptyText(): Problem {
  return { path: '', position: { line: 1, column: 1 }, expected: 'JSON', found: 'an empty text' };
}

function problemOf(text: string, error: ParseError): Problem {
  const found = text.slice(error.offset, error.offset + Math.max(error.length, 1));
  return {
    path: '',
    position: placeAt(text, error.offset),
    expected: expectedBy(error),
    found: found === '' ? 'the end of the text' : JSON.stringify(found),
  };
}

/** `CommaExpected` becomes `a comma`; the other errors name what is wrong. */
function expectedBy(error: ParseError): string {
  const name = printParseErrorCode(error.error);
  const words = name.replace(/([a-z])([A-Z])/g, '$1 $2').toLowerCase();
  return words.endsWith(' expected')
    ? `a ${words.slice(0, -' expected'.length)}`
    : `valid JSON (${words})`;
}

function placeAt(text: string, offset: number): Position {
  const before = text.slice(0, offset).split('\n');
  return { line: before.length, column: (before.at(-1)?.length ?? 0) + 1 };
}

function repeatedKeys(text: string, node: Node, path: Path): Problem[] {
  const children = node.children ?? [];
  if (node.type === 'array') {
    return children.flatMap((child, index) => repeatedKeys(text, child, [...path, index]));
  }
  if (node.type !== 'object') {
    return [];
  }
  const seen = new Set<string>();
  return children.flatMap(({ children: [key, value] = [], offset }) => {
    const name = String(key?.value);
    const inside = [...path, name];
    if (seen.has(name)) {
      return [repeatedKey(inside, placeAt(text, offset))];
    }
    seen.add(name);
    return value === undefined ? [] : repeatedKeys(text, value, inside);
  });
}

function repeatedKey(path: Path, place: Position): Problem {
  return {
    path: formatPath(path),
    position: place,
    expected: 'each field once',
    found: 'a second one',
  };
}
