/** Time after which a VM that has passed on a refusal must keep to its pause, in ms. */
const toldGraceMs = 500;
/** Calls of one VM that are tolerated in the rest of a pause. */
const toleratedCalls = 2;

/** A pause that the endpoint has asked a VM for. */
interface StatedPause {
  readonly fromMs: number;
  readonly untilMs: number;
  calls: number;
}

/** What a call violates. */
export type NoticeViolation = 'calledWhilePausing' | 'calledAfterLeaving';

/**
 * The notices that a stand-in for an endpoint states in its answers: that it is
 * leaving, or that it wants a pause. Checks that the VMs keep to them.
 */
export class StatedNotices {
  /** Whether its answers state that it is leaving. */
  isLeaving = false;
  /** Pause that its refusals ask for, in ms; undefined if they ask for none. */
  pauseMs: number | undefined;
  /** When a VM first passed on that the endpoint is leaving, in ms, by VM. */
  private readonly leavingToldAtMs = new Map<string, number>();
  /** Pauses that a VM was asked for, by VM. */
  private readonly pauses = new Map<string, StatedPause[]>();

  /** @param drainMs time for which a leaving endpoint may be called, in ms */
  constructor(private readonly drainMs: number) {}

  /** Records the head of an answer, with what it states, that a VM passes on. */
  recordAnswer(vm: string, isRefusal: boolean, nowMs: number): void {
    if (this.isLeaving && !this.leavingToldAtMs.has(vm)) {
      this.leavingToldAtMs.set(vm, nowMs);
    }
    if (!isRefusal || this.pauseMs === undefined) return;
    const fromMs = nowMs + toldGraceMs;
    const pause = {fromMs, untilMs: nowMs + this.pauseMs, calls: 0};
    this.pauses.set(vm, [...(this.pauses.get(vm) ?? []), pause]);
  }

  /**
   * Records a call of a VM.
   *
   * @param sentAtMs when the caller sent the request, in ms
   */
  recordCall(
    vm: string,
    sentAtMs: number,
    nowMs: number,
  ): NoticeViolation | undefined {
    const toldAtMs = this.leavingToldAtMs.get(vm) ?? Number.POSITIVE_INFINITY;
    if (sentAtMs > toldAtMs + this.drainMs) return 'calledAfterLeaving';
    for (const pause of this.pauses.get(vm) ?? []) {
      if (nowMs < pause.fromMs || nowMs >= pause.untilMs) continue;
      pause.calls += 1;
      if (pause.calls > toleratedCalls) return 'calledWhilePausing';
    }
    return undefined;
  }

  /** Forgets a VM that was restarted, paused or cut off. */
  removeVm(vm: string): void {
    this.leavingToldAtMs.delete(vm);
    this.pauses.delete(vm);
  }
}
