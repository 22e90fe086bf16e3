import {ClaimRecord, ClaimState} from '../peerMessage.js';

/** A claimed idempotency key. */
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

/** Claims that this VM owns or keeps a copy of. */
export interface ClaimsState {
  readonly records: Map<string, Claim>;
  /** Claims that wait for their copy, by request. */
  readonly pendingCopies: Map<string, {holder: string; claimKey: string}>;
  /** Zone members that have sent all their claims since the last restart. */
  readonly syncedFrom: Set<string>;
  /** Whether the claims of the whole window are known. */
  isComplete: boolean;
  /** Claims made after this time are known in any case, in ms. */
  completeSinceMs: number;
  /** When a zone member was last lost, in ms. */
  lastLossAtMs: number;
}

/** Creates an empty claims table. */
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

/** Describes a claim for a peer. */
export function createClaimRecord(claim: Claim, nowMs: number): ClaimRecord {
  const {claimedAtMs, ...fields} = claim;
  return {...fields, ageMs: Math.max(0, Math.round(nowMs - claimedAtMs))};
}
