import {
  DispatchState,
  getDispatchRate,
  getFairQueue,
  getQueue,
  getStarvedRanks,
} from '../dispatchState.js';
import {Effect} from '../effect.js';
import {startCall} from '../requests/startCall.js';
import {createServiceSnapshot, pickEndpoint} from './pickEndpoint.js';

/**
 * Maximum number of queued requests that are skipped because no endpoint can
 * take them.
 */
const maxSkipped = 8;

/**
 * Dispatches waiting requests, most urgent first, while endpoints have
 * capacity.
 */
export function admitWaiting(
  state: DispatchState,
  service: string,
  nowMs: number,
): Effect[] {
  const queue = getQueue(state, service);
  if (queue.length === 0) return [];
  const snapshot = createServiceSnapshot(state, service);
  const effects: Effect[] = [];
  let index = 0;
  while (index < queue.length && index <= maxSkipped) {
    const request = queue[index];
    const entry = pickEndpoint(state, request, snapshot, nowMs);
    if (entry === undefined) {
      index += 1;
      continue;
    }
    const isFirst = index === 0 || queue[index - 1].rank < request.rank;
    queue.splice(index, 1);
    // A request that is dispatched because those ahead of it cannot be does not
    // advance the virtual time: others would wait behind all that it overtook.
    if (isFirst) {
      const {rank, startTag} = request;
      getFairQueue(state, service).recordDispatch(rank, startTag);
    }
    getDispatchRate(state, service).record(nowMs);
    getStarvedRanks(state, service).recordDispatch(request.rank);
    effects.push(...startCall(state, request, entry, nowMs));
  }
  if (queue.length === 0) getFairQueue(state, service).dropIdle(() => false);
  return effects;
}
