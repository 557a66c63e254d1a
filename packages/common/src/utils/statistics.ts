/** Basic statistics over lists of numbers, and grouping. */

/** Returns the quantile `share` (0 to 1) of the numbers by the nearest-rank method; NaN for an empty list. */
export function getQuantile(values: readonly number[], share: number): number {
  if (values.length === 0) return Number.NaN;
  const sorted = [...values].sort((a, b) => a - b);
  const rank = Math.min(sorted.length - 1, Math.max(0, Math.ceil(share * sorted.length) - 1));
  return sorted[rank] ?? Number.NaN;
}

/** Returns the sum of the numbers. */
export function getSum(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

/** A line fitted by least squares. */
export interface LineFit {
  readonly slope: number;
  readonly intercept: number;
  /** Standard error of the slope. */
  readonly slopeError: number;
}

/** Fits a line to points by ordinary least squares. The slope error needs at least three points and is 0 otherwise. */
export function fitLine(points: readonly (readonly [x: number, y: number])[]): LineFit {
  const count = points.length;
  const meanX = getSum(points.map((p) => p[0])) / count;
  const meanY = getSum(points.map((p) => p[1])) / count;
  const sxx = getSum(points.map((p) => (p[0] - meanX) ** 2));
  const sxy = getSum(points.map((p) => (p[0] - meanX) * (p[1] - meanY)));
  const slope = sxx === 0 ? 0 : sxy / sxx;
  const intercept = meanY - slope * meanX;
  const residual = getSum(points.map((p) => (p[1] - intercept - slope * p[0]) ** 2));
  const slopeError = count > 2 && sxx > 0 ? Math.sqrt(residual / (count - 2) / sxx) : 0;
  return { slope, intercept, slopeError };
}

/** Groups items by a key. The groups are in the order in which their keys first appear. */
export function groupBy<T>(items: readonly T[], getKey: (item: T) => string): Map<string, T[]> {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const key = getKey(item);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [item]);
    else group.push(item);
  }
  return groups;
}
