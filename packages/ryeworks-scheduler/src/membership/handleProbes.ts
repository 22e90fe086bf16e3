import {Effect} from '../effect.js';
import {SchedulerState} from '../schedulerState.js';
import {
  Ack,
  IndirectAck,
  MemberUpdate,
  Ping,
  PingRequest,
} from '../peerMessage.js';
import {applyMemberUpdate} from './applyMemberUpdate.js';
import {applyGossip, createGossip} from './gossip.js';
import {createMemberUpdate} from './membershipState.js';
import {sendProbe} from './probeMember.js';
import {createSendPeer} from './createSendPeer.js';

/**
 * Answers a probe. The answer carries the whole member table if the probe
 * requests it or its sender is a new member.
 */
export function handlePing(
  state: SchedulerState,
  from: string,
  message: Ping,
  nowMs: number,
): Effect[] {
  const {membership, options} = state;
  const isNew = !membership.members.has(from);
  const effects = applyMemberUpdate(state, message.sender, nowMs);
  effects.push(...applyGossip(state, from, message, nowMs));
  const member = membership.members.get(from);
  const extraUpdates: MemberUpdate[] = [];
  if (message.full || isNew) {
    for (const other of membership.members.values()) {
      extraUpdates.push(createMemberUpdate(other));
    }
  } else if (member !== undefined && member.status !== message.sender.status) {
    extraUpdates.push(createMemberUpdate(member));
  }
  const self = membership.members.get(options.vm)!;
  const ack: Ack = {
    kind: 'ack',
    sequence: message.sequence,
    sender: createMemberUpdate(self),
    ...createGossip(state, extraUpdates),
  };
  return [...effects, createSendPeer(state, from, ack)];
}

/**
 * Ends a probe that was answered. Reports the answer to the requester if the
 * probe was sent on behalf of another member.
 */
export function handleAck(
  state: SchedulerState,
  from: string,
  message: Ack,
  nowMs: number,
): Effect[] {
  const {membership, timers} = state;
  const effects = applyMemberUpdate(state, message.sender, nowMs);
  effects.push(...applyGossip(state, from, message, nowMs));
  membership.probes.delete(message.sequence);
  timers.clear('probeTimeout', `${message.sequence}`);
  const indirect = membership.indirectProbes.get(message.sequence);
  if (indirect === undefined) return effects;
  membership.indirectProbes.delete(message.sequence);
  const indirectAck: IndirectAck = {
    kind: 'indirectAck',
    sequence: indirect.sequence,
    target: from,
  };
  return [...effects, createSendPeer(state, indirect.requester, indirectAck)];
}

/** Probes a member on behalf of another member. */
export function handlePingRequest(
  state: SchedulerState,
  from: string,
  message: PingRequest,
  nowMs: number,
): Effect[] {
  const target = state.membership.members.get(message.target);
  if (target === undefined) return [];
  const effects = sendProbe(state, target, nowMs, false);
  const sequence = state.membership.sequence;
  state.membership.probes.delete(sequence);
  state.membership.indirectProbes.set(sequence, {
    requester: from,
    sequence: message.sequence,
  });
  return effects;
}

/** Ends a probe whose target has answered another member. */
export function handleIndirectAck(
  state: SchedulerState,
  _from: string,
  message: IndirectAck,
): Effect[] {
  state.membership.probes.delete(message.sequence);
  state.timers.clear('probeTimeout', `${message.sequence}`);
  return [];
}
