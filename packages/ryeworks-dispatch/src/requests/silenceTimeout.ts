import {callKind} from '../desired/desiredState.js';
import {DispatchState} from '../dispatchState.js';
import {EndpointEntry, listEndpoints} from '../endpoints/endpointTable.js';
import {
  estimateFirstEventMs,
  getMeanFirstEventMs,
} from '../endpoints/latency.js';
import {ActiveRequest} from './activeRequest.js';

/** Part of the latency target after which a stream should have begun. */
const latencyTargetFraction = 0.6;
/** How often the usual time to the first event is waited for. */
const firstEventFactor = 2;
/** Part of the longest pause after which a stream counts as silent. */
const maxGapFraction = 0.7;
/** How often the usual pause between events is waited for. */
const gapFactor = 8;
/** How often the latency target of a plain call is waited for. */
const plainFactor = 1.5;
/** Least time after which a call counts as silent, in ms. */
const minSilenceTimeoutMs = 150;

/** Returns the time after which a call without progress is given up, in ms. */
export function getSilenceTimeoutMs(
  state: DispatchState,
  request: ActiveRequest,
  entry: EndpointEntry,
): number {
  const {route} = request;
  if (route.kind !== callKind.stream) {
    return Math.max(minSilenceTimeoutMs, route.latencyTargetMs * plainFactor);
  }
  if (request.hasFirstEvent) {
    const usualMs = entry.eventGapMs * gapFactor;
    return Math.max(
      minSilenceTimeoutMs,
      route.maxGapMs * maxGapFraction,
      usualMs,
    );
  }
  const entries = listEndpoints(state.endpoints, request.service);
  const serviceMs = getMeanFirstEventMs(entries);
  const expectedMs = estimateFirstEventMs(
    entry,
    serviceMs,
    request.promptTokens,
  );
  const usualMs = expectedMs * firstEventFactor;
  const targetMs = route.latencyTargetMs * latencyTargetFraction;
  return Math.max(minSilenceTimeoutMs, targetMs, usualMs);
}

/** Sets when a call that may be repeated is given up as silent. */
export function scheduleSilenceTimeout(
  state: DispatchState,
  request: ActiveRequest,
  entry: EndpointEntry,
  nowMs: number,
): void {
  if (!request.isRetryable) return;
  const dueMs = nowMs + getSilenceTimeoutMs(state, request, entry);
  state.timers.set('silence', request.requestId, dueMs);
}
