import {LimitBounds} from './limits/customerUsage.js';
import {RetryBounds} from './retries/retryBudget.js';

/** Limits that the deployment configures; they can change at run time. */
export interface DispatchBounds {
  readonly retryBounds: RetryBounds;
  readonly limitBounds: LimitBounds;
  /** Time for which an endpoint that is leaving still serves, in ms. */
  readonly drainMs: number;
  /**
   * Fraction of a move's traffic that the version on trial may receive, 0 to 1.
   */
  readonly trialRatio: number;
  /**
   * Requests that the version on trial may receive in addition to that
   * fraction, summed over all VMs.
   */
  readonly trialAllowance: number;
  /**
   * Fraction of a service's requests that may be hedged, 0 to 0.2; 0 sends no
   * hedged requests.
   */
  readonly hedgeRatio: number;
}

/** Returns the bounds alone, without what else the given object holds. */
export function getBounds(from: DispatchBounds): DispatchBounds {
  const {drainMs, hedgeRatio, limitBounds, retryBounds} = from;
  const {trialAllowance, trialRatio} = from;
  return {
    drainMs,
    hedgeRatio,
    limitBounds,
    retryBounds,
    trialAllowance,
    trialRatio,
  };
}

/** Options that govern the dispatch decisions of one VM. */
export interface DispatchOptions extends DispatchBounds {
  /** Name of this VM. */
  readonly vm: string;
  /** `host:port` at which peers can reach this VM. */
  readonly peerAddress: string;
  readonly availabilityZone: string;
  /** Start time of this process, in ms since 1970. */
  readonly incarnation: number;
  /** Seed of this VM's random number generator. */
  readonly seed: number;
  /**
   * What this VM can carry for others, compared with other VMs; no unit. The
   * VMs with the most relay the digests of their zone.
   */
  readonly relayCapacity: number;
}
