/** Values that must never be printed. */

import { inspect } from 'node:util';

const PLACEHOLDER = '[secret]';

/** Holds a text that prints as `[secret]` in strings, JSON and logs. */
export class Secret {
  readonly #value: string;

  constructor(value: string) {
    this.#value = value;
  }

  /** Returns the text itself. Call it only where the text is sent to whoever needs it. */
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
