import {ServiceDefinition} from '@ryeworks/types';

/** How an entry VM finds an endpoint for a request. */
export const routingPolicy = {
  /** Asks the admission owner of a cell for a grant. */
  grants: 'grants',
  /** Picks the less loaded of two endpoints from stale reports. */
  leastLoadedOfTwo: 'leastLoadedOfTwo',
} as const;

/** One of the routing policies. */
export type RoutingPolicy = (typeof routingPolicy)[keyof typeof routingPolicy];

/** Options of the decisions of one VM. All times are in ms. */
export interface SchedulerOptions {
  /** Name of this VM. */
  readonly vm: string;
  readonly availabilityZone: string;
  /** Grows with each start of the VM, such as its start time in seconds. */
  readonly initialIncarnation: number;
  /** `host:port` where peers reach this VM. */
  readonly peerAddress: string;
  /** `host:port` of peers to ask first, when no list of VMs is to be had. */
  readonly seedPeers: readonly string[];
  /** Every availability zone of the deployment. */
  readonly availabilityZones: readonly string[];
  readonly services: readonly ServiceDefinition[];
  readonly routing: RoutingPolicy;
  /** Seed of this VM's random choices. */
  readonly seed: number;
  /** Time between probes of other members. */
  readonly probePeriodMs: number;
  /** Time for an answer to a probe, before others are asked to probe. */
  readonly probeTimeoutMs: number;
  /** Time in which a suspected member can refute. */
  readonly suspicionMs: number;
  /** Time for the owner of a cell to react to an ask. */
  readonly askTimeoutMs: number;
  /** Most endpoints that one admission owner accounts for. */
  readonly cellMaxEndpoints: number;
  /** Most asks that wait in one cell. */
  readonly cellMaxQueued: number;
  /** Time that an idempotency key is remembered. */
  readonly claimWindowMs: number;
  /** Time for the owners of a key to answer. */
  readonly claimTimeoutMs: number;
  /** Retries allowed for each first attempt, as a fraction. */
  readonly retryBudgetRatio: number;
  /** Time without progress after which a call is probed and resumed. */
  readonly progressTimeoutMs: number;
  /** Time for which a move is watched after it has all traffic. */
  readonly observeMs: number;
}

/** Defaults of the options that a deployment need not set. */
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
