import {callKind, Route} from '../desired/desiredState.js';
import {DispatchState} from '../dispatchState.js';
import {listEndpoints} from '../endpoints/endpointTable.js';
import {RequestReceived} from '../input.js';

/**
 * Time after the signal to stop in which streams are still taken, in ms. The
 * balancer sends no new connections after two missed questions, a second apart.
 */
const acceptStreamsMs = 2500;
/** Time that a plain call is given before the process ends, in ms. */
const minPlainCallMs = 1500;
/** Time that a stream is given until its first event, in ms. */
const streamStartAllowanceMs = 1500;

/** Returns the longest usual pause between events of a service, in ms. */
function getMaxEventGapMs(state: DispatchState, service: string): number {
  let slowestMs = 0;
  for (const entry of listEndpoints(state.endpoints, service)) {
    slowestMs = Math.max(slowestMs, entry.eventGapMs);
  }
  return slowestMs;
}

/**
 * Returns the longest time that a stream may take, in ms: an event holds a token
 * or more. Undefined when its length or the endpoints' pace is not known.
 */
function estimateMaxStreamMs(
  state: DispatchState,
  route: Route,
  input: RequestReceived,
): number | undefined {
  if (input.totalTokens === undefined) return undefined;
  const outputTokens = input.totalTokens - input.promptTokens;
  let slowestMs = 0;
  for (const {service} of route.targets) {
    slowestMs = Math.max(slowestMs, getMaxEventGapMs(state, service));
  }
  if (slowestMs === 0) return undefined;
  return streamStartAllowanceMs + outputTokens * slowestMs;
}

/**
 * Tells whether a request that comes while the process stops can be answered
 * whole. One that cannot is better off at another VM from the start.
 */
export function canFinish(
  state: DispatchState,
  route: Route,
  input: RequestReceived,
  nowMs: number,
): boolean {
  const {stop} = state;
  if (stop === undefined) return true;
  const leftMs = stop.endAtMs - nowMs;
  if (route.kind !== callKind.stream) return leftMs >= minPlainCallMs;
  if (nowMs - stop.startedAtMs <= acceptStreamsMs) return true;
  const longestMs = estimateMaxStreamMs(state, route, input);
  return longestMs !== undefined && longestMs <= leftMs;
}
