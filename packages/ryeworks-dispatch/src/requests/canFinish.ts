import {callKind, Route} from '../desired/desiredState.js';
import {DispatchState} from '../dispatchState.js';
import {listEndpoints} from '../endpoints/endpointTable.js';
import {RequestReceived} from '../input.js';

/**
 * Time after the signal to stop during which streams are still accepted, in ms.
 * The load balancer sends no new connections after two failed readiness checks,
 * one second apart.
 */
const acceptStreamsMs = 2500;
/**
 * Minimum time left before the process ends to accept a call other than a
 * stream, in ms.
 */
const minPlainCallMs = 1500;
/** Time assumed until the first event of a stream, in ms. */
const streamStartAllowanceMs = 1500;

/**
 * Returns the maximum over a service's endpoints of the mean time between
 * events, in ms.
 */
function getMaxEventGapMs(state: DispatchState, service: string): number {
  let maxGapMs = 0;
  for (const entry of listEndpoints(state.endpoints, service)) {
    maxGapMs = Math.max(maxGapMs, entry.eventGapMs);
  }
  return maxGapMs;
}

/**
 * Estimates the maximum duration of a stream, in ms, given that each event
 * holds at least one token. Returns undefined if the length of the stream or
 * the mean time between events is unknown.
 */
function estimateMaxStreamMs(
  state: DispatchState,
  route: Route,
  input: RequestReceived,
): number | undefined {
  if (input.totalTokens === undefined) return undefined;
  const outputTokens = input.totalTokens - input.promptTokens;
  let maxGapMs = 0;
  for (const {service} of route.targets) {
    maxGapMs = Math.max(maxGapMs, getMaxEventGapMs(state, service));
  }
  if (maxGapMs === 0) return undefined;
  return streamStartAllowanceMs + outputTokens * maxGapMs;
}

/**
 * Returns whether a request can be answered completely before the process
 * stops. If not, the caller should send it to another VM from the start.
 */
export function canFinish(
  state: DispatchState,
  route: Route,
  input: RequestReceived,
  nowMs: number,
): boolean {
  const {stop} = state;
  if (stop === undefined) return true;
  const remainingMs = stop.endAtMs - nowMs;
  if (route.kind !== callKind.stream) return remainingMs >= minPlainCallMs;
  if (nowMs - stop.startedAtMs <= acceptStreamsMs) return true;
  const maxStreamMs = estimateMaxStreamMs(state, route, input);
  return maxStreamMs !== undefined && maxStreamMs <= remainingMs;
}
