/** Length of the window over which calls are compared with a limit, in ms. */
const windowMs = 4000;
/** Time after which a VM that has passed on a limit must keep to it, in ms. */
const toldGraceMs = 500;
/** Time after which the VMs must keep to a limit that is new or lower, in ms. */
const noticeMs = 3000;
/** Calls that a window may hold: the limit's, times the ratio, and some more. */
const toleratedRatio = 1.5;
const toleratedCalls = 5;

/** A call by a VM that knew of the limit. */
interface CountedCall {
  readonly vm: string;
  readonly atMs: number;
}

/** More calls in a window than a limit allows. */
export interface ExceededLimit {
  readonly calls: number;
  readonly allowed: number;
}

/**
 * The rate limit that a stand-in for an endpoint names in its answers. Counts the
 * calls of the VMs that have passed on such an answer.
 */
export class NamedRateLimit {
  /** Requests per second from all VMs together; undefined if it names none. */
  perSecond: number | undefined;
  private mustBeKeptFromMs = Number.POSITIVE_INFINITY;
  /** When a VM first passed on an answer with a limit, in ms, by VM. */
  private readonly toldAtMs = new Map<string, number>();
  private calls: CountedCall[] = [];

  /** Names a limit from now on, changes it, or withdraws it (undefined). */
  setPerSecond(perSecond: number | undefined, nowMs: number): void {
    const previous = this.perSecond;
    this.perSecond = perSecond;
    if (perSecond === undefined) {
      this.mustBeKeptFromMs = Number.POSITIVE_INFINITY;
      this.toldAtMs.clear();
      return;
    }
    if (previous === undefined || perSecond < previous) {
      this.mustBeKeptFromMs = nowMs + noticeMs;
    }
  }

  /** Records that a VM passes on an answer, which names the limit if there is one. */
  recordAnswer(vm: string, nowMs: number): void {
    if (this.perSecond === undefined || this.toldAtMs.has(vm)) return;
    this.toldAtMs.set(vm, nowMs);
  }

  /**
   * Records a call of a VM. Returns the excess if the VMs that knew of the limit
   * have exceeded it.
   */
  recordCall(vm: string, nowMs: number): ExceededLimit | undefined {
    const toldAtMs = this.toldAtMs.get(vm);
    if (toldAtMs === undefined || nowMs < toldAtMs + toldGraceMs) {
      return undefined;
    }
    this.calls.push({vm, atMs: nowMs});
    this.calls = this.calls.filter(({atMs}) => atMs > nowMs - windowMs);
    if (nowMs < this.mustBeKeptFromMs) return undefined;
    const calls = this.calls.length;
    const allowed = this.getAllowedCalls();
    return calls > allowed ? {calls, allowed} : undefined;
  }

  /** Removes a VM that was restarted, paused or cut off, and its calls. */
  removeVm(vm: string): void {
    this.toldAtMs.delete(vm);
    this.calls = this.calls.filter(call => call.vm !== vm);
  }

  private getAllowedCalls(): number {
    const perWindow = ((this.perSecond ?? 0) * windowMs) / 1000;
    return Math.floor(perWindow * toleratedRatio + toleratedCalls);
  }
}
