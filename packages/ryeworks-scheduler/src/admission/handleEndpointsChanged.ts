import {endpointState} from '@ryeworks/types';
import {Effect} from '../effect.js';
import {SchedulerState} from '../schedulerState.js';
import {assignCells} from './cellKeys.js';
import {decideGrants} from './decideGrants.js';

/**
 * Rebuilds the cells from the current endpoints document and issues the grants
 * that this makes possible.
 */
export function handleEndpointsChanged(
  state: SchedulerState,
  nowMs: number,
): Effect[] {
  const {admission, documents, options} = state;
  const {endpoints} = documents.contents.endpoints;
  admission.endpoints.clear();
  admission.cellKeyByEndpoint.clear();
  admission.cellEndpoints.clear();
  for (const endpoint of endpoints) {
    admission.endpoints.set(endpoint.endpoint, endpoint);
  }
  const liveEndpoints = endpoints.filter(
    endpoint => endpoint.state === endpointState.live,
  );
  const cells = assignCells(liveEndpoints, options.cellMaxEndpoints);
  for (const [cellKey, members] of cells) {
    admission.cellEndpoints.set(cellKey, members);
    for (const endpoint of members) {
      admission.cellKeyByEndpoint.set(endpoint.endpoint, cellKey);
    }
  }
  const effects: Effect[] = [];
  for (const cell of admission.cells.values()) {
    effects.push(...decideGrants(state, cell, nowMs));
  }
  return effects;
}
