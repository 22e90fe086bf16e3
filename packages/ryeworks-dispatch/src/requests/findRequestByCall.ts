import {DispatchState} from '../dispatchState.js';
import {EndpointEntry} from '../endpoints/endpointTable.js';
import {ActiveRequest} from './activeRequest.js';

/** Returns the request whose current call an event belongs to, if any. */
export function findRequestByCall(
  state: DispatchState,
  event: {requestId: string; callNumber: number},
): ActiveRequest | undefined {
  const request = state.requests.get(event.requestId);
  if (request?.phase !== 'calling') return undefined;
  return request.callNumber === event.callNumber ? request : undefined;
}

/** Returns the endpoint entry of a request's current call. */
export function getEndpointEntry(
  state: DispatchState,
  request: ActiveRequest,
): EndpointEntry | undefined {
  return state.endpoints.byId.get(request.endpointId);
}
