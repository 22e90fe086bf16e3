import {Endpoint, LimitStatement} from '@ryeworks/dispatch';

/** A call that an endpoint got. */
export interface FleetArrival {
  readonly atMs: number;
  readonly vm: string;
  /** Priority of the request's route; 0 is the highest tier. */
  readonly tier: number;
}

/** Stand-in for an endpoint that may name a rate limit in its answers. */
export class FleetEndpoint {
  readonly arrivals: FleetArrival[] = [];
  /** When a VM first passed on an answer with a limit, in ms, by VM. */
  readonly toldAtMs = new Map<string, number>();
  /** Since when it has named a limit, in ms; undefined while it names none. */
  limitedSinceMs: number | undefined;
  private limitPerSecond: number | undefined;

  constructor(readonly endpoint: Endpoint) {}

  /** Names a limit from now on, changes it, or withdraws it (undefined). */
  setLimit(perSecond: number | undefined, nowMs: number): void {
    this.limitPerSecond = perSecond;
    if (perSecond !== undefined) {
      this.limitedSinceMs ??= nowMs;
      return;
    }
    this.limitedSinceMs = undefined;
    this.toldAtMs.clear();
  }

  /** Returns the rate limit that it names, in requests per second. */
  getLimitPerSecond(): number | undefined {
    return this.limitPerSecond;
  }

  /** Records a call. */
  addArrival(arrival: FleetArrival): void {
    this.arrivals.push(arrival);
  }

  /** Creates what an answer to a VM states, and records that the VM gets it. */
  createStatement(vm: string, nowMs: number): LimitStatement {
    if (this.limitPerSecond === undefined) return {kind: 'unlimited'};
    if (!this.toldAtMs.has(vm)) this.toldAtMs.set(vm, nowMs);
    return {kind: 'limited', perSecond: this.limitPerSecond};
  }
}
