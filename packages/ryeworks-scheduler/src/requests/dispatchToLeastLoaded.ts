import {Endpoint, endpointState} from '@ryeworks/types';
import {sampleRandom} from '@ryeworks/utils';
import {Effect} from '../effect.js';
import {SchedulerState} from '../schedulerState.js';
import {dispatchRequest} from './dispatchRequest.js';
import {ActiveRequest} from './requestsState.js';
import {endRefusedRequest} from './silentCall.js';

/** Number of endpoints compared for each request. */
const sampleSize = 2;

/** Returns the number of running and queued calls last reported. */
function getReportedLoad(state: SchedulerState, endpoint: Endpoint): number {
  const report = state.admission.loadReports.get(endpoint.endpoint);
  return report === undefined ? 0 : report.running + report.queued;
}

/**
 * Dispatches a request immediately to the endpoint with the lower reported load
 * of two random ones. This is the baseline for comparison with grants.
 */
export function dispatchToLeastLoaded(
  state: SchedulerState,
  request: ActiveRequest,
  nowMs: number,
): Effect[] {
  const usableEndpoints: Endpoint[] = [];
  for (const endpoint of state.admission.endpoints.values()) {
    if (endpoint.service !== request.service.service) continue;
    if (endpoint.version !== request.version) continue;
    if (endpoint.state !== endpointState.live) continue;
    if (request.avoid.includes(endpoint.endpoint)) continue;
    usableEndpoints.push(endpoint);
  }
  const sampled = sampleRandom(state.random, usableEndpoints, sampleSize);
  sampled.sort((a, b) => getReportedLoad(state, a) - getReportedLoad(state, b));
  if (sampled.length === 0) {
    const outcome = {error: 'noEndpoint' as const, reason: 'no_endpoint'};
    return endRefusedRequest(state, request, outcome, nowMs);
  }
  return dispatchRequest(state, request, sampled[0], nowMs);
}
