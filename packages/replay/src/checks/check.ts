/** A point of the brief as a check of observations. */

import type { Observation } from '../observation.js';
import type { Point } from '../trace.js';

export interface Violation {
  readonly point: Point;
  /** When it was seen, milliseconds since the start. */
  readonly at: number;
  readonly detail: string;
}

export abstract class Check {
  abstract readonly point: Point;
  private readonly found: Violation[] = [];

  /** Takes the observations one by one, in order. */
  abstract see(observation: Observation): void;

  /** All observations were seen. */
  end(): void {
    return undefined;
  }

  get violations(): readonly Violation[] {
    return this.found;
  }

  protected violated(at: number, detail: string): void {
    this.found.push({ point: this.point, at, detail });
  }
}
