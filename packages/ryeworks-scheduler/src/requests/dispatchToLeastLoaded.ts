import {Endpoint, endpointState} from '@ryeworks/types';
import {sampleRandom} from '@ryeworks/utils';
import {Effect} from '../effect.js';
import {NodeState} from '../nodeState.js';
import {dispatchRequest} from './dispatchRequest.js';
import {endRequest} from './endRequest.js';
import {ActiveRequest} from './requestsState.js';

/** Endpoints compared for each request. */
const sampleSize = 2;

/** Returns the load that an endpoint last reported. */
function getReportedLoad(state: NodeState, endpoint: Endpoint): number {
  const report = state.admission.loadReports.get(endpoint.endpoint);
  return report === undefined ? 0 : report.running + report.queued;
}

/**
 * Dispatches at once to the less loaded of two endpoints by their reports.
 * The baseline that grants are measured against.
 */
export function dispatchToLeastLoaded(
  state: NodeState,
  request: ActiveRequest,
  nowMs: number,
): Effect[] {
  const usable: Endpoint[] = [];
  for (const endpoint of state.admission.endpoints.values()) {
    if (endpoint.service !== request.service.service) continue;
    if (endpoint.version !== request.version) continue;
    if (endpoint.state !== endpointState.live) continue;
    if (request.avoid.includes(endpoint.endpoint)) continue;
    usable.push(endpoint);
  }
  const sampled = sampleRandom(state.random, usable, sampleSize);
  sampled.sort((a, b) => getReportedLoad(state, a) - getReportedLoad(state, b));
  if (sampled.length === 0) {
    const outcome = {error: 'noEndpoint' as const, reason: 'no_endpoint'};
    return endRequest(state, request, outcome, nowMs);
  }
  return dispatchRequest(state, request, sampled[0], nowMs);
}
