import {DispatchState} from '../dispatchState.js';
import {EndpointEntry} from '../endpoints/endpointTable.js';
import {findProcessEntry} from '../endpoints/formerEntries.js';
import {ActiveCall, ActiveRequest} from './activeRequest.js';

/** A request and one of its calls. */
export interface FoundCall {
  readonly request: ActiveRequest;
  readonly call: ActiveCall;
}

/** Returns the call that an event belongs to, unless the call has ended. */
export function findCall(
  state: DispatchState,
  event: {requestId: string; callNumber: number},
): FoundCall | undefined {
  const request = state.requests.get(event.requestId);
  const call = request?.calls.find(
    ({callNumber}) => callNumber === event.callNumber,
  );
  if (request === undefined || call === undefined) return undefined;
  return {request, call};
}

/** Returns the endpoint entry of a call; undefined if it was removed. */
export function getEndpointEntry(
  state: DispatchState,
  call: ActiveCall,
): EndpointEntry | undefined {
  return state.endpoints.byId.get(call.endpointId);
}

/**
 * Returns the entry of the process that a call was started at, even if it was
 * removed or another process has taken its place.
 */
export function findCalledEntry(
  state: DispatchState,
  {endpointId: id, processStartedAtMs: startedAtMs}: ActiveCall,
): EndpointEntry | undefined {
  return findProcessEntry(state.endpoints, {id, startedAtMs});
}
