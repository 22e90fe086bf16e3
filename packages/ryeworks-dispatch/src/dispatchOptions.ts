import {LimitBounds} from './limits/customerUsage.js';
import {RetryBounds} from './retries/retryBudget.js';

/** Bounds on what a cold endpoint receives within a second. */
export interface ColdBounds {
  /** Factor of the requests per second that it tolerates. */
  readonly overrun: number;
  /** Requests in addition. */
  readonly allowance: number;
}

/** Bounds on what a cold endpoint receives if the deployment sets none. */
export const defaultColdBounds: ColdBounds = {overrun: 1.5, allowance: 5};

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
  /** `defaultColdBounds` if undefined. */
  readonly coldBounds?: ColdBounds;
  /**
   * Fraction of a service's requests that may be hedged, 0 to 0.2; 0 sends no
   * hedged requests.
   */
  readonly hedgeRatio: number;
}

/** Returns the bounds alone, without what else the given object holds. */
export function getBounds(from: DispatchBounds): DispatchBounds {
  const {coldBounds, drainMs, hedgeRatio, limitBounds} = from;
  const {retryBounds, trialAllowance, trialRatio} = from;
  return {
    ...(coldBounds === undefined ? {} : {coldBounds}),
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
  /**
   * Time within which an evacuation of a zone must be in force, in ms; undefined
   * if the deployment has no evacuations.
   */
  readonly evacuationMs?: number;
  /** Region of each zone; a zone that is not listed is in no region. */
  readonly regionByZone?: Readonly<Record<string, string>>;
}
