/** Fits a least-squares line to measured points. */

export interface Point {
  readonly x: number;
  readonly y: number;
}

/** `y = intercept + slope * x`, with the residual of the points. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
  /** Root of the mean squared distance of the points, in units of y. */
  readonly residual: number;
  /** The residual as a fraction of the mean of y. */
  readonly relativeResidual: number;
}

const SIGNIFICANT_DIGITS = 4;

/** @throws Error if the points do not have two different x. */
export function fitLine(points: readonly Point[]): Line {
  const meanX = meanOf(points.map(({ x }) => x));
  const meanY = meanOf(points.map(({ y }) => y));
  const variance = sumOf(points.map(({ x }) => (x - meanX) ** 2));
  if (variance === 0) {
    throw new Error('a line needs points at two different x');
  }
  const slope = sumOf(points.map(({ x, y }) => (x - meanX) * (y - meanY))) / variance;
  const intercept = meanY - slope * meanX;
  const squares = points.map(({ x, y }) => (y - intercept - slope * x) ** 2);
  const residual = Math.sqrt(meanOf(squares));
  return {
    slope: rounded(slope),
    intercept: rounded(intercept),
    residual: rounded(residual),
    relativeResidual: rounded(meanY === 0 ? 0 : residual / meanY),
  };
}

/** The number with four significant digits. */
export function rounded(value: number): number {
  return Number(value.toPrecision(SIGNIFICANT_DIGITS));
}

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

function meanOf(values: readonly number[]): number {
  return sumOf(values) / values.length;
}
