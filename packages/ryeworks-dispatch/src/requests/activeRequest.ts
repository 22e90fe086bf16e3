import {Route} from '../desired/desiredState.js';
import {VersionCounts} from '../peers/peerMessage.js';

/** Phase of a request: waiting in a queue, or being called at an endpoint. */
export const requestPhase = {waiting: 'waiting', calling: 'calling'} as const;

/** One of the request phases. */
export type RequestPhase = (typeof requestPhase)[keyof typeof requestPhase];

/** A call of a request to an endpoint that has not ended. */
export interface ActiveCall {
  readonly callNumber: number;
  readonly endpointId: string;
  /** When the endpoint's process started, in ms since 1970; 0 if unknown. */
  readonly processStartedAtMs: number;
  readonly startedAtMs: number;
  /** Whether it is a hedged request beside a late call. */
  readonly isHedge: boolean;
  /** When it counts as late, in ms; undefined if that is not decided. */
  lateAtMs: number | undefined;
  /** Whether it has counted as late. */
  isLate: boolean;
  /** Whether it was written to the endpoint. */
  isSent: boolean;
  /** Whether it has delivered an event or byte. */
  hasFirstEvent: boolean;
  /** When it last made progress, in ms; at first its start. */
  lastProgressAtMs: number;
  /** Number of events received. */
  events: number;
  /** Whether its response is not read because the caller reads slowly. */
  isPaused: boolean;
  /** Whether the log tells of its current silence. */
  isSilenceLogged: boolean;
  /** What it has counted for as evidence of a move so far; each is 0 or 1. */
  evidence: VersionCounts;
}

/** A caller's request that this VM accepted and that has not ended. */
export interface ActiveRequest {
  readonly requestId: string;
  /** Id that the caller gave to its attempt; used in logs only. */
  readonly attemptId: string;
  readonly route: Route;
  readonly service: string;
  /** Name of the customer; empty on an anonymous route. */
  readonly customer: string;
  /** Tier of the route; 0 is the highest. */
  readonly tier: number;
  /** Priority in the queue; lower ranks are dispatched first. */
  readonly rank: number;
  readonly receivedAtMs: number;
  /** How long after its arrival it may wait for an endpoint, in ms. */
  readonly maxWaitMs: number;
  /** Deadline of the caller or of the route, whichever is earlier, in ms. */
  readonly timeoutAtMs: number;
  readonly promptTokens: number;
  /** Expected work in tokens; 1 if the caller does not state any. */
  readonly cost: number;
  /**
   * Place in the fair order of its rank, given when it is first queued and kept when
   * it is retried; -1 before.
   */
  startTag: number;
  /** IDs of the parts of the prompt that other prompts may share. */
  readonly sharedParts: readonly string[];
  /** Units of the customer's limit that the request uses. */
  readonly units: number;
  /** Whether the request may run more than once. */
  readonly isRetryable: boolean;
  /** Whether the request is routed to the new version of a move. */
  readonly isTrial: boolean;
  phase: RequestPhase;
  /** Number of calls that were started; the last one has this number. */
  callsStarted: number;
  /**
   * The calls that have not ended, in the order of their start. A later one is a
   * standby call, made because all before it are silent, or a hedged request.
   */
  calls: ActiveCall[];
  /** Number of calls that were sent and may have run. */
  possibleRuns: number;
  /** Number of calls that were sent to an endpoint. */
  sentCalls: number;
  /** When the first event or byte of any call arrived, in ms; 0 if none yet. */
  firstEventAtMs: number;
  /** Number of asks for a permit since it began to wait. */
  permitAsks: number;
  /** When it next asks for a permit, in ms. */
  nextPermitAskAtMs: number;
  /** Endpoint of the last ask for a permit; empty if none. */
  askedEndpointId: string;
  /** Until when its next calls avoid an endpoint, in ms, by endpoint id. */
  readonly avoidedUntilMs: Map<string, number>;
}
