import {
  handleMemberLost,
  handleMemberJoined,
} from '../claims/handleMemberChanges.js';
import {createCount, createLog, Effect} from '../effect.js';
import {handleOwnerLost} from '../requests/handleOwnerLost.js';
import {SchedulerState} from '../schedulerState.js';
import {MemberStatus, memberStatus, MemberUpdate} from '../peerMessage.js';
import {createMemberUpdate, Member} from './membershipState.js';

/** Number of messages that carry one update, per doubling of the fleet size. */
const transmissionsPerDoubling = 3;

const statusPrecedence: Record<MemberStatus, number> = {
  alive: 0,
  suspect: 1,
  unreachable: 2,
  leaving: 3,
  left: 4,
};

/** Returns whether an update supersedes the current entry of a member. */
export function isNewerUpdate(current: Member, update: MemberUpdate): boolean {
  if (update.incarnation !== current.incarnation) {
    return update.incarnation > current.incarnation;
  }
  return statusPrecedence[update.status] > statusPrecedence[current.status];
}

/** Returns how many messages carry one update at the current fleet size. */
function countTransmissions(state: SchedulerState): number {
  const doublings = Math.ceil(Math.log2(state.membership.members.size + 1));
  return transmissionsPerDoubling * doublings;
}

/** Adds an update to those that the next membership messages carry. */
export function addGossipUpdate(
  state: SchedulerState,
  update: MemberUpdate,
): void {
  state.membership.updates.set(update.vm, {
    content: update,
    remaining: countTransmissions(state),
  });
}

/** Starts a new incarnation of this VM and announces it with a status. */
export function announceSelf(
  state: SchedulerState,
  status: MemberStatus,
): void {
  const {membership, options} = state;
  membership.incarnation += 1;
  const self = membership.members.get(options.vm)!;
  self.incarnation = membership.incarnation;
  self.status = status;
  addGossipUpdate(state, createMemberUpdate(self));
}

/** Refutes another member's update that gives this VM a wrong status. */
function refuteUpdate(state: SchedulerState, update: MemberUpdate): void {
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

/**
 * Applies an update about a member if it is newer than the current entry, and
 * handles a member that joined, is leaving or was lost.
 */
export function applyMemberUpdate(
  state: SchedulerState,
  update: MemberUpdate,
  nowMs: number,
): Effect[] {
  if (update.vm === state.options.vm) {
    refuteUpdate(state, update);
    return [];
  }
  const current = state.membership.members.get(update.vm);
  if (current !== undefined && !isNewerUpdate(current, update)) return [];
  const wasActive = current !== undefined && activeStatuses.has(current.status);
  const isActive = activeStatuses.has(update.status);
  state.membership.members.set(update.vm, {
    ...update,
    changedAtMs: nowMs,
    documents: current?.documents ?? {},
  });
  addGossipUpdate(state, update);
  if (update.status === memberStatus.suspect) {
    const dueMs = nowMs + state.options.suspicionMs;
    state.timers.set('suspicionTimeout', update.vm, dueMs);
  }
  const effects: Effect[] = [
    createLog('member_status_changed', {
      member: update.vm,
      memberZone: update.availabilityZone,
      status: update.status,
      incarnation: update.incarnation,
    }),
    createCount('member.status', {status: update.status}),
  ];
  if (wasActive && !isActive) {
    effects.push(
      ...handleMemberLost(state, update, nowMs),
      ...handleOwnerLost(state, update.vm, nowMs),
    );
  }
  if (!wasActive && isActive) {
    effects.push(...handleMemberJoined(state, update, nowMs));
  }
  return effects;
}
