/**
 * Returns a running mean updated with a sample.
 *
 * @param weight weight of the sample, 0 to 1
 */
export function updateMean(
  mean: number,
  sample: number,
  weight: number,
): number {
  return mean + (sample - mean) * weight;
}
