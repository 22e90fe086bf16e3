import {
  handleMemberLost,
  handleMemberJoined,
} from '../claims/handleMemberChanges.js';
import {createCount, createLog, Effect} from '../effect.js';
import {handleOwnerLost} from '../requests/handleOwnerLost.js';
import {NodeState} from '../nodeState.js';
import {MemberStatus, memberStatus, MemberUpdate} from '../peerMessage.js';
import {createMemberUpdate, Member} from './membershipState.js';

/** Messages that carry one update, for each doubling of the fleet. */
const transmissionsPerDoubling = 3;

const statusPrecedence: Record<MemberStatus, number> = {
  alive: 0,
  suspect: 1,
  unreachable: 2,
  leaving: 3,
  left: 4,
};

/** Decides whether an update says something newer than is known. */
export function isNewerUpdate(current: Member, update: MemberUpdate): boolean {
  if (update.incarnation !== current.incarnation) {
    return update.incarnation > current.incarnation;
  }
  return statusPrecedence[update.status] > statusPrecedence[current.status];
}

/** Returns how many messages carry one update in a fleet of this size. */
function countTransmissions(state: NodeState): number {
  const doublings = Math.ceil(Math.log2(state.membership.members.size + 1));
  return transmissionsPerDoubling * doublings;
}

/** Queues an update for the next messages. */
export function addGossipUpdate(state: NodeState, update: MemberUpdate): void {
  state.membership.updates.set(update.vm, {
    content: update,
    remaining: countTransmissions(state),
  });
}

/** Announces a new incarnation of this VM with a status. */
export function announceSelf(state: NodeState, status: MemberStatus): void {
  const {membership, options} = state;
  membership.incarnation += 1;
  const self = membership.members.get(options.vm)!;
  self.incarnation = membership.incarnation;
  self.status = status;
  addGossipUpdate(state, createMemberUpdate(self));
}

/** Refutes what others say about this VM. */
function refuteUpdate(state: NodeState, update: MemberUpdate): void {
  const self = state.membership.members.get(state.options.vm)!;
  const isWrong =
    update.status !== self.status && update.incarnation >= self.incarnation;
  if (!isWrong) return;
  state.membership.incarnation = update.incarnation;
  announceSelf(state, self.status);
}

const activeStatuses: ReadonlySet<MemberStatus> = new Set([
  memberStatus.alive,
  memberStatus.suspect,
]);

/** Takes in what a peer says of a member. */
export function applyMemberUpdate(
  state: NodeState,
  update: MemberUpdate,
  nowMs: number,
): Effect[] {
  if (update.vm === state.options.vm) {
    refuteUpdate(state, update);
    return [];
  }
  const known = state.membership.members.get(update.vm);
  if (known !== undefined && !isNewerUpdate(known, update)) return [];
  const wasLiving = known !== undefined && activeStatuses.has(known.status);
  const isLiving = activeStatuses.has(update.status);
  state.membership.members.set(update.vm, {
    ...update,
    changedAtMs: nowMs,
    documents: known?.documents ?? {},
  });
  addGossipUpdate(state, update);
  if (update.status === memberStatus.suspect) {
    const dueMs = nowMs + state.options.suspicionMs;
    state.timers.set('suspicionTimeout', update.vm, dueMs);
  }
  const effects: Effect[] = [
    createLog('member_status', {
      member: update.vm,
      memberZone: update.availabilityZone,
      status: update.status,
      incarnation: update.incarnation,
    }),
    createCount('member.status', {status: update.status}),
  ];
  if (wasLiving && !isLiving) {
    effects.push(
      ...handleMemberLost(state, update, nowMs),
      ...handleOwnerLost(state, update.vm, nowMs),
    );
  }
  if (!wasLiving && isLiving) {
    effects.push(...handleMemberJoined(state, update, nowMs));
  }
  return effects;
}
