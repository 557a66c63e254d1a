/** Buckets of a histogram of response times, whose counts add up over instances. */
import { utils } from "@shedtiller/common";

/** Upper bound of the first bucket: shorter than any request of a service over a network. */
const firstBoundMs = 5;
/** Ratio of the bounds of two neighbouring buckets, and thus the largest relative error of a quantile. */
const boundRatio = 1.3;

/** Number of buckets, the last of which holds all times above 1 min. */
export const bucketCount = 38;

/** Returns the bucket of a response time. */
export function getBucket(timeMs: number): number {
  if (timeMs <= firstBoundMs) return 0;
  const index = Math.ceil(Math.log(timeMs / firstBoundMs) / Math.log(boundRatio));
  return Math.min(bucketCount - 1, index);
}

/** Returns the upper bound of a bucket. */
export function getBoundMs(bucket: number): number {
  return firstBoundMs * boundRatio ** bucket;
}

/**
 * Returns the quantile `share` (0 to 1) of the response times as the upper bound of its bucket; undefined if there are fewer than
 * `minCount`.
 * @param getCount - Returns the number of response times in a bucket.
 */
export function getTimeQuantile(
  getCount: (bucket: number) => number,
  share: number,
  minCount: number,
): number | undefined {
  const counts = Array.from({ length: bucketCount }, (_, bucket) => getCount(bucket));
  const total = utils.getSum(counts);
  if (total < minCount) return undefined;
  let rank = share * total;
  const bucket = counts.findIndex((count) => {
    rank -= count;
    return rank <= 0;
  });
  return getBoundMs(bucket < 0 ? bucketCount - 1 : bucket);
}
