import {callKind} from '../desired/desiredState.js';
import {DispatchState} from '../dispatchState.js';
import {listEndpoints} from '../endpoints/endpointTable.js';
import {
  estimateFirstEventMs,
  getMeanFirstEventMs,
} from '../endpoints/latency.js';
import {ActiveCall, ActiveRequest} from './activeRequest.js';
import {getEndpointEntry} from './findCall.js';

/**
 * Silence timeout of a stream before its first event, relative to the latency
 * target.
 */
const latencyTargetFraction = 0.6;
/**
 * Silence timeout of a stream before its first event, relative to the expected
 * time.
 */
const firstEventFactor = 2;
/** Silence timeout between events, relative to the route's maximum gap. */
const maxGapFraction = 0.7;
/** Silence timeout between events, relative to the endpoint's mean gap. */
const gapFactor = 8;
/** Silence timeout of a plain call, relative to the latency target. */
const plainFactor = 1.5;
/** Minimum silence timeout, in ms. */
const minSilenceTimeoutMs = 150;

/**
 * Returns the time without progress after which a call counts as silent, in ms:
 * the longest of the silence timeouts that apply to it.
 */
export function getSilenceTimeoutMs(
  state: DispatchState,
  request: ActiveRequest,
  call: ActiveCall,
): number {
  const {route} = request;
  const entry = getEndpointEntry(state, call);
  if (route.kind !== callKind.stream) {
    return Math.max(minSilenceTimeoutMs, route.latencyTargetMs * plainFactor);
  }
  if (call.hasFirstEvent) {
    const gapMs = (entry?.eventGapMs ?? 0) * gapFactor;
    return Math.max(
      minSilenceTimeoutMs,
      route.maxGapMs * maxGapFraction,
      gapMs,
    );
  }
  const entries = listEndpoints(state.endpoints, request.service);
  const serviceMs = getMeanFirstEventMs(entries);
  const expectedMs =
    entry === undefined
      ? 0
      : estimateFirstEventMs(entry, serviceMs, request.promptTokens);
  const firstEventMs = expectedMs * firstEventFactor;
  const targetMs = route.latencyTargetMs * latencyTargetFraction;
  return Math.max(minSilenceTimeoutMs, targetMs, firstEventMs);
}

/**
 * Schedules the silence timeout of the last call of a request if the request may
 * be retried.
 */
export function scheduleSilenceTimeout(
  state: DispatchState,
  request: ActiveRequest,
  nowMs: number,
): void {
  const call = request.calls.at(-1);
  if (!request.isRetryable || call === undefined) return;
  const dueMs = nowMs + getSilenceTimeoutMs(state, request, call);
  state.timers.set('silence', request.requestId, dueMs);
}
