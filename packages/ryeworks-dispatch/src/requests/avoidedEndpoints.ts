import {ActiveRequest} from './activeRequest.js';

/**
 * Time for which the next calls of a request avoid an endpoint whose call was
 * silent or failed, in ms. Where a service has few endpoints, the request would
 * otherwise wait for its time limit once each of them has refused it.
 */
const avoidanceMs = 500;

/** Lets the next calls of a request avoid an endpoint for a while. */
export function markAvoided(
  request: ActiveRequest,
  endpointId: string,
  nowMs: number,
): void {
  request.avoidedUntilMs.set(endpointId, nowMs + avoidanceMs);
}

/**
 * Returns whether a new call of a request avoids an endpoint: it has a call
 * there, or had one recently.
 */
export function isAvoided(
  request: ActiveRequest,
  endpointId: string,
  nowMs: number,
): boolean {
  if (request.calls.some(call => call.endpointId === endpointId)) return true;
  return (request.avoidedUntilMs.get(endpointId) ?? 0) > nowMs;
}
