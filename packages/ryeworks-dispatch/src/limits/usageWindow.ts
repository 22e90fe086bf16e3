/** Length of one time slice of the window, in ms. */
const sliceMs = 250;

/** Units used in one time slice. */
interface Slice {
  readonly startMs: number;
  units: number;
}

/** Sliding window of recent usage, divided into time slices. */
export class UsageWindow {
  private slices: Slice[] = [];

  /** Adds units to the current slice. */
  add(units: number, nowMs: number): void {
    const startMs = Math.floor(nowMs / sliceMs) * sliceMs;
    const last = this.slices.at(-1);
    if (last?.startMs === startMs) last.units += units;
    else this.slices.push({startMs, units});
  }

  /** Multiplies all recorded usage by a factor. */
  applyFactor(factor: number): void {
    for (const slice of this.slices) slice.units *= factor;
  }

  /** Returns the units per ms used in the last `spanMs`, at least. */
  getRatePerMs(spanMs: number, nowMs: number): number {
    const fromMs = Math.floor((nowMs - spanMs) / sliceMs) * sliceMs;
    let units = 0;
    for (const slice of this.slices) {
      if (slice.startMs >= fromMs) units += slice.units;
    }
    return units / (nowMs - fromMs);
  }

  /**
   * Returns the largest excess of usage over the allowed units among all time
   * spans that end now; negative if no span exceeds them.
   *
   * @param getAllowed returns the units that are allowed in a span of a given
   * length in ms
   */
  getExcessUnits(
    windowMs: number,
    nowMs: number,
    getAllowed: (spanMs: number) => number,
  ): number {
    this.dropOldSlices(windowMs, nowMs);
    let used = 0;
    let excessUnits = -getAllowed(sliceMs);
    for (let index = this.slices.length - 1; index >= 0; index--) {
      const {startMs, units} = this.slices[index];
      used += units;
      const spanMs = Math.min(windowMs, nowMs - startMs);
      excessUnits = Math.max(excessUnits, used - getAllowed(spanMs));
    }
    return excessUnits;
  }

  private dropOldSlices(windowMs: number, nowMs: number): void {
    const firstKept = nowMs - windowMs - sliceMs;
    while (this.slices.length > 0 && this.slices[0].startMs <= firstKept) {
      this.slices.shift();
    }
  }
}
