import {Tier} from '@ryeworks/types';

/** Usage of one customer at this VM. */
export interface LocalUsage {
  /** Requests and tokens that the customer may use now. */
  availableRequests: number;
  availableTokens: number;
  /** When the allowances were last refilled, in ms. */
  refilledAtMs: number;
  /** Requests in progress by tier; the whole limit applies to each tier. */
  readonly concurrency: Map<Tier, number>;
  /** Demand since the last report, including refused requests. */
  demandedRequests: number;
  demandedTokens: number;
  /** Fraction of the limits that this VM may use. */
  share: number;
  /** When the share expires, in ms. */
  shareExpiresAtMs: number;
}

/** Demand that another VM reported for a customer. */
export interface RemoteDemand {
  readonly weight: number;
  readonly reportedAtMs: number;
}

/** Usage at this VM, and demand for the limits that this VM owns. */
export interface LimitsState {
  /** Usage by customer. */
  readonly usage: Map<string, LocalUsage>;
  /** Demand by customer and VM; kept only by the owner of the limits. */
  readonly demands: Map<string, Map<string, RemoteDemand>>;
}

/** Returns the number of requests in progress of a customer in all tiers. */
export function sumConcurrency(usage: LocalUsage): number {
  let sum = 0;
  for (const count of usage.concurrency.values()) sum += count;
  return sum;
}

/** Creates an empty limits state. */
export function createLimitsState(): LimitsState {
  return {usage: new Map(), demands: new Map()};
}
