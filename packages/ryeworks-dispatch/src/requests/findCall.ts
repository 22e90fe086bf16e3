import {DispatchState} from '../dispatchState.js';
import {EndpointEntry} from '../endpoints/endpointTable.js';
import {ActiveCall, ActiveRequest} from './activeRequest.js';

/** A request and one of its calls. */
export interface FoundCall {
  readonly request: ActiveRequest;
  readonly call: ActiveCall;
}

/** Lists the calls of a request that have not ended. */
export function listCalls(request: ActiveRequest): ActiveCall[] {
  const {call, standbyCall} = request;
  return [call, standbyCall].filter(item => item !== undefined);
}

/** Returns the call that an event belongs to, unless the call has ended. */
export function findCall(
  state: DispatchState,
  event: {requestId: string; callNumber: number},
): FoundCall | undefined {
  const request = state.requests.get(event.requestId);
  if (request === undefined) return undefined;
  for (const call of listCalls(request)) {
    if (call.callNumber === event.callNumber) return {request, call};
  }
  return undefined;
}

/** Returns the endpoint entry of a call; undefined if it was removed. */
export function getEndpointEntry(
  state: DispatchState,
  call: ActiveCall,
): EndpointEntry | undefined {
  return state.endpoints.byId.get(call.endpointId);
}
