/** What may be repeated of the calls of a route. */
export const callKind = {
  /** May run any number of times. */
  idempotent: 'idempotent',
  /** Runs at most once for each attempt of the caller. */
  nonIdempotent: 'nonIdempotent',
  /** A stream of events; runs at most once unless the route can resume. */
  stream: 'stream',
} as const;

/** One of the call kinds. */
export type CallKind = (typeof callKind)[keyof typeof callKind];

/** A service that serves part of a route's traffic. */
export interface WeightedService {
  readonly service: string;
  /** Share of the traffic, relative to the other services of the route. */
  readonly weight: number;
}

/** How calls to one host and path prefix are served. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** Longest time that a caller is kept waiting, in ms. */
  readonly timeoutMs: number;
  /** Time in which an answer has its full worth, in ms. */
  readonly latencyTargetMs: number;
  /** Longest pause between events of an answer that is on time, in ms. */
  readonly maxGapMs: number;
  /** 0 is the highest. */
  readonly tier: number;
  /** Endpoints to which one call may be sent. */
  readonly maxAttempts: number;
  /** Whether callers need no API key. */
  readonly isAnonymous: boolean;
  /** Whether a cut stream may go on at another endpoint. */
  readonly isResumable: boolean;
  readonly targets: readonly WeightedService[];
}

/** What a customer may use, over all VMs. */
export interface CustomerLimit {
  /** Rate in units a second. */
  readonly unitsPerSecond: number;
  /** Units that may be used at once after a quiet time. */
  readonly burstUnits: number;
  /** Whether a unit is a token; else a request. */
  readonly countsTokens: boolean;
  /** Tokens of a call that states none. */
  readonly defaultTokens: number;
}

/** A customer and its API keys. */
export interface Customer {
  readonly name: string;
  readonly apiKeys: readonly string[];
  /** Goes before the tier of a route; undefined when the customer has none. */
  readonly tier: number | undefined;
  /** Undefined: no limit. */
  readonly limit: CustomerLimit | undefined;
}

/** What a caller may send. */
export interface CallerBounds {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Time for the headers of a request, in ms. */
  readonly headerTimeoutMs: number;
  /** Time for which an idle connection is kept, in ms. */
  readonly idleTimeoutMs: number;
}

/** One whole version of what the operators want. */
export interface DesiredState {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly customers: readonly Customer[];
  readonly bounds: CallerBounds;
}
