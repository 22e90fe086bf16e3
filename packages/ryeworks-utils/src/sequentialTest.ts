/**
 * Sequential test (CUSUM): a cumulative sum of log-likelihood ratios with a
 * lower bound of zero. Because of the bound, a version that becomes bad late is
 * detected as fast as a version that is bad from the start.
 */
export interface SequentialTest {
  sum: number;
}

/**
 * Sum at which the version is considered bad. The probability of a false alarm
 * is at most exp(-12) per observation: below 1 % over 1,600 observations.
 */
export const alarmThreshold = 12;

/** The two rates of bad calls that a test distinguishes. */
export interface TestedRates {
  /** Rate of a version that is as good as the old one. */
  readonly acceptable: number;
  /** Rate at or above which a version must be withdrawn. */
  readonly unacceptable: number;
}

/** Adds observations; returns whether the version is now considered bad. */
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

/** Limits a rate to a range. */
function clampRate(rate: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, rate));
}

/** Estimates the tested failure rates from the calls of the old version. */
export function estimateFailureRates(
  observed: number,
  failed: number,
): TestedRates {
  const rate = (failed + 1) / (observed + 200);
  const acceptable = clampRate(rate, 0.005, 0.5);
  const unacceptable = clampRate(acceptable * 4, 0.1, 0.9);
  return {acceptable, unacceptable};
}

/**
 * Rates of slow observation blocks that the slowness test distinguishes. One
 * block of calls counts as one observation.
 */
export const slowBlockRates: TestedRates = {
  acceptable: 0.05,
  unacceptable: 0.6,
};
