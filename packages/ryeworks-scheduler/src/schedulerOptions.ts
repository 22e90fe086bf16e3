import {ServiceDefinition} from '@ryeworks/types';

/**
 * How an entry VM selects an endpoint for a request. The entry VM is the VM that
 * the caller of the request is connected to.
 */
export const routingPolicy = {
  /** Requests a grant from the admission owner of a cell. */
  grants: 'grants',
  /**
   * Picks the less loaded of two endpoints, based on load reports that may be
   * out of date.
   */
  leastLoadedOfTwo: 'leastLoadedOfTwo',
} as const;

/** Policy by which an entry VM selects an endpoint. */
export type RoutingPolicy = (typeof routingPolicy)[keyof typeof routingPolicy];

/** Options of the scheduler on one VM. All times are in ms. */
export interface SchedulerOptions {
  /** Name of this VM. */
  readonly vm: string;
  readonly availabilityZone: string;
  /**
   * Must be higher at each start of the VM, for example the start time in
   * seconds.
   */
  readonly initialIncarnation: number;
  /** Address at which peers reach this VM, as `host:port`. */
  readonly peerAddress: string;
  /**
   * Addresses of peers to contact first when no list of VMs is available, as
   * `host:port`.
   */
  readonly seedPeers: readonly string[];
  /** Every availability zone of the deployment. */
  readonly availabilityZones: readonly string[];
  readonly services: readonly ServiceDefinition[];
  readonly routing: RoutingPolicy;
  /** Seed of this VM's random number generator. */
  readonly seed: number;
  /** Time between two probes of other members. */
  readonly probePeriodMs: number;
  /**
   * Time for a probed member to answer before other members are asked to probe
   * it.
   */
  readonly probeTimeoutMs: number;
  /** Time for a suspected member to refute the suspicion. */
  readonly suspicionMs: number;
  /** Time for the owner of a cell to respond to a grant request. */
  readonly askTimeoutMs: number;
  /**
   * Approximate maximum number of endpoints in one cell. A cell is a group of
   * endpoints for which one VM, the admission owner, decides on grants.
   */
  readonly cellMaxEndpoints: number;
  /** Maximum number of grant requests queued in one cell. */
  readonly cellMaxQueued: number;
  /** Time for which the claim of an idempotency key is kept. */
  readonly claimWindowMs: number;
  /** Time for the owners of an idempotency key to answer a claim. */
  readonly claimTimeoutMs: number;
  /** Number of retries allowed per first attempt, as a fraction. */
  readonly retryBudgetRatio: number;
  /** Time without progress after which a call is resumed, retried or ended. */
  readonly progressTimeoutMs: number;
  /** Time for which a new version is observed after it receives all traffic. */
  readonly observeMs: number;
}

/** Default values of the optional scheduler options. */
export const defaultSchedulerOptions = {
  routing: routingPolicy.grants,
  probePeriodMs: 500,
  probeTimeoutMs: 150,
  suspicionMs: 1500,
  askTimeoutMs: 250,
  cellMaxEndpoints: 4,
  cellMaxQueued: 2000,
  claimWindowMs: 120_000,
  claimTimeoutMs: 400,
  retryBudgetRatio: 0.1,
  progressTimeoutMs: 2000,
  observeMs: 10_000,
} as const;
