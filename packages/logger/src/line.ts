/** The text form of an event: `event=name key=value …` on one line. */

import type { Secret } from './secret.js';

/** A value that an event may carry. Undefined fields are left out. */
export type FieldValue = string | number | boolean | null | undefined | Secret;

export type Fields = Readonly<Record<string, FieldValue>>;

/** Texts that need no quotes: no spaces, quotes, equals signs or control characters. */
const PLAIN_TEXT = /^[^\s"=\\\p{C}]+$/u;

/** Unicode line breaks, which `JSON.stringify` does not escape. */
const UNICODE_LINE_BREAKS = /[\u0085\u2028\u2029]/g;

/** Formats an event. The name comes first, then the fields in their order. */
export function lineOf(name: string, fields: Fields): string {
  const pairs = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${textOf(value)}`);
  return [`event=${textOf(name)}`, ...pairs].join(' ');
}

function textOf(value: FieldValue): string {
  const text = String(value);
  return PLAIN_TEXT.test(text) ? text : quoted(text);
}

function quoted(text: string): string {
  return JSON.stringify(text).replace(UNICODE_LINE_BREAKS, escapeCharacter);
}

function escapeCharacter(character: string): string {
  return `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`;
}
