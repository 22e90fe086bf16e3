import {callKind, Route} from '../desired/desiredState.js';
import {DispatchState} from '../dispatchState.js';
import {listEndpoints} from '../endpoints/endpointTable.js';
import {RequestReceived} from '../input.js';

/**
 * Time after the signal to stop in which streams are still taken, in ms. The
 * balancer sends no new connections after two missed questions, a second apart.
 */
const takeStreamsMs = 2500;
/** Time that a plain call is given before the process ends, in ms. */
const plainCallMs = 1500;
/** Time that a stream is given until its first event, in ms. */
const streamStartMs = 1500;

/** Returns the longest usual pause between events of a service, in ms. */
function getSlowestGapMs(state: DispatchState, service: string): number {
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
function estimateLongestMs(
  state: DispatchState,
  route: Route,
  input: RequestReceived,
): number | undefined {
  if (input.totalTokens === undefined) return undefined;
  const outputTokens = input.totalTokens - input.promptTokens;
  let slowestMs = 0;
  for (const {service} of route.targets) {
    slowestMs = Math.max(slowestMs, getSlowestGapMs(state, service));
  }
  if (slowestMs === 0) return undefined;
  return streamStartMs + outputTokens * slowestMs;
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
  if (route.kind !== callKind.stream) return leftMs >= plainCallMs;
  if (nowMs - stop.startedAtMs <= takeStreamsMs) return true;
  const longestMs = estimateLongestMs(state, route, input);
  return longestMs !== undefined && longestMs <= leftMs;
}
