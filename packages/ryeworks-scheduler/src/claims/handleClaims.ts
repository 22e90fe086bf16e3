import {createCount, Effect} from '../effect.js';
import {rankOwners} from '../membership/membershipState.js';
import {createSendPeer} from '../membership/createSendPeer.js';
import {NodeState} from '../nodeState.js';
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

/** Members that hold each claim: its owner and one copy. */
export const claimReplicas = 2;
/** Time for a copy to be confirmed, in ms. */
const claimCopyTimeoutMs = 100;
/** Time between two sweeps of old claims, in ms. */
const claimSweepPeriodMs = 1000;
/** Most claims in one message. */
const maxRecordsPerMessage = 500;
/** Allowed error of the time inside an idempotency key, in ms. */
const maxKeyClockErrorMs = 5000;

/** Ranks the owners of a key in this VM's zone. */
export function rankClaimOwners(state: NodeState, claimKey: string): string[] {
  const {membership, options} = state;
  return rankOwners(membership, claimKey, options.availabilityZone);
}

/** Tells whether an unseen key was certainly never claimed in this zone. */
function isCertainlyUnclaimed(
  state: NodeState,
  ask: ClaimAsk,
  nowMs: number,
): boolean {
  const {claims, options} = state;
  if (ask.firstAttempt || claims.isComplete) return true;
  const knownForMs = nowMs - claims.completeSinceMs;
  if (knownForMs >= options.claimWindowMs) return true;
  return ask.keyAgeMs >= 0 && ask.keyAgeMs + maxKeyClockErrorMs < knownForMs;
}

/** Creates the answer to a claim. */
function createClaimAnswer(
  state: NodeState,
  claimKey: string,
  requestId: string,
  status: ClaimAnswer['status'],
  record?: ClaimRecord,
): ClaimAnswer {
  const {availabilityZone} = state.options;
  const kind = 'claimAnswer';
  return {kind, claimKey, requestId, availabilityZone, status, record};
}

/** Claims a key, or says who holds it. */
export function handleClaimAsk(
  state: NodeState,
  from: string,
  message: ClaimAsk,
  nowMs: number,
): Effect[] {
  const {claims, options, timers} = state;
  const {claimKey, requestId, fingerprint} = message;
  const known = claims.records.get(claimKey);
  if (known !== undefined && known.requestId !== requestId) {
    const record = createClaimRecord(known, nowMs);
    const held = createClaimAnswer(state, claimKey, requestId, 'held', record);
    return [createSendPeer(state, from, held)];
  }
  if (known === undefined && !isCertainlyUnclaimed(state, message, nowMs)) {
    const unknown = createClaimAnswer(state, claimKey, requestId, 'unknown');
    return [
      createSendPeer(state, from, unknown),
      createCount('claim.unknown', {reason: 'owner_incomplete'}),
    ];
  }
  const claim: Claim = known ?? {
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

/** Creates a message with copies of claims. */
export function createClaimCopy(
  state: NodeState,
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

/** Sends copies of claims in messages of bounded size. */
export function sendClaimCopies(
  state: NodeState,
  to: string,
  claims: readonly Claim[],
  nowMs: number,
  isSync: boolean,
): Effect[] {
  const effects: Effect[] = [];
  const lastStart = Math.max(0, claims.length - 1);
  for (let start = 0; start <= lastStart; start += maxRecordsPerMessage) {
    const part = claims.slice(start, start + maxRecordsPerMessage);
    const isLast = start + maxRecordsPerMessage > lastStart;
    const fields = {isSync: isSync && isLast};
    const copy = createClaimCopy(state, part, nowMs, fields);
    effects.push(createSendPeer(state, to, copy));
  }
  return effects;
}

/** Keeps copies of claims; an earlier claim of a key is never replaced. */
export function handleClaimCopy(
  state: NodeState,
  from: string,
  message: ClaimCopy,
  nowMs: number,
): Effect[] {
  const {claims} = state;
  let conflict: ClaimRecord | undefined;
  for (const {ageMs, ...fields} of message.records) {
    const known = claims.records.get(fields.claimKey);
    if (known !== undefined && known.requestId !== fields.requestId) {
      conflict = createClaimRecord(known, nowMs);
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

/** Notes that a member has sent all its claims. */
function recordSync(state: NodeState, from: string, isComplete: boolean): void {
  const {claims, membership, options} = state;
  if (!isComplete) return;
  claims.syncedFrom.add(from);
  for (const vm of rankOwners(membership, '', options.availabilityZone)) {
    if (vm !== options.vm && !claims.syncedFrom.has(vm)) return;
  }
  claims.isComplete = true;
}

/** Answers a claim once its copy is safe. */
export function handleClaimCopied(
  state: NodeState,
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

/** Answers a claim whose copy was not confirmed: its keeper may be gone. */
export function expireClaimCopy(state: NodeState, requestId: string): Effect[] {
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

/** Lists the claims that a member should hold. */
export function getClaimsAssignedTo(state: NodeState, vm: string): Claim[] {
  const claims: Claim[] = [];
  for (const claim of state.claims.records.values()) {
    const owners = rankClaimOwners(state, claim.claimKey);
    if (owners.slice(0, claimReplicas).includes(vm)) claims.push(claim);
  }
  return claims;
}

/** Sends a member all the claims that it should hold. */
export function handleClaimSync(
  state: NodeState,
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

/** Changes or forgets a claim, here and at its copy. */
export function handleClaimUpdate(
  state: NodeState,
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

/** Forgets claims that are older than the window. */
export function sweepClaims(
  state: NodeState,
  _subject: string,
  nowMs: number,
): Effect[] {
  const {claims, options, timers} = state;
  timers.set('sweepClaims', '', nowMs + claimSweepPeriodMs);
  const oldestMs = nowMs - options.claimWindowMs;
  for (const claim of claims.records.values()) {
    if (claim.claimedAtMs >= oldestMs) continue;
    claims.records.delete(claim.claimKey);
  }
  if (claims.completeSinceMs <= oldestMs) claims.isComplete = true;
  return [];
}
