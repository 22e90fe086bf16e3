/** Length of one time slice of the window, in ms. */
export const sliceMs = 500;

/** Requests of callers and further calls of them in one time slice. */
export interface RequestSlice {
  readonly startMs: number;
  requests: number;
  /** Calls beyond the first one of a request. */
  repeats: number;
}

/** The requests to one service and their further calls over a sliding window. */
export class RequestSlices implements Iterable<RequestSlice> {
  private readonly slices: RequestSlice[] = [];

  /** Returns the slices, oldest first. */
  [Symbol.iterator](): Iterator<RequestSlice> {
    return this.slices.values();
  }

  /** Returns the current slice, and drops those that have left the window. */
  getCurrent(windowMs: number, nowMs: number): RequestSlice {
    while (this.slices.length > 0) {
      if (this.slices[0].startMs > nowMs - windowMs - sliceMs) break;
      this.slices.shift();
    }
    const startMs = Math.floor(nowMs / sliceMs) * sliceMs;
    const last = this.slices.at(-1);
    if (last?.startMs === startMs) return last;
    const slice = {startMs, requests: 0, repeats: 0};
    this.slices.push(slice);
    return slice;
  }
}
