import {LimitBounds} from './limits/customerUsage.js';
import {RetryBounds} from './retries/retryBudget.js';

/** Bounds that a deployment sets; they may change while the VM runs. */
export interface DispatchBounds {
  readonly retryBounds: RetryBounds;
  readonly limitBounds: LimitBounds;
  /** Part of a move's traffic that a version on trial may get. */
  readonly trialRatio: number;
  /** Requests that a version on trial may get beyond that, over all VMs. */
  readonly trialAllowance: number;
}

/** Options of the decisions of one VM. */
export interface DispatchOptions extends DispatchBounds {
  /** Name of this VM. */
  readonly vm: string;
  /** `host:port` where peers reach this VM. */
  readonly peerAddress: string;
  readonly availabilityZone: string;
  /** Start of this process, in ms since 1970. */
  readonly incarnation: number;
  /** Seed of this VM's random choices. */
  readonly seed: number;
}
