import {Endpoint, LimitStatement} from '@ryeworks/dispatch';
import {NamedRateLimit} from '@ryeworks/standins';

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
  /** Descriptions of the windows in which its limit was exceeded. */
  readonly exceeded: string[] = [];
  private readonly limit = new NamedRateLimit();

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
}
