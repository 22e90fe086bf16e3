import {DispatchState, getDispatchRate, getQueue} from '../dispatchState.js';
import {Effect} from '../effect.js';
import {startCall} from '../requests/startCall.js';
import {createServiceSnapshot, pickEndpoint} from './pickEndpoint.js';

/** Waiting requests that are tried past one that no endpoint can take. */
const maxSkipped = 8;

/** Dispatches waiting requests, most urgent first, while there is room. */
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
    queue.splice(index, 1);
    getDispatchRate(state, service).record(nowMs);
    effects.push(...startCall(state, request, entry, nowMs));
  }
  return effects;
}
