/** Whether the calls of a route may be repeated. */
export const callKind = {
  /** May run any number of times. */
  idempotent: 'idempotent',
  /** May run at most once for each attempt of the caller. */
  nonIdempotent: 'nonIdempotent',
  /**
   * A stream of events; may run at most once unless the route can resume
   * streams.
   */
  stream: 'stream',
} as const;

/** One of the call kinds. */
export type CallKind = (typeof callKind)[keyof typeof callKind];

/** A service that receives part of a route's traffic. */
export interface WeightedService {
  readonly service: string;
  /** Share of the traffic, relative to the other services of the route. */
  readonly weight: number;
}

/** How requests to one host and path prefix are served. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** Maximum time for which a caller is kept waiting, in ms. */
  readonly timeoutMs: number;
  /** Time within which a response counts as on time, in ms. */
  readonly latencyTargetMs: number;
  /** Maximum pause between the events of an on-time response, in ms. */
  readonly maxGapMs: number;
  /** Priority of the route's requests; 0 is the highest tier. */
  readonly tier: number;
  /** Maximum number of endpoints at which one request may run. */
  readonly maxAttempts: number;
  /** Whether callers may send requests without an API key. */
  readonly isAnonymous: boolean;
  /** Whether an interrupted stream may be resumed at another endpoint. */
  readonly isResumable: boolean;
  /** Services among which the route's requests are divided. */
  readonly targets: readonly WeightedService[];
  /**
   * Regions in which its requests may be served; undefined if in all, empty if in
   * none.
   */
  readonly allowedRegions?: readonly string[];
}

/** How the endpoints of a service warm up. */
export interface ServiceWarmUp {
  readonly service: string;
  /**
   * Requests per second from all VMs together that a cold endpoint tolerates; 0 if
   * its endpoints are never cold.
   */
  readonly coldPerSecond: number;
  /** Time for which an endpoint is cold after its start, in ms. */
  readonly coldStartMs: number;
}

/** The rate limit of a customer, over all VMs. */
export interface CustomerLimit {
  /** Rate in units per second. */
  readonly unitsPerSecond: number;
  /** Units that may be used at once after a period without use. */
  readonly burstUnits: number;
  /** Whether a unit is a token; otherwise it is a request. */
  readonly countsTokens: boolean;
  /** Tokens counted for a request that does not state its tokens. */
  readonly defaultTokens: number;
}

/** A customer and its API keys. */
export interface Customer {
  readonly name: string;
  readonly apiKeys: readonly string[];
  /**
   * Requests are ordered by this tier first, then by the tier of their route.
   * Undefined if the customer has none, which counts as the highest tier.
   */
  readonly tier: number | undefined;
  /** Undefined if the customer has no limit. */
  readonly limit: CustomerLimit | undefined;
  /** See `Route`. */
  readonly allowedRegions?: readonly string[];
}

/** Bounds on what callers may send, and when. */
export interface CallerBounds {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Time within which the headers of a request must arrive, in ms. */
  readonly headerTimeoutMs: number;
  /** Time for which an idle connection is kept open, in ms. */
  readonly idleTimeoutMs: number;
}

/** One complete version of the configuration that the operators want. */
export interface DesiredState {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly customers: readonly Customer[];
  /** Services whose endpoints warm up; undefined like empty. */
  readonly warmUps?: readonly ServiceWarmUp[];
  readonly bounds: CallerBounds;
}
