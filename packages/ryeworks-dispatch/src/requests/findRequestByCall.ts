import {DispatchState} from '../dispatchState.js';
import {EndpointEntry} from '../endpoints/endpointTable.js';
import {ActiveRequest} from './activeRequest.js';

/** Finds the request whose present call an event is about. */
export function findRequestByCall(
  state: DispatchState,
  event: {requestId: string; callNumber: number},
): ActiveRequest | undefined {
  const request = state.requests.get(event.requestId);
  if (request?.phase !== 'calling') return undefined;
  return request.callNumber === event.callNumber ? request : undefined;
}

/** Returns what is known of the endpoint of a request's present call. */
export function getEndpointEntry(
  state: DispatchState,
  request: ActiveRequest,
): EndpointEntry | undefined {
  return state.endpoints.byId.get(request.endpointId);
}
