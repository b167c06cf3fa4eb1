/** Checks one guarantee against a sequence of observations. */

import type { Observation } from '../observation.js';
import type { Guarantee } from '../trace.js';

export interface Violation {
  readonly guarantee: Guarantee;
  /** When the check found it, milliseconds since the start. */
  readonly at: number;
  readonly detail: string;
}

export abstract class Check {
  abstract readonly guarantee: Guarantee;
  private readonly found: Violation[] = [];

  /** Takes the observations one by one, in order. */
  abstract observe(observation: Observation): void;

  /** Called after the last observation. */
  finish(): void {
    return undefined;
  }

  get violations(): readonly Violation[] {
    return this.found;
  }

  protected reportViolation(at: number, detail: string): void {
    this.found.push({ guarantee: this.guarantee, at, detail });
  }
}
