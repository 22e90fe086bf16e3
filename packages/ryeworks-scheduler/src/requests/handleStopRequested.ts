import {createLog, Effect} from '../effect.js';
import {StopRequested} from '../input.js';
import {announceSelf} from '../membership/applyMemberUpdate.js';
import {createGossip} from '../membership/gossip.js';
import {
  createMemberUpdate,
  getOwnerCandidates,
} from '../membership/membershipState.js';
import {createSendPeer} from '../membership/createSendPeer.js';
import {sendClaimCopies} from '../claims/handleClaims.js';
import {NodeState} from '../nodeState.js';
import {memberStatus, Ping} from '../peerMessage.js';

/**
 * Starts a graceful stop: takes no new requests, leaves ownership to the
 * others and hands them the claims. Requests in progress run to their end.
 */
export function handleStopRequested(
  state: NodeState,
  _input: StopRequested,
  nowMs: number,
): Effect[] {
  if (state.draining) return [];
  state.draining = true;
  announceSelf(state, memberStatus.leaving);
  const {claims, membership, options} = state;
  const self = createMemberUpdate(membership.members.get(options.vm)!);
  const effects: Effect[] = [
    createLog('draining', {requests: state.requests.active.size}),
  ];
  const all = [...claims.records.values()];
  for (const vm of getOwnerCandidates(membership)) {
    const ping: Ping = {
      kind: 'ping',
      sequence: ++membership.sequence,
      full: false,
      sender: self,
      ...createGossip(state, [self]),
    };
    effects.push(createSendPeer(state, vm, ping));
    const member = membership.members.get(vm);
    if (member?.availabilityZone !== options.availabilityZone) continue;
    if (all.length === 0) continue;
    effects.push(...sendClaimCopies(state, vm, all, nowMs, false));
  }
  return effects;
}

/** Tells whether a draining VM has nothing left to finish. */
export function isDrained(state: NodeState): boolean {
  return state.draining && state.requests.active.size === 0;
}
