import {Tier} from '@ryeworks/types';

/** What one customer uses at this VM. */
export interface LocalUsage {
  /** Requests and tokens that may be taken now. */
  requestAllowance: number;
  tokenAllowance: number;
  refilledAtMs: number;
  /** Requests in progress by tier; each tier has the whole limit. */
  readonly concurrency: Map<Tier, number>;
  /** Demand since the last report, refused requests included. */
  demandedRequests: number;
  demandedTokens: number;
  /** Fraction of the limits that this VM may use. */
  share: number;
  /** When the share lapses, in ms. */
  shareExpiresAtMs: number;
}

/** Demand that another VM reported for a customer. */
export interface RemoteDemand {
  readonly weight: number;
  readonly reportedAtMs: number;
}

/** Shares of the customers' limits, and demand at the customers' homes. */
export interface LimitsState {
  readonly usage: Map<string, LocalUsage>;
  /** Demand by customer and VM, at the home of the customer. */
  readonly demands: Map<string, Map<string, RemoteDemand>>;
}

/** Returns the requests in progress of a customer over all tiers. */
export function sumConcurrency(usage: LocalUsage): number {
  let sum = 0;
  for (const count of usage.concurrency.values()) sum += count;
  return sum;
}

/** Creates an empty limits state. */
export function createLimitsState(): LimitsState {
  return {usage: new Map(), demands: new Map()};
}
