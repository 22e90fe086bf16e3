import {Endpoint, EndpointNotice, LimitStatement} from '@ryeworks/dispatch';
import {NamedRateLimit, StatedNotices} from '@ryeworks/standins';

/** Time for which an endpoint that is leaving still serves, in ms. */
export const fleetDrainMs = 2000;

/** A call that an endpoint got. */
export interface FleetArrival {
  readonly atMs: number;
  readonly vm: string;
  /** Priority of the request's route; 0 is the highest tier. */
  readonly tier: number;
  /** When the caller sent the request, in ms. */
  readonly sentAtMs: number;
  /** IDs of the parts of the prompt that other prompts may share. */
  readonly sharedParts: readonly string[];
}

/**
 * Stand-in for an endpoint that may name a rate limit in its answers, or state
 * that it is leaving or wants a pause. It refuses calls beyond its slots. While
 * paused it does nothing; connections stay open and keep what arrives, so that
 * nothing is lost.
 */
export class FleetEndpoint {
  readonly arrivals: FleetArrival[] = [];
  /** Descriptions of the calls that violate what it has stated. */
  readonly exceeded: string[] = [];
  /** Number of calls that it runs. */
  running = 0;
  /** Whether it refuses all calls. */
  isRefusing = false;
  /** Whether it crashes as soon as it begins to answer, whatever the prompt. */
  isFaulty = false;
  /** Whether its process has crashed and no other one has started yet. */
  isDown = false;
  /** Time for which it is cold after a restart, in ms. */
  coldStartMs = 0;
  readonly notices = new StatedNotices(fleetDrainMs);
  private readonly limit = new NamedRateLimit();
  /** When the current pause ends, in ms; 0 if it is not paused. */
  private pausedUntilMs = 0;
  /** Steps of its work that came due during the pause, in order. */
  private dueSteps: Array<() => void> = [];

  constructor(public endpoint: Endpoint) {}

  /** Starts another process after a crash. */
  startNextProcess(nowMs: number): void {
    this.isDown = false;
    const {coldStartMs: coldForMs} = this;
    this.endpoint = {...this.endpoint, startedAtMs: nowMs, coldForMs};
  }

  /** Names a limit from now on, changes it, or withdraws it (undefined). */
  setLimit(perSecond: number | undefined, nowMs: number): void {
    this.limit.setPerSecond(perSecond, nowMs);
  }

  /** Records a call. */
  addArrival(arrival: FleetArrival): void {
    this.arrivals.push(arrival);
    const {atMs, sentAtMs, vm} = arrival;
    const violation = this.notices.recordCall(vm, sentAtMs, atMs);
    if (violation !== undefined) {
      this.exceeded.push(`${this.endpoint.id}: ${vm} ${violation} at ${atMs}`);
    }
    const excess = this.limit.recordCall(vm, atMs);
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

  /** Creates what an answer to a VM states about further calls. */
  createNotice(vm: string, isRefusal: boolean, nowMs: number): EndpointNotice {
    const {isLeaving, pauseMs} = this.notices;
    this.notices.recordAnswer(vm, isRefusal, nowMs);
    const hasPause = isRefusal && pauseMs !== undefined;
    const pause = hasPause
      ? ({kind: 'paused', durationMs: pauseMs} as const)
      : undefined;
    return {isLeaving, pause};
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
