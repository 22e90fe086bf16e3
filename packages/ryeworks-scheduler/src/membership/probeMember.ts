import {pickRandom, sampleRandom} from '@ryeworks/utils';
import {handleProcessPause} from '../claims/handleMemberChanges.js';
import {createCount, createLog, Effect} from '../effect.js';
import {NodeState} from '../nodeState.js';
import {MemberStatus, memberStatus} from '../peerMessage.js';
import {announceSelf, applyMemberUpdate} from './applyMemberUpdate.js';
import {createGossip} from './gossip.js';
import {createMemberUpdate, Member, rankOwners} from './membershipState.js';
import {createSendPeer} from './createSendPeer.js';

/** Members asked to probe a member that does not answer. */
const indirectProbeCount = 2;
/** Members of each zone that watch the platform. */
const watchersPerZone = 2;
/** A VM that slept longer than this many probe periods was paused. */
const pauseThresholdPeriods = 4;
/** Time after which a member that is gone is forgotten, in ms. */
const memberRetentionMs = 600_000;
/** One probe in this many goes to a member that is unreachable. */
const unreachableProbeInterval = 4;
/** One probe in this many goes to another zone. */
const crossZoneProbeInterval = 3;

/** Lists the other members with one of the statuses. */
function getOtherMembers(
  state: NodeState,
  statuses: readonly MemberStatus[],
): Member[] {
  const others: Member[] = [];
  for (const member of state.membership.members.values()) {
    if (member.vm === state.options.vm) continue;
    if (statuses.includes(member.status)) others.push(member);
  }
  return others;
}

/** Chooses whom to probe: mostly the own zone, at times others and the lost. */
function pickProbeTarget(state: NodeState): Member | undefined {
  const {membership, options, random} = state;
  const reachable = getOtherMembers(state, ['alive', 'suspect', 'leaving']);
  const lost = getOtherMembers(state, ['unreachable']);
  const isLostTurn = membership.sequence % unreachableProbeInterval === 0;
  if (lost.length > 0 && (isLostTurn || reachable.length === 0)) {
    return pickRandom(random, lost);
  }
  const isCrossZoneTurn = membership.sequence % crossZoneProbeInterval === 0;
  const preferred = reachable.filter(
    member =>
      (member.availabilityZone === options.availabilityZone) !==
      isCrossZoneTurn,
  );
  return pickRandom(random, preferred) ?? pickRandom(random, reachable);
}

/** Sends a probe to a member. */
export function sendProbe(
  state: NodeState,
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
 * Notices that this process was paused and starts afresh as an owner. Runs
 * before any input, since what was sent meanwhile comes before the timers.
 */
export function detectPause(state: NodeState, nowMs: number): Effect[] {
  const {membership, options} = state;
  const elapsedMs = nowMs - membership.lastProbeAtMs;
  const isFirst = membership.lastProbeAtMs === 0;
  const isShort = elapsedMs < options.probePeriodMs * pauseThresholdPeriods;
  if (isFirst || isShort) return [];
  membership.lastProbeAtMs = nowMs;
  const self = membership.members.get(options.vm)!;
  announceSelf(state, self.status);
  return [
    createLog('paused', {elapsedMs: Math.round(elapsedMs)}),
    createCount('member.paused'),
    ...handleProcessPause(state, nowMs),
  ];
}

/** Tells the shell when this VM starts or ends to watch for its zone. */
function updateWatching(state: NodeState): Effect[] {
  const {membership, options} = state;
  const ranked = rankOwners(membership, 'watch', options.availabilityZone);
  const watching = ranked.slice(0, watchersPerZone).includes(options.vm);
  if (watching === membership.isWatching) return [];
  membership.isWatching = watching;
  return [{kind: 'setWatching', watching}];
}

/** Forgets members that have been gone for long. */
function removeStaleMembers(state: NodeState, nowMs: number): void {
  for (const member of getOtherMembers(state, ['left', 'unreachable'])) {
    if (nowMs - member.changedAtMs < memberRetentionMs) continue;
    state.membership.members.delete(member.vm);
  }
}

/** Probes the addresses from the settings while no other VM is known. */
function probeSeedPeers(state: NodeState, nowMs: number): Effect[] {
  const effects: Effect[] = [];
  for (const address of state.options.seedPeers) {
    if (address === state.options.peerAddress) continue;
    effects.push(...probeAddress(state, address, nowMs));
  }
  return effects;
}

/** Probes a VM that is known by its address alone. */
export function probeAddress(
  state: NodeState,
  address: string,
  nowMs: number,
): Effect[] {
  const unknown: Member = {
    vm: '',
    availabilityZone: '',
    address,
    incarnation: 0,
    status: memberStatus.alive,
    changedAtMs: nowMs,
    documents: {},
  };
  const probes = sendProbe(state, unknown, nowMs, true);
  return probes.map(one => (one.kind === 'sendPeer' ? {...one, address} : one));
}

/** Probes one member and sets the next probe. */
export function probeMember(
  state: NodeState,
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
  if (target === undefined)
    return [...effects, ...probeSeedPeers(state, nowMs)];
  const full = target.status === memberStatus.unreachable;
  return [...effects, ...sendProbe(state, target, nowMs, full)];
}

/** Asks others to probe a silent member, then suspects it. */
export function expireProbe(
  state: NodeState,
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

/** Declares a suspected member unreachable. */
export function expireSuspicion(
  state: NodeState,
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
