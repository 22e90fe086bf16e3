/** Length of one slice of the window, in ms. */
const sliceMs = 250;

/** Units used in one slice of time. */
interface Slice {
  readonly startMs: number;
  units: number;
}

/** Units used lately, in slices of time. */
export class UsageWindow {
  private slices: Slice[] = [];

  /** Adds use to the present slice. */
  add(units: number, nowMs: number): void {
    const startMs = Math.floor(nowMs / sliceMs) * sliceMs;
    const last = this.slices.at(-1);
    if (last?.startMs === startMs) last.units += units;
    else this.slices.push({startMs, units});
  }

  /** Multiplies all use. */
  applyFactor(factor: number): void {
    for (const slice of this.slices) slice.units *= factor;
  }

  /**
   * Returns by how much the use of any span that ends now passes what that span
   * allows; below 0 when none does.
   *
   * @param getAllowed units that a span of a length in ms allows
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
