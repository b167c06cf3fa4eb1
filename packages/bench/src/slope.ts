/** Measures at several sizes and fits a line to the results. */

import { fitLine, rounded, type Line, type Point } from './line-fit.js';

export interface Slope {
  readonly points: readonly Point[];
  readonly fit: Line;
}

/** Measures at each size, in order, and fits a line. */
export function slopeOf(sizes: readonly number[], measure: (size: number) => number): Slope {
  const points = sizes.map((x): Point => ({ x, y: rounded(measure(x)) }));
  return { points, fit: fitLine(points) };
}
