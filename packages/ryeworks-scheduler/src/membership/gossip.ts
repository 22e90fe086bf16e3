import {documentNames} from '@ryeworks/types';
import {fetchNewerDocument} from '../documents/handleDocuments.js';
import {Effect} from '../effect.js';
import {applyVerdict} from '../moves/applyVerdict.js';
import {SchedulerState} from '../schedulerState.js';
import {Gossip, MemberUpdate} from '../peerMessage.js';
import {applyMemberUpdate} from './applyMemberUpdate.js';
import {Rumor} from './membershipState.js';

/** Maximum number of rumors of each kind (updates, verdicts) in one message. */
const maxUpdatesPerMessage = 8;

/**
 * Picks the rumors that the next message carries: those with the most remaining
 * transmissions. A rumor is removed after its last transmission.
 */
function pickRumors<T>(rumors: Map<string, Rumor<T>>, limit: number): T[] {
  const picked: T[] = [];
  const ordered = [...rumors].sort((a, b) => b[1].remaining - a[1].remaining);
  for (const [key, rumor] of ordered) {
    if (picked.length === limit) break;
    picked.push(rumor.content);
    rumor.remaining -= 1;
    if (rumor.remaining <= 0) rumors.delete(key);
  }
  return picked;
}

/** Creates the fields that are piggybacked on every probe and its answer. */
export function createGossip(
  state: SchedulerState,
  extraUpdates: readonly MemberUpdate[] = [],
): Gossip {
  const {membership} = state;
  return {
    incarnation: membership.incarnation,
    updates: [
      ...pickRumors(membership.updates, maxUpdatesPerMessage),
      ...extraUpdates,
    ],
    documents: {...state.documents.versions},
    verdicts: pickRumors(membership.verdicts, maxUpdatesPerMessage),
  };
}

/** Applies the fields that are piggybacked on a probe or its answer. */
export function applyGossip(
  state: SchedulerState,
  from: string,
  gossip: Gossip,
  nowMs: number,
): Effect[] {
  const effects: Effect[] = [];
  const sender = state.membership.members.get(from);
  if (sender !== undefined) {
    const {plans, allowances, endpoints, moves} = gossip.documents;
    sender.documents = {plans, allowances, endpoints, moves};
  }
  for (const update of gossip.updates) {
    effects.push(...applyMemberUpdate(state, update, nowMs));
  }
  for (const verdict of gossip.verdicts) {
    effects.push(...applyVerdict(state, verdict, nowMs));
  }
  for (const name of documentNames) {
    const version = gossip.documents[name];
    effects.push(...fetchNewerDocument(state, from, name, version));
  }
  return effects;
}
