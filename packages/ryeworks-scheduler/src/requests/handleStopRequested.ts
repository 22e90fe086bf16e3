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
import {SchedulerState} from '../schedulerState.js';
import {memberStatus, Ping} from '../peerMessage.js';

/**
 * Starts a graceful stop: accepts no new requests, tells the other VMs that
 * this one is leaving, so that they take over what it owns, and copies all
 * claims that it stores to the VMs of its zone. Requests in progress run to
 * completion.
 */
export function handleStopRequested(
  state: SchedulerState,
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
  const records = [...claims.records.values()];
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
    if (records.length === 0) continue;
    effects.push(...sendClaimCopies(state, vm, records, nowMs, false));
  }
  return effects;
}

/** Returns whether a draining VM has completed all its requests. */
export function isDrained(state: SchedulerState): boolean {
  return state.draining && state.requests.active.size === 0;
}
