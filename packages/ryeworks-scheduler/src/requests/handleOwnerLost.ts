import {Effect} from '../effect.js';
import {SchedulerState} from '../schedulerState.js';
import {sendGrantRequest} from './askForGrant.js';

/** Resends the grant requests that were pending at a leaving or lost VM. */
export function handleOwnerLost(
  state: SchedulerState,
  vm: string,
  nowMs: number,
): Effect[] {
  const effects: Effect[] = [];
  for (const request of state.requests.active.values()) {
    if (request.phase !== 'awaitingGrant' || request.askedVm !== vm) continue;
    request.grantOwnerRank = 0;
    effects.push(...sendGrantRequest(state, request, nowMs));
  }
  return effects;
}
