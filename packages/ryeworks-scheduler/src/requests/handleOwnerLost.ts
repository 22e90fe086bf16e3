import {Effect} from '../effect.js';
import {NodeState} from '../nodeState.js';
import {sendGrantRequest} from './askForGrant.js';

/** Repeats the asks that waited at a member that went. */
export function handleOwnerLost(
  state: NodeState,
  vm: string,
  nowMs: number,
): Effect[] {
  const effects: Effect[] = [];
  for (const request of state.requests.active.values()) {
    if (request.phase !== 'asking' || request.askedOwner !== vm) continue;
    request.grantOwnerRank = 0;
    effects.push(...sendGrantRequest(state, request, nowMs));
  }
  return effects;
}
