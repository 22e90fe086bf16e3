import {Route} from '../desired/desiredState.js';

/** Where a request stands. */
export const requestPhase = {waiting: 'waiting', calling: 'calling'} as const;

/** One of the request phases. */
export type RequestPhase = (typeof requestPhase)[keyof typeof requestPhase];

/** One caller's request that this VM sees to its end. */
export interface ActiveRequest {
  readonly requestId: string;
  /** Id that the caller gave its attempt; for logs. */
  readonly attemptId: string;
  readonly route: Route;
  readonly service: string;
  /** Empty on an anonymous route. */
  readonly customer: string;
  /** Tier of its route; 0 is the highest. */
  readonly tier: number;
  /** Place among others; the least goes first. */
  readonly rank: number;
  readonly receivedAtMs: number;
  /** When the caller or the route gives it up, in ms. */
  readonly timeoutAtMs: number;
  readonly promptTokens: number;
  /** Units of its customer's limit that it holds. */
  readonly units: number;
  /** Whether it may run more than once. */
  readonly isRetryable: boolean;
  /** Whether it goes to the version that a move is trying. */
  readonly isTrial: boolean;
  phase: RequestPhase;
  /** Number of its present call; events of earlier calls are left out. */
  callNumber: number;
  /** Endpoint of the present call; empty while waiting. */
  endpointId: string;
  /** Calls that were sent and not refused. */
  possibleRuns: number;
  /** Calls that reached an endpoint. */
  sentCalls: number;
  callStartedAtMs: number;
  /** Whether the present call has brought an event or byte. */
  hasFirstEvent: boolean;
  /** When the first event or byte came, in ms; 0: none yet. */
  firstEventAtMs: number;
  lastProgressAtMs: number;
  /** Events of the present call. */
  events: number;
  /** Endpoints that a new call avoids. */
  readonly avoidedEndpoints: Set<string>;
}
