/** Length of one slice of the window, in ms. */
const sliceMs = 250;
/** Slices in the window. */
const sliceCount = 8;

/** How fast requests of one service leave the queue of this VM. */
export class DispatchRate {
  private readonly counts = new Array<number>(sliceCount).fill(0);
  private newestSlice = 0;

  /** Counts a request that was dispatched. */
  record(nowMs: number): void {
    this.clearOldSlices(nowMs);
    this.counts[this.newestSlice % sliceCount] += 1;
  }

  /** Returns the rate over the window, in requests a second. */
  getPerSecond(nowMs: number): number {
    this.clearOldSlices(nowMs);
    let total = 0;
    for (const count of this.counts) total += count;
    return (total * 1000) / (sliceMs * sliceCount);
  }

  private clearOldSlices(nowMs: number): void {
    const slice = Math.floor(nowMs / sliceMs);
    const first = Math.max(this.newestSlice + 1, slice - sliceCount + 1);
    for (let index = first; index <= slice; index++) {
      this.counts[index % sliceCount] = 0;
    }
    this.newestSlice = Math.max(this.newestSlice, slice);
  }
}
