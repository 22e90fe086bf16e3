import {DesiredState, StoreViewRead} from '@ryeworks/dispatch';
import {callHttp} from '@ryeworks/utils';

/** Path at which a VM gives its desired state to peers. */
export const desiredStatePath = '/v1/desired-state';
/** Path at which a VM gives what it knows of the store to peers. */
export const storeViewPath = '/v1/store-view';
/** Time for a peer to answer, in ms. */
const fetchTimeoutMs = 500;

/** A peer gave nothing that can be used. */
export class PeerFetchError extends Error {
  override readonly name = 'PeerFetchError';
}

/** Gets what a peer has at a path; a number in it shows that it is whole. */
async function fetchFromPeer<T>(
  address: string,
  path: string,
  key: keyof T,
): Promise<T> {
  const timeoutMs = fetchTimeoutMs;
  const call = {address, method: 'GET', path, timeoutMs} as const;
  const {body, status} = await callHttp(call);
  const content = body as T;
  if (status === 200 && Number.isInteger(content[key])) return content;
  throw new PeerFetchError(`peer ${address}${path} answered ${status}`);
}

/** Fetches the desired state that a peer has in force. */
export function fetchDesiredState(address: string): Promise<DesiredState> {
  return fetchFromPeer<DesiredState>(address, desiredStatePath, 'version');
}

/** Fetches what a peer knows of the store. */
export function fetchStoreView(address: string): Promise<StoreViewRead> {
  return fetchFromPeer<StoreViewRead>(address, storeViewPath, 'revision');
}
