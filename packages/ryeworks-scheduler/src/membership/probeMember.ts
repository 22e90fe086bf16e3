import {pickRandom, sampleRandom} from '@ryeworks/utils';
import {handleProcessPause} from '../claims/handleMemberChanges.js';
import {createCount, createLog, Effect} from '../effect.js';
import {SchedulerState} from '../schedulerState.js';
import {MemberStatus, memberStatus} from '../peerMessage.js';
import {announceSelf, applyMemberUpdate} from './applyMemberUpdate.js';
import {createGossip} from './gossip.js';
import {createMemberUpdate, Member, rankOwners} from './membershipState.js';
import {createSendPeer} from './createSendPeer.js';

/** Number of members asked to probe a member that does not answer. */
const indirectProbeCount = 2;
/** Number of members in each zone that watch the platform. */
const watchersPerZone = 2;
/** Probe periods without a probe after which a process counts as paused. */
const pauseThresholdPeriods = 4;
/** Time after which a member that left or is unreachable is removed, in ms. */
const memberRetentionMs = 600_000;
/** One in this many probes goes to an unreachable member. */
const unreachableProbeInterval = 4;
/** One in this many probes goes to another zone. */
const crossZoneProbeInterval = 3;

/** Returns the other members that have one of the statuses. */
function getOtherMembers(
  state: SchedulerState,
  statuses: readonly MemberStatus[],
): Member[] {
  const others: Member[] = [];
  for (const member of state.membership.members.values()) {
    if (member.vm === state.options.vm) continue;
    if (statuses.includes(member.status)) others.push(member);
  }
  return others;
}

/**
 * Picks the member to probe: usually one of this VM's zone, sometimes one of
 * another zone or an unreachable one.
 */
function pickProbeTarget(state: SchedulerState): Member | undefined {
  const {membership, options, random} = state;
  const reachable = getOtherMembers(state, ['alive', 'suspect', 'leaving']);
  const unreachable = getOtherMembers(state, ['unreachable']);
  const isUnreachableTurn =
    membership.sequence % unreachableProbeInterval === 0;
  if (unreachable.length > 0 && (isUnreachableTurn || reachable.length === 0)) {
    return pickRandom(random, unreachable);
  }
  const isCrossZoneTurn = membership.sequence % crossZoneProbeInterval === 0;
  const preferred = reachable.filter(
    member =>
      (member.availabilityZone === options.availabilityZone) !==
      isCrossZoneTurn,
  );
  return pickRandom(random, preferred) ?? pickRandom(random, reachable);
}

/**
 * Sends a probe to a member. The probe carries the entry of a member that is not
 * alive, so that the member can refute it.
 */
export function sendProbe(
  state: SchedulerState,
  target: Member,
  nowMs: number,
  full: boolean,
): Effect[] {
  const {membership, options, timers} = state;
  const sequence = ++membership.sequence;
  membership.probes.set(sequence, {vm: target.vm, isIndirect: false});
  timers.set('probeTimeout', `${sequence}`, nowMs + options.probeTimeoutMs);
  const self = membership.members.get(options.vm)!;
  const ping = {
    kind: 'ping' as const,
    sequence,
    full,
    sender: createMemberUpdate(self),
    ...createGossip(
      state,
      target.status === memberStatus.alive ? [] : [createMemberUpdate(target)],
    ),
  };
  return [createSendPeer(state, target.vm, ping)];
}

/**
 * Detects that this process was paused, and then announces a new incarnation
 * and discards ownership state. Runs before every input, since messages that
 * arrived during the pause are handled before the timers.
 */
export function detectPause(state: SchedulerState, nowMs: number): Effect[] {
  const {membership, options} = state;
  const elapsedMs = nowMs - membership.lastProbeAtMs;
  const isFirst = membership.lastProbeAtMs === 0;
  const isShort = elapsedMs < options.probePeriodMs * pauseThresholdPeriods;
  if (isFirst || isShort) return [];
  membership.lastProbeAtMs = nowMs;
  const self = membership.members.get(options.vm)!;
  announceSelf(state, self.status);
  return [
    createLog('process_pause_detected', {elapsedMs: Math.round(elapsedMs)}),
    createCount('member.paused'),
    ...handleProcessPause(state, nowMs),
  ];
}

/** Starts or stops watching the platform by this VM's rank in its zone. */
function updateWatching(state: SchedulerState): Effect[] {
  const {membership, options} = state;
  const ranked = rankOwners(membership, 'watch', options.availabilityZone);
  const watching = ranked.slice(0, watchersPerZone).includes(options.vm);
  if (watching === membership.isWatching) return [];
  membership.isWatching = watching;
  return [{kind: 'setWatching', watching}];
}

/** Removes members that left or became unreachable long ago. */
function removeStaleMembers(state: SchedulerState, nowMs: number): void {
  for (const member of getOtherMembers(state, ['left', 'unreachable'])) {
    if (nowMs - member.changedAtMs < memberRetentionMs) continue;
    state.membership.members.delete(member.vm);
  }
}

/** Probes the seed peers; used while there is no other member to probe. */
function probeSeeds(state: SchedulerState, nowMs: number): Effect[] {
  const effects: Effect[] = [];
  for (const address of state.options.seedPeers) {
    if (address === state.options.peerAddress) continue;
    effects.push(...probeAddress(state, address, nowMs));
  }
  return effects;
}

/** Probes a VM of which only the address is known. */
export function probeAddress(
  state: SchedulerState,
  address: string,
  nowMs: number,
): Effect[] {
  const placeholder: Member = {
    vm: '',
    availabilityZone: '',
    address,
    incarnation: 0,
    status: memberStatus.alive,
    changedAtMs: nowMs,
    documents: {},
  };
  const probes = sendProbe(state, placeholder, nowMs, true);
  return probes.map(effect =>
    effect.kind === 'sendPeer' ? {...effect, address} : effect,
  );
}

/** Probes one member and schedules the next probe. */
export function probeMember(
  state: SchedulerState,
  _subject: string,
  nowMs: number,
): Effect[] {
  const {options, timers} = state;
  timers.set('probe', '', nowMs + options.probePeriodMs);
  state.membership.lastProbeAtMs = nowMs;
  const effects: Effect[] = [];
  removeStaleMembers(state, nowMs);
  effects.push(...updateWatching(state));
  const target = pickProbeTarget(state);
  if (target === undefined) return [...effects, ...probeSeeds(state, nowMs)];
  const full = target.status === memberStatus.unreachable;
  return [...effects, ...sendProbe(state, target, nowMs, full)];
}

/**
 * Handles a probe without an answer: first asks other members to probe the
 * target, and marks it as suspect when they get no answer either.
 */
export function expireProbe(
  state: SchedulerState,
  subject: string,
  nowMs: number,
): Effect[] {
  const {membership, options, random, timers} = state;
  const sequence = Number(subject);
  const probe = membership.probes.get(sequence);
  if (probe === undefined) {
    membership.indirectProbes.delete(sequence);
    return [];
  }
  const target = membership.members.get(probe.vm);
  if (target === undefined || target.status === memberStatus.unreachable) {
    membership.probes.delete(sequence);
    return [];
  }
  if (!probe.isIndirect) {
    probe.isIndirect = true;
    timers.set('probeTimeout', subject, nowMs + options.probeTimeoutMs * 2);
    const helpers = getOtherMembers(state, ['alive']).filter(
      member => member.vm !== probe.vm,
    );
    return sampleRandom(random, helpers, indirectProbeCount).map(helper =>
      createSendPeer(state, helper.vm, {
        kind: 'pingRequest',
        sequence,
        target: probe.vm,
      }),
    );
  }
  membership.probes.delete(sequence);
  const update = {
    ...createMemberUpdate(target),
    status: memberStatus.suspect,
  };
  return applyMemberUpdate(state, update, nowMs);
}

/** Marks a member as unreachable that has not refuted the suspicion in time. */
export function expireSuspicion(
  state: SchedulerState,
  vm: string,
  nowMs: number,
): Effect[] {
  const member = state.membership.members.get(vm);
  if (member?.status !== memberStatus.suspect) return [];
  const update = {
    ...createMemberUpdate(member),
    status: memberStatus.unreachable,
  };
  return applyMemberUpdate(state, update, nowMs);
}
