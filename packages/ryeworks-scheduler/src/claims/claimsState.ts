import {ClaimRecord, ClaimState} from '../peerMessage.js';

/**
 * A claim reserves an idempotency key for one request, so that no other request
 * with the key is run.
 */
export interface Claim {
  readonly claimKey: string;
  readonly requestId: string;
  readonly holder: string;
  readonly fingerprint: number;
  state: ClaimState;
  endpoint: string;
  /** When the claim was made, in ms. */
  readonly claimedAtMs: number;
}

/** Claims that this VM owns or holds a copy of. */
export interface ClaimsState {
  readonly records: Map<string, Claim>;
  /** Claims that wait for the confirmation of their copy, by request ID. */
  readonly pendingCopies: Map<string, {holder: string; claimKey: string}>;
  /**
   * Zone members with complete claims that have sent all claims meant for this
   * VM since its claims were last marked incomplete.
   */
  readonly syncedFrom: Set<string>;
  /** Whether this VM has all its claims of the whole claim window. */
  isComplete: boolean;
  /** Time since which this VM has not missed any claim, in ms. */
  completeSinceMs: number;
  /** When a zone member last became unreachable, in ms. */
  lastLossAtMs: number;
}

/** Creates an empty claim table. */
export function createClaimsState(nowMs: number): ClaimsState {
  return {
    records: new Map(),
    pendingCopies: new Map(),
    syncedFrom: new Set(),
    isComplete: false,
    completeSinceMs: nowMs,
    lastLossAtMs: Number.NEGATIVE_INFINITY,
  };
}

/** Converts a claim to the form in which it is sent to peers. */
export function createClaimRecord(claim: Claim, nowMs: number): ClaimRecord {
  const {claimedAtMs, ...fields} = claim;
  return {...fields, ageMs: Math.max(0, Math.round(nowMs - claimedAtMs))};
}
