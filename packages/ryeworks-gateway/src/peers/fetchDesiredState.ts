import {DesiredState, StoreViewRead} from '@ryeworks/dispatch';
import {callHttp} from '@ryeworks/utils';

/** Path at which a VM gives its desired state to peers. */
export const statePath = '/v1/desired-state';
/** Path at which a VM gives what it knows of the store to peers. */
export const viewPath = '/v1/store-view';
/** Time for a peer to answer, in ms. */
const fetchTimeoutMs = 500;

/** Fetches the desired state that a peer has in force. */
export async function fetchDesiredState(
  address: string,
): Promise<DesiredState> {
  const {body, status} = await callHttp({
    address,
    method: 'GET',
    path: statePath,
    timeoutMs: fetchTimeoutMs,
  });
  const desired = body as DesiredState;
  if (status === 200 && Number.isInteger(desired.version)) return desired;
  throw new Error(`peer ${address} answered ${status}`);
}

/** Fetches what a peer knows of the store. */
export async function fetchStoreView(address: string): Promise<StoreViewRead> {
  const {body, status} = await callHttp({
    address,
    method: 'GET',
    path: viewPath,
    timeoutMs: fetchTimeoutMs,
  });
  const view = body as StoreViewRead;
  if (status === 200 && Number.isInteger(view.revision)) return view;
  throw new Error(`peer ${address} answered ${status}`);
}
