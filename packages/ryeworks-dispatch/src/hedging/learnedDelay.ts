// The package's index would also load its WebAssembly code, which delays the start.
import histogramModule from 'hdr-histogram-js/dist/Int32Histogram.js';

const {default: Int32Histogram} = histogramModule;

/**
 * Fraction of the hedged requests allowed that ordinary late calls use up. The rest is
 * kept for calls to an endpoint that hangs.
 */
const ordinaryFraction = 0.5;
/** Bounds of the percentile from which a call is late. */
const minPercentile = 90;
const maxPercentile = 99;
/** Number of samples from which the percentile is used. */
const minSamples = 100;
/** Time after which older samples are dropped if there are enough newer ones, in ms. */
const periodMs = 30_000;
/** Time after which samples are dropped in any case, in ms. */
const maxAgeMs = 600_000;
/** Longest recorded time, in ms; longer ones count as this one. */
const maxRecordedMs = 60_000;
/** Digits of a recorded time; a histogram takes about 5 KB. */
const significantDigits = 2;

/** Creates an empty histogram of times in ms. */
function createHistogram(): InstanceType<typeof Int32Histogram> {
  const histogram = new Int32Histogram(1, maxRecordedMs, significantDigits);
  histogram.autoResize = false;
  return histogram;
}

/** Bounds the percentile from which a call is late. */
function clampPercentile(percentile: number): number {
  return Math.min(maxPercentile, Math.max(minPercentile, percentile));
}

/**
 * Learns after which time a call is later than almost all calls of its kind. Each
 * sample is added to two histograms. The older one is read; it is replaced by the
 * newer one once that has enough samples, so that old samples lose their effect.
 */
export class LearnedDelay {
  private older = createHistogram();
  private newer = createHistogram();
  private newerSinceMs: number;
  private lastSampleAtMs: number;

  constructor(nowMs: number) {
    this.newerSinceMs = nowMs;
    this.lastSampleAtMs = nowMs;
  }

  /** Records a time to the first event, or a time after which there was none. */
  recordSample(elapsedMs: number, nowMs: number): void {
    const isObsolete = nowMs - this.lastSampleAtMs > maxAgeMs;
    const isPeriodOver = nowMs - this.newerSinceMs >= periodMs;
    if (isObsolete) this.newer.reset();
    if (isObsolete || (isPeriodOver && this.newer.totalCount >= minSamples)) {
      const {newer, older} = this;
      older.reset();
      this.older = newer;
      this.newer = older;
      this.newerSinceMs = nowMs;
    }
    this.lastSampleAtMs = nowMs;
    const value = Math.min(maxRecordedMs, Math.max(1, Math.ceil(elapsedMs)));
    this.older.recordValue(value);
    this.newer.recordValue(value);
  }

  /**
   * Returns the delay, in ms; undefined while there are too few samples.
   *
   * @param hedgeRatio fraction of the requests that may be hedged
   */
  getDelayMs(hedgeRatio: number, nowMs: number): number | undefined {
    if (nowMs - this.lastSampleAtMs > maxAgeMs) return undefined;
    if (this.older.totalCount < minSamples) return undefined;
    const percentile = clampPercentile(
      100 * (1 - ordinaryFraction * hedgeRatio),
    );
    return this.older.getValueAtPercentile(percentile);
  }
}
