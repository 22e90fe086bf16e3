// The package's index loads its WebAssembly code as well, about 100 ms at a start.
import histogramModule from 'hdr-histogram-js/dist/Int32Histogram.js';

const {default: Int32Histogram} = histogramModule;

/** Percentile of the times to the first event after which a call is late. */
const latePercentile = 95;
/** Fraction of the calls that are late by that percentile. */
export const lateFraction = 1 - latePercentile / 100;
/** Number of samples from which the percentile is used: five lie beyond it. */
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

  /** Returns the delay, in ms; undefined while there are too few samples. */
  getDelayMs(nowMs: number): number | undefined {
    if (nowMs - this.lastSampleAtMs > maxAgeMs) return undefined;
    if (this.older.totalCount < minSamples) return undefined;
    return this.older.getValueAtPercentile(latePercentile);
  }
}
