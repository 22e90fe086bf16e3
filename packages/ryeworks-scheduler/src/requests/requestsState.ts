import {RouteClass, ServiceDefinition, Tier} from '@ryeworks/types';

/** Phases of a request on the VM that its caller is connected to. */
export const requestPhase = {
  /** Waits for the claim of its idempotency key. */
  claiming: 'claiming',
  /** Waits for a grant. */
  awaitingGrant: 'awaitingGrant',
  /** Waits for its next attempt. */
  backoff: 'backoff',
  /** Runs on an endpoint. */
  dispatched: 'dispatched',
} as const;

/** One of the phases of a request. */
export type RequestPhase = (typeof requestPhase)[keyof typeof requestPhase];

/** Why a zone may hold a claim that is not known. */
export const claimDoubt = {
  /** No VM of the zone is reachable. */
  zoneUnreachable: 'zone_unreachable',
  /** The owner of the key may lack claims. */
  ownerIncomplete: 'owner_incomplete',
  /** A request that is not dispatched holds it and may yet give it up. */
  holderUndecided: 'holder_undecided',
} as const;

/** One of the reasons why a zone may hold a claim that is not known. */
export type ClaimDoubt = (typeof claimDoubt)[keyof typeof claimDoubt];

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
  /** Idempotency key to claim; empty when none is needed. */
  readonly claimKey: string;
  readonly isFirstAttempt: boolean;
  /** Age of a key that contains its creation time, in ms; -1 for other keys. */
  readonly keyAgeMs: number;
  readonly receivedAtMs: number;
  readonly deadlineMs: number;
  phase: RequestPhase;
  /** Zones that have not yet answered the claim. */
  readonly pendingClaims: Set<string>;
  /**
   * Zones that may hold a claim of the key that is not known, with the reason. A
   * claim that another zone holds settles it.
   */
  readonly claimDoubts: Map<string, ClaimDoubt>;
  /** How often the zones were asked again for claims of a retry. */
  claimRepeats: number;
  /**
   * Rank of the owner that the claim was last sent to. It grows with each owner
   * that does not answer.
   */
  claimOwnerRank: number;
  /** Number of attempts started, including the first. */
  attempts: number;
  /** ID of the current grant request. */
  askId: string;
  /** Cell of the current grant request or grant; empty for none. */
  cellKey: string;
  /** Rank of the cell owner that was last asked for a grant. */
  grantOwnerRank: number;
  /** VM that was last asked for a grant. */
  askedVm: string;
  /** Whether that VM has queued the grant request. */
  isQueued: boolean;
  /** Whether the current grant request is only for an early grant. */
  isEarlyGrantOnly: boolean;
  /** Number of grant requests made so far; part of `askId`. */
  grantRequestCount: number;
  /** Cells that refused the current attempt and are not asked again. */
  refusedCells: Set<string>;
  /** Estimated waits of the cells that refused an early grant, in ms. */
  cellWaitsMs: Map<string, number>;
  /** Endpoints that failed this request and are not used again. */
  avoid: string[];
  version: string;
  endpoint: string;
  /** ID by which the endpoint identifies the stream. */
  streamId: string;
  dispatchedAtMs: number;
  /** When the first token arrived, in ms; 0 before. */
  firstTokenAtMs: number;
  lastProgressMs: number;
  /**
   * Whether a call that makes no progress goes on while the request awaits a
   * grant for another one.
   */
  hasSilentCall: boolean;
  /** Whether an earlier call, which failed, may have run. */
  mayHaveRun: boolean;
  /** Number of times that the stream was resumed. */
  resumes: number;
}

/** Returns whether a call of a request is in progress at an endpoint. */
export function hasCall({hasSilentCall, phase}: ActiveRequest): boolean {
  return phase === requestPhase.dispatched || hasSilentCall;
}

/** Requests in progress and the retry budget. */
export interface RequestsState {
  readonly active: Map<string, ActiveRequest>;
  /** Number of retries that may be made now. */
  retryBudget: number;
}

/** Maximum number of retries that the budget accumulates. */
export const maxRetryBudget = 20;

/** Creates a state without requests and with a full retry budget. */
export function createRequestsState(): RequestsState {
  return {active: new Map(), retryBudget: maxRetryBudget};
}
