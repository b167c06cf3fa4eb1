import test from 'ava';
import { fitLine, type Point } from './line-fit.js';

const pointsOf = (...pairs: readonly (readonly [number, number])[]): Point[] =>
  pairs.map(([x, y]) => ({ x, y }));

test('points on a line give that line with no residual', (t) => {
  const line = fitLine(pointsOf([1, 5], [2, 7], [10, 23]));
  t.deepEqual(line, { slope: 2, intercept: 3, residual: 0, relativeResidual: 0 });
});

test('the residual is the root of the mean squared distance from the line', (t) => {
  const line = fitLine(pointsOf([0, 1], [1, -1], [2, -1], [3, 1]));
  t.like(line, { slope: 0, intercept: 0, residual: 1 });
});

test('points with only one x are rejected', (t) => {
  t.throws(() => fitLine(pointsOf([3, 1], [3, 2])));
});
