/**
 * Cumulative sum of log likelihood ratios that cannot fall below zero, so that
 * a version that turns bad late is found as fast as one that starts bad.
 */
export interface SequentialTest {
  sum: number;
}

/**
 * Sum at which the version is found bad. The chance of a false alarm is at
 * most exp(-12) at each observation: below 1 % over 1,600 observations.
 */
export const alarmThreshold = 12;

/** Rates of bad calls that a test tells apart. */
export interface TestedRates {
  /** Rate on a version like the old one. */
  readonly acceptable: number;
  /** Rate from which a version is to be withdrawn. */
  readonly unacceptable: number;
}

/** Adds observations to a test; returns whether it found the version bad. */
export function addObservations(
  test: SequentialTest,
  observed: number,
  bad: number,
  rates: TestedRates,
): boolean {
  const {acceptable, unacceptable} = rates;
  const badStep = Math.log(unacceptable / acceptable);
  const goodStep = Math.log((1 - unacceptable) / (1 - acceptable));
  const good = observed - bad;
  test.sum = Math.max(0, test.sum + good * goodStep) + bad * badStep;
  return test.sum >= alarmThreshold;
}

/** Bounds a rate. */
function clampRate(rate: number, least: number, most: number): number {
  return Math.min(most, Math.max(least, rate));
}

/** Derives the failure rates to tell apart from the old version's calls. */
export function estimateFailureRates(
  observed: number,
  failed: number,
): TestedRates {
  const rate = (failed + 1) / (observed + 200);
  const acceptable = clampRate(rate, 0.005, 0.5);
  const unacceptable = clampRate(acceptable * 4, 0.1, 0.9);
  return {acceptable, unacceptable};
}

/** Rates of slow blocks that the test of slowness tells apart. */
export const slowBlockRates: TestedRates = {
  acceptable: 0.05,
  unacceptable: 0.6,
};
