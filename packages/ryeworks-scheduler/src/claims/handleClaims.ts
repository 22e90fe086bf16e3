import {createCount, createLog, Effect} from '../effect.js';
import {getOwnerCandidates, rankOwners} from '../membership/membershipState.js';
import {createSendPeer} from '../membership/createSendPeer.js';
import {SchedulerState} from '../schedulerState.js';
import {
  ClaimAnswer,
  ClaimAsk,
  ClaimCopied,
  ClaimCopy,
  ClaimRecord,
  ClaimSync,
  ClaimUpdate,
} from '../peerMessage.js';
import {Claim, createClaimRecord} from './claimsState.js';

/** Number of members that hold each claim: its owner and one replica. */
export const claimReplicas = 2;
/** Time for a replica to confirm a copy, in ms. */
const claimCopyTimeoutMs = 100;
/** Time between two removals of expired claims, in ms. */
const claimSweepPeriodMs = 1000;
/** Maximum number of claims in one message. */
const maxRecordsPerMessage = 500;
/** Tolerated clock error of the time in an idempotency key, in ms. */
const maxKeyClockErrorMs = 5000;

/** Ranks the possible owners of a key in this VM's zone; the first owns it. */
export function rankClaimOwners(
  state: SchedulerState,
  claimKey: string,
): string[] {
  const {membership, options} = state;
  return rankOwners(membership, claimKey, options.availabilityZone);
}

/**
 * Returns whether it is certain that a key without a stored claim was never
 * claimed in this zone.
 */
function isCertainlyUnclaimed(
  state: SchedulerState,
  message: ClaimAsk,
  nowMs: number,
): boolean {
  const {claims, options} = state;
  if (message.firstAttempt || claims.isComplete) return true;
  const completeForMs = nowMs - claims.completeSinceMs;
  if (completeForMs >= options.claimWindowMs) return true;
  return (
    message.keyAgeMs >= 0 &&
    message.keyAgeMs + maxKeyClockErrorMs < completeForMs
  );
}

/** Creates the answer to a claim request. */
function createClaimAnswer(
  state: SchedulerState,
  claimKey: string,
  requestId: string,
  status: ClaimAnswer['status'],
  record?: ClaimRecord,
): ClaimAnswer {
  const {availabilityZone} = state.options;
  const kind = 'claimAnswer';
  return {kind, claimKey, requestId, availabilityZone, status, record};
}

/**
 * Claims a key for a request, or answers with the existing claim. A new claim
 * is granted once its replica has confirmed a copy or the wait has timed out,
 * and immediately if there is no replica.
 */
export function handleClaimAsk(
  state: SchedulerState,
  from: string,
  message: ClaimAsk,
  nowMs: number,
): Effect[] {
  const {claims, options, timers} = state;
  const {claimKey, requestId, fingerprint} = message;
  const existing = claims.records.get(claimKey);
  if (existing !== undefined && existing.requestId !== requestId) {
    const record = createClaimRecord(existing, nowMs);
    const held = createClaimAnswer(state, claimKey, requestId, 'held', record);
    return [createSendPeer(state, from, held)];
  }
  if (existing === undefined && !isCertainlyUnclaimed(state, message, nowMs)) {
    const unknown = createClaimAnswer(state, claimKey, requestId, 'unknown');
    return [
      createSendPeer(state, from, unknown),
      createCount('claim.unknown', {reason: 'owner_incomplete'}),
      createLog('claim_unknown', {
        requestId,
        askedBy: from,
        incompleteForMs: Math.round(nowMs - claims.completeSinceMs),
        syncedFrom: [...claims.syncedFrom].join(),
      }),
    ];
  }
  const claim: Claim = existing ?? {
    claimKey,
    requestId,
    holder: from,
    fingerprint,
    state: 'claimed',
    endpoint: '',
    claimedAtMs: nowMs,
  };
  claims.records.set(claimKey, claim);
  const replica = rankClaimOwners(state, claimKey)
    .slice(0, claimReplicas)
    .find(vm => vm !== options.vm);
  if (replica === undefined) {
    const granted = createClaimAnswer(state, claimKey, requestId, 'granted');
    return [createSendPeer(state, from, granted)];
  }
  claims.pendingCopies.set(requestId, {holder: from, claimKey});
  timers.set('claimCopyTimeout', requestId, nowMs + claimCopyTimeoutMs);
  const copy = createClaimCopy(state, [claim], nowMs, {requestId});
  return [createSendPeer(state, replica, copy)];
}

/** Creates a message that carries copies of claims. */
export function createClaimCopy(
  state: SchedulerState,
  claims: readonly Claim[],
  nowMs: number,
  fields: {requestId?: string; isSync?: boolean} = {},
): ClaimCopy {
  return {
    kind: 'claimCopy',
    records: claims.map(claim => createClaimRecord(claim, nowMs)),
    requestId: fields.requestId ?? '',
    isSync: fields.isSync ?? false,
    isComplete: state.claims.isComplete,
  };
}

/**
 * Sends copies of claims in messages of bounded size, at least one. With
 * `isSync`, the last message ends the sync.
 */
export function sendClaimCopies(
  state: SchedulerState,
  to: string,
  claims: readonly Claim[],
  nowMs: number,
  isSync: boolean,
): Effect[] {
  const effects: Effect[] = [];
  const lastStart = Math.max(0, claims.length - 1);
  for (let start = 0; start <= lastStart; start += maxRecordsPerMessage) {
    const batch = claims.slice(start, start + maxRecordsPerMessage);
    const isLast = start + maxRecordsPerMessage > lastStart;
    const fields = {isSync: isSync && isLast};
    const copy = createClaimCopy(state, batch, nowMs, fields);
    effects.push(createSendPeer(state, to, copy));
  }
  return effects;
}

/**
 * Stores copies of claims. A stored claim of a key is never replaced by another
 * request's claim; a sender that waits for the copy gets it as a conflict.
 */
export function handleClaimCopy(
  state: SchedulerState,
  from: string,
  message: ClaimCopy,
  nowMs: number,
): Effect[] {
  const {claims} = state;
  let conflict: ClaimRecord | undefined;
  for (const {ageMs, ...fields} of message.records) {
    const existing = claims.records.get(fields.claimKey);
    if (existing !== undefined && existing.requestId !== fields.requestId) {
      conflict = createClaimRecord(existing, nowMs);
      continue;
    }
    const claimedAtMs = nowMs - ageMs;
    claims.records.set(fields.claimKey, {...fields, claimedAtMs});
  }
  if (message.isSync) recordSync(state, from, message.isComplete);
  if (message.requestId === '') return [];
  const {requestId} = message;
  const copied: ClaimCopied = {kind: 'claimCopied', requestId, conflict};
  return [createSendPeer(state, from, copied)];
}

/**
 * Records that a member whose claims are complete has sent them. Once every
 * other zone member has done so, the claims of this VM are complete too.
 */
function recordSync(
  state: SchedulerState,
  from: string,
  isComplete: boolean,
): void {
  const {claims, membership, options} = state;
  if (!isComplete) return;
  claims.syncedFrom.add(from);
  for (const vm of rankOwners(membership, '', options.availabilityZone)) {
    if (vm !== options.vm && !claims.syncedFrom.has(vm)) return;
  }
  claims.isComplete = true;
}

/**
 * Answers a claim after its replica has stored the copy, or has reported the
 * existing claim of another request.
 */
export function handleClaimCopied(
  state: SchedulerState,
  _from: string,
  message: ClaimCopied,
): Effect[] {
  const {claims, timers} = state;
  const {requestId, conflict} = message;
  const waiting = claims.pendingCopies.get(requestId);
  if (waiting === undefined) return [];
  claims.pendingCopies.delete(requestId);
  timers.clear('claimCopyTimeout', requestId);
  const {holder, claimKey} = waiting;
  if (conflict === undefined) {
    const granted = createClaimAnswer(state, claimKey, requestId, 'granted');
    return [createSendPeer(state, holder, granted)];
  }
  claims.records.delete(claimKey);
  const held = createClaimAnswer(state, claimKey, requestId, 'held', conflict);
  return [createSendPeer(state, holder, held)];
}

/**
 * Grants a claim whose copy was not confirmed in time, since its replica may
 * have failed.
 */
export function expireClaimCopy(
  state: SchedulerState,
  requestId: string,
): Effect[] {
  const waiting = state.claims.pendingCopies.get(requestId);
  if (waiting === undefined) return [];
  state.claims.pendingCopies.delete(requestId);
  const {holder, claimKey} = waiting;
  const granted = createClaimAnswer(state, claimKey, requestId, 'granted');
  return [
    createSendPeer(state, holder, granted),
    createCount('claim.uncopied'),
  ];
}

/** Returns the stored claims that a member should hold as owner or replica. */
export function getClaimsAssignedTo(
  state: SchedulerState,
  vm: string,
): Claim[] {
  const claims: Claim[] = [];
  for (const claim of state.claims.records.values()) {
    const owners = rankClaimOwners(state, claim.claimKey);
    if (owners.slice(0, claimReplicas).includes(vm)) claims.push(claim);
  }
  return claims;
}

/** Sends a member all claims that it should hold. */
export function handleClaimSync(
  state: SchedulerState,
  from: string,
  _message: ClaimSync,
  nowMs: number,
): Effect[] {
  return sendClaimCopies(
    state,
    from,
    getClaimsAssignedTo(state, from),
    nowMs,
    true,
  );
}

/**
 * Changes or deletes a claim. An update from the claim's holder is forwarded to
 * the other members that store the claim.
 */
export function handleClaimUpdate(
  state: SchedulerState,
  from: string,
  message: ClaimUpdate,
): Effect[] {
  const {claims, options} = state;
  const claim = claims.records.get(message.claimKey);
  if (claim === undefined || claim.requestId !== message.requestId) return [];
  if (message.state === 'released') {
    claims.records.delete(message.claimKey);
  } else {
    claim.state = message.state;
    claim.endpoint = message.endpoint;
  }
  if (from !== claim.holder) return [];
  const replicas = rankClaimOwners(state, message.claimKey)
    .slice(0, claimReplicas)
    .filter(vm => vm !== options.vm);
  return replicas.map(vm => createSendPeer(state, vm, message));
}

/**
 * Asks the zone's other members that have not sent them for the claims that this
 * VM should hold.
 */
export function askForClaims(state: SchedulerState): Effect[] {
  const {claims, membership, options} = state;
  const effects: Effect[] = [];
  for (const vm of getOwnerCandidates(membership, options.availabilityZone)) {
    if (vm === options.vm || claims.syncedFrom.has(vm)) continue;
    effects.push(createSendPeer(state, vm, {kind: 'claimSync'}));
  }
  return effects;
}

/**
 * Deletes claims that are older than the claim window. While this VM may lack
 * claims, asks for them again, because a member that was asked may not have had
 * them all itself.
 */
export function sweepClaims(
  state: SchedulerState,
  _subject: string,
  nowMs: number,
): Effect[] {
  const {claims, options, timers} = state;
  timers.set('sweepClaims', '', nowMs + claimSweepPeriodMs);
  const windowStartMs = nowMs - options.claimWindowMs;
  for (const claim of claims.records.values()) {
    if (claim.claimedAtMs >= windowStartMs) continue;
    claims.records.delete(claim.claimKey);
  }
  if (claims.completeSinceMs <= windowStartMs) claims.isComplete = true;
  return claims.isComplete ? [] : askForClaims(state);
}
