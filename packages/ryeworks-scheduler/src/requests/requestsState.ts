import {RouteClass, ServiceDefinition, Tier} from '@ryeworks/types';

/** Phases of a request on the VM that holds its caller. */
export const requestPhase = {
  claiming: 'claiming',
  asking: 'asking',
  backoff: 'backoff',
  dispatched: 'dispatched',
} as const;

/** One of the phases of a request. */
export type RequestPhase = (typeof requestPhase)[keyof typeof requestPhase];

/** A request whose caller is connected to this VM. */
export interface ActiveRequest {
  readonly requestId: string;
  readonly customer: string;
  readonly service: ServiceDefinition;
  readonly route: string;
  readonly routeClass: RouteClass;
  readonly tier: Tier;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly prefixHash: number;
  readonly fingerprint: number;
  /** Idempotency key; empty when no key has to be claimed. */
  readonly claimKey: string;
  readonly isFirstAttempt: boolean;
  readonly keyAgeMs: number;
  readonly receivedAtMs: number;
  readonly deadlineMs: number;
  phase: RequestPhase;
  /** Zones whose claim is still awaited. */
  readonly pendingClaims: Set<string>;
  /** Claims sent so far, to ask the next owner after a silence. */
  claimOwnerRank: number;
  /** Attempts started, the first included. */
  attempts: number;
  /** Id of the present ask. */
  askId: string;
  cellKey: string;
  /** Rank of the owner that was asked last. */
  grantOwnerRank: number;
  /** Owner that was asked last. */
  askedOwner: string;
  /** Whether that owner said that the ask waits. */
  isQueued: boolean;
  /** Whether the present ask is for an early grant alone. */
  isEarlyGrantOnly: boolean;
  /** Asks made so far; part of the ask id. */
  grantRequestCount: number;
  /** Cells that refused the present attempt for good. */
  refusedCells: Set<string>;
  /** Estimated waits of the cells that could not grant soon, in ms. */
  cellWaitsMs: Map<string, number>;
  /** Endpoints that failed this request. */
  avoid: string[];
  version: string;
  endpoint: string;
  dispatchedAtMs: number;
  /** When the first token came, in ms; 0 before. */
  firstTokenAtMs: number;
  lastProgressMs: number;
  resumes: number;
}

/** Requests in progress and the budget of retries. */
export interface RequestsState {
  readonly active: Map<string, ActiveRequest>;
  /** Retries that may be made now. */
  retryBudget: number;
}

/** Most retries that can be saved up. */
export const maxRetryBudget = 20;

/** Creates a state without requests. */
export function createRequestsState(): RequestsState {
  return {active: new Map(), retryBudget: maxRetryBudget};
}
