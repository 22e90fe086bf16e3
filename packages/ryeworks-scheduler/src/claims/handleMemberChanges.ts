import {createCount, createLog, Effect} from '../effect.js';
import {NewZoneDetected} from '../input.js';
import {getOwnerCandidates} from '../membership/membershipState.js';
import {createSendPeer} from '../membership/createSendPeer.js';
import {NodeState} from '../nodeState.js';
import {memberStatus, MemberUpdate} from '../peerMessage.js';
import {Claim} from './claimsState.js';
import {
  claimReplicas,
  getClaimsAssignedTo,
  rankClaimOwners,
  sendClaimCopies,
} from './handleClaims.js';

/**
 * Time in which the claims of a lost member are copied again, in ms. A second
 * loss within it may take the only copy of some claims along.
 */
const copyRecoveryMs = 3000;

/** Marks the claims as possibly incomplete from now on. */
function markIncomplete(state: NodeState, nowMs: number): void {
  state.claims.isComplete = false;
  state.claims.completeSinceMs = nowMs;
  state.claims.syncedFrom.clear();
}

/** Asks every member of the zone for the claims that this VM should hold. */
function askForClaims(state: NodeState): Effect[] {
  const {membership, options} = state;
  const effects: Effect[] = [];
  for (const vm of getOwnerCandidates(membership, options.availabilityZone)) {
    if (vm === options.vm) continue;
    effects.push(createSendPeer(state, vm, {kind: 'claimSync'}));
  }
  return effects;
}

/** Copies the claims that this VM owns to their present replicas. */
function copyOwnedClaims(state: NodeState, nowMs: number): Effect[] {
  const byReplica = new Map<string, Claim[]>();
  for (const claim of state.claims.records.values()) {
    const owners = rankClaimOwners(state, claim.claimKey);
    if (owners[0] !== state.options.vm) continue;
    for (const replica of owners.slice(1, claimReplicas)) {
      const claims = byReplica.get(replica) ?? [];
      claims.push(claim);
      byReplica.set(replica, claims);
    }
  }
  const effects: Effect[] = [];
  for (const [replica, claims] of byReplica) {
    effects.push(...sendClaimCopies(state, replica, claims, nowMs, false));
  }
  return effects;
}

/** Restores the second copy of claims after a zone member went. */
export function handleMemberLost(
  state: NodeState,
  update: MemberUpdate,
  nowMs: number,
): Effect[] {
  const {claims, options} = state;
  if (update.availabilityZone !== options.availabilityZone) return [];
  const isLoss = update.status === memberStatus.unreachable;
  const isSecond = nowMs - claims.lastLossAtMs < copyRecoveryMs;
  if (isLoss && isSecond) markIncomplete(state, nowMs);
  if (isLoss) claims.lastLossAtMs = nowMs;
  return copyOwnedClaims(state, nowMs);
}

/** Gives a new zone member the claims that it should hold. */
export function handleMemberJoined(
  state: NodeState,
  update: MemberUpdate,
  nowMs: number,
): Effect[] {
  const {claims, options} = state;
  if (update.availabilityZone !== options.availabilityZone) return [];
  const theirs = getClaimsAssignedTo(state, update.vm);
  const effects = sendClaimCopies(state, update.vm, theirs, nowMs, false);
  if (claims.isComplete) return effects;
  return [...effects, createSendPeer(state, update.vm, {kind: 'claimSync'})];
}

/** Starts afresh as an owner after this process was paused. */
export function handleProcessPause(state: NodeState, nowMs: number): Effect[] {
  markIncomplete(state, nowMs);
  state.admission.cells.clear();
  return askForClaims(state);
}

/** Learns that the zone starts for the first time. */
export function handleNewZoneDetected(
  state: NodeState,
  _input: NewZoneDetected,
): Effect[] {
  state.claims.isComplete = true;
  return [createLog('zone_founded'), createCount('claim.zone_founded')];
}
