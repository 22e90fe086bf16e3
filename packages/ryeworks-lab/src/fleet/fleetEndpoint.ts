import {Endpoint, LimitStatement} from '@ryeworks/dispatch';
import {NamedRateLimit} from '@ryeworks/standins';

/** A call that an endpoint got. */
export interface FleetArrival {
  readonly atMs: number;
  readonly vm: string;
  /** Priority of the request's route; 0 is the highest tier. */
  readonly tier: number;
}

/**
 * Stand-in for an endpoint that may name a rate limit in its answers. It refuses
 * calls beyond its slots. While paused it does nothing; connections stay open and
 * keep what arrives, so that nothing is lost.
 */
export class FleetEndpoint {
  readonly arrivals: FleetArrival[] = [];
  /** Descriptions of the windows in which its limit was exceeded. */
  readonly exceeded: string[] = [];
  /** Number of calls that it runs. */
  running = 0;
  private readonly limit = new NamedRateLimit();
  /** When the current pause ends, in ms; 0 if it is not paused. */
  private pausedUntilMs = 0;
  /** Steps of its work that came due during the pause, in order. */
  private dueSteps: Array<() => void> = [];

  constructor(readonly endpoint: Endpoint) {}

  /** Names a limit from now on, changes it, or withdraws it (undefined). */
  setLimit(perSecond: number | undefined, nowMs: number): void {
    this.limit.setPerSecond(perSecond, nowMs);
  }

  /** Records a call. */
  addArrival(arrival: FleetArrival): void {
    this.arrivals.push(arrival);
    const excess = this.limit.recordCall(arrival.vm, arrival.atMs);
    if (excess === undefined) return;
    const {allowed, calls} = excess;
    this.exceeded.push(`${this.endpoint.id}: ${calls} calls of ${allowed}`);
  }

  /** Creates what an answer to a VM states about the limit. */
  createStatement(vm: string, nowMs: number): LimitStatement {
    this.limit.recordAnswer(vm, nowMs);
    const {perSecond} = this.limit;
    return perSecond === undefined
      ? {kind: 'unlimited'}
      : {kind: 'limited', perSecond};
  }

  /** Pauses it until a time, or for longer if it is paused already. */
  pause(untilMs: number): void {
    this.pausedUntilMs = Math.max(this.pausedUntilMs, untilMs);
  }

  /** Ends a pause that is over and does what has come due in it. */
  resume(nowMs: number): void {
    if (nowMs < this.pausedUntilMs) return;
    this.pausedUntilMs = 0;
    for (const run of this.dueSteps.splice(0)) run();
  }

  /** Does a step of its work, at the end of the pause if it is paused. */
  runUnlessPaused(run: () => void): void {
    if (this.pausedUntilMs > 0) this.dueSteps.push(run);
    else run();
  }
}
