import {ActiveRequest} from '../requests/activeRequest.js';

/**
 * Fraction of the latency target for which a request may wait for an endpoint.
 */
const maxWaitFraction = 0.8;

/**
 * Returns how long after its arrival a request may wait for an endpoint, in ms.
 */
export function getMaxWaitMs(request: ActiveRequest): number {
  return request.route.latencyTargetMs * maxWaitFraction;
}
