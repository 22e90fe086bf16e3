/** Length of one time slice, in ms. */
const sliceMs = 250;
/** Number of slices that count: about the last second. */
const sliceCount = 4;
/**
 * Fraction of late calls from which a service counts as slow: several times what
 * the percentile allows. Calls to the endpoint in question are left out, so that a
 * single one that hangs stays below it.
 */
const slowFraction = 0.25;
/**
 * Calls in time that are assumed in addition, so that a VM with few calls does not
 * take a single late one for a slow service.
 */
const assumedCalls = 5;

/** Calls that were late or in time, of one endpoint in one time slice. */
interface CallCounts {
  late: number;
  total: number;
}

/** Calls in one time slice by endpoint id. */
interface Slice {
  readonly startMs: number;
  readonly countsById: Map<string, CallCounts>;
}

/**
 * Detects that a service as a whole answers late, so that a call to another
 * endpoint would not help and would add load.
 */
export class SharedSlowness {
  private readonly slices: Slice[] = [];

  /** Records whether the first event of a call was late. */
  recordCall(endpointId: string, isLate: boolean, nowMs: number): void {
    const startMs = Math.floor(nowMs / sliceMs) * sliceMs;
    if (this.slices.at(-1)?.startMs !== startMs) {
      this.slices.push({startMs, countsById: new Map()});
      if (this.slices.length > sliceCount) this.slices.shift();
    }
    const {countsById} = this.slices[this.slices.length - 1];
    const counts = countsById.get(endpointId) ?? {late: 0, total: 0};
    counts.total += 1;
    if (isLate) counts.late += 1;
    countsById.set(endpointId, counts);
  }

  /**
   * Returns whether the calls to other endpoints than one that is late itself are
   * late as well.
   */
  isSlowBeyond(endpointId: string, nowMs: number): boolean {
    let late = 0;
    let total = assumedCalls;
    for (const {countsById, startMs} of this.slices) {
      if (startMs <= nowMs - sliceMs * sliceCount) continue;
      for (const [id, counts] of countsById) {
        if (id === endpointId) continue;
        late += counts.late;
        total += counts.total;
      }
    }
    return late / total >= slowFraction;
  }
}
