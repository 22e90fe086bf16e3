import {Effect} from '../effect.js';
import {NodeState} from '../nodeState.js';
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

/** Answers a probe; a full one with every member. */
export function handlePing(
  state: NodeState,
  from: string,
  message: Ping,
  nowMs: number,
): Effect[] {
  const {membership, options} = state;
  const isNew = !membership.members.has(from);
  const effects = applyMemberUpdate(state, message.sender, nowMs);
  effects.push(...applyGossip(state, from, message, nowMs));
  const known = membership.members.get(from);
  const extra: MemberUpdate[] = [];
  if (message.full || isNew) {
    for (const member of membership.members.values()) {
      extra.push(createMemberUpdate(member));
    }
  } else if (known !== undefined && known.status !== message.sender.status) {
    extra.push(createMemberUpdate(known));
  }
  const self = membership.members.get(options.vm)!;
  const ack: Ack = {
    kind: 'ack',
    sequence: message.sequence,
    sender: createMemberUpdate(self),
    ...createGossip(state, extra),
  };
  return [...effects, createSendPeer(state, from, ack)];
}

/** Ends a probe; passes the answer on when the probe was for another. */
export function handleAck(
  state: NodeState,
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
  const passedOn: IndirectAck = {
    kind: 'indirectAck',
    sequence: indirect.sequence,
    target: from,
  };
  return [...effects, createSendPeer(state, indirect.requester, passedOn)];
}

/** Probes a member for another. */
export function handlePingRequest(
  state: NodeState,
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

/** Ends a probe that a third member confirmed. */
export function handleIndirectAck(
  state: NodeState,
  _from: string,
  message: IndirectAck,
): Effect[] {
  state.membership.probes.delete(message.sequence);
  state.timers.clear('probeTimeout', `${message.sequence}`);
  return [];
}
