/** A straight line fitted to points, and its error. */
export interface LineFit {
  readonly slope: number;
  readonly intercept: number;
  /**
   * Largest vertical distance of a point from the line, relative to the largest
   * absolute value of y.
   */
  readonly error: number;
  readonly points: readonly (readonly [number, number])[];
}

/** Fits a straight line to points by least squares. */
export function createLineFit(
  points: readonly (readonly [number, number])[],
): LineFit {
  const count = points.length;
  let sumX = 0;
  let sumY = 0;
  for (const [x, y] of points) {
    sumX += x;
    sumY += y;
  }
  const meanX = sumX / count;
  const meanY = sumY / count;
  let covariance = 0;
  let variance = 0;
  for (const [x, y] of points) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) ** 2;
  }
  const slope = variance === 0 ? 0 : covariance / variance;
  const intercept = meanY - slope * meanX;
  let maxDistance = 0;
  let maxValue = Number.MIN_VALUE;
  for (const [x, y] of points) {
    maxDistance = Math.max(maxDistance, Math.abs(y - (intercept + slope * x)));
    maxValue = Math.max(maxValue, Math.abs(y));
  }
  return {slope, intercept, error: maxDistance / maxValue, points};
}
