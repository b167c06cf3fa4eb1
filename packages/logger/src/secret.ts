/** Values that must never be printed. */

import { inspect } from 'node:util';

const PLACEHOLDER = '[secret]';

/** Holds a text that prints as `[secret]` in strings, JSON and logs. */
export class Secret {
  readonly #value: string;

  constructor(value: string) {
    this.#value = value;
  }

  /** The text itself. Call it only where the text leaves towards its user. */
  reveal(): string {
    return this.#value;
  }

  toString(): string {
    return PLACEHOLDER;
  }

  toJSON(): string {
    return PLACEHOLDER;
  }

  [inspect.custom](): string {
    return PLACEHOLDER;
  }
}
