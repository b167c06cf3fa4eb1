/** Values that must never be printed. */

import { inspect } from 'node:util';

const PLACEHOLDER = '[secret]';

/** Holds a text that prints as `[secret]` in strings, JSON and logs. */
export class Secret {
  readonly #value: string;

  constructor(value: string) {
    this.#value = value;
  }

  /** Returns the text itself. Call it only to send the text to its recipient. */
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
