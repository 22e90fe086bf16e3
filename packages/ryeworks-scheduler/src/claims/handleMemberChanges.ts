import {createCount, createLog, Effect} from '../effect.js';
import {NewZoneDetected} from '../input.js';
import {createSendPeer} from '../membership/createSendPeer.js';
import {SchedulerState} from '../schedulerState.js';
import {memberStatus, MemberUpdate} from '../peerMessage.js';
import {Claim} from './claimsState.js';
import {
  askForClaims,
  claimReplicas,
  getClaimsAssignedTo,
  rankClaimOwners,
  sendClaimCopies,
} from './handleClaims.js';

/**
 * Time for the claims of a lost member to be replicated again, in ms. If a
 * second member is lost within this time, the only copy of some claims may be
 * lost with it.
 */
const copyRecoveryMs = 3000;

/** Marks the stored claims as possibly incomplete. */
function markIncomplete(state: SchedulerState, nowMs: number): void {
  state.claims.isComplete = false;
  state.claims.completeSinceMs = nowMs;
  state.claims.syncedFrom.clear();
}

/** Sends the claims that this VM owns to their current replicas. */
function copyOwnedClaims(state: SchedulerState, nowMs: number): Effect[] {
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

/**
 * Replicates claims again after a zone member has started to leave, has left or
 * has become unreachable. Marks the claims as possibly incomplete if the member
 * became unreachable less than `copyRecoveryMs` after another one did.
 */
export function handleMemberLost(
  state: SchedulerState,
  update: MemberUpdate,
  nowMs: number,
): Effect[] {
  const {claims, options} = state;
  if (update.availabilityZone !== options.availabilityZone) return [];
  const isLoss = update.status === memberStatus.unreachable;
  const isSecondLoss = nowMs - claims.lastLossAtMs < copyRecoveryMs;
  if (isLoss && isSecondLoss) markIncomplete(state, nowMs);
  if (isLoss) claims.lastLossAtMs = nowMs;
  return copyOwnedClaims(state, nowMs);
}

/**
 * Sends a new zone member the claims that it should hold, and asks it for its
 * claims if those of this VM are incomplete.
 */
export function handleMemberJoined(
  state: SchedulerState,
  update: MemberUpdate,
  nowMs: number,
): Effect[] {
  const {claims, options} = state;
  if (update.availabilityZone !== options.availabilityZone) return [];
  const assigned = getClaimsAssignedTo(state, update.vm);
  const effects = sendClaimCopies(state, update.vm, assigned, nowMs, false);
  if (claims.isComplete) return effects;
  return [...effects, createSendPeer(state, update.vm, {kind: 'claimSync'})];
}

/**
 * Discards ownership state after this process was paused, since other VMs may
 * have taken over its cells and keys, and asks the zone for its claims.
 */
export function handleProcessPause(
  state: SchedulerState,
  nowMs: number,
): Effect[] {
  markIncomplete(state, nowMs);
  state.admission.cells.clear();
  return askForClaims(state);
}

/**
 * Marks the claims as complete when the zone starts for the first time, since
 * no key can have been claimed in it before.
 */
export function handleNewZoneDetected(
  state: SchedulerState,
  _input: NewZoneDetected,
): Effect[] {
  state.claims.isComplete = true;
  return [createLog('new_zone_detected'), createCount('claim.zone_founded')];
}
