import {DesiredState} from '@ryeworks/dispatch';
import {callHttp} from '@ryeworks/utils';
import {StoreViewMessage} from './storeViewMessage.js';

/** Path from which peers fetch a VM's desired state. */
export const desiredStatePath = '/v1/desired-state';
/** Path from which peers fetch a VM's view of the store. */
export const storeViewPath = '/v1/store-view';
/** Time limit for the beginning of a peer's answer, in ms. */
const fetchTimeoutMs = 500;

/** Thrown when a peer's answer cannot be used. */
export class PeerFetchError extends Error {
  override readonly name = 'PeerFetchError';
}

/** Content that a peer sent. */
export interface FetchedContent<T> {
  readonly content: T;
  /** Size of the peer's answer as received, in bytes. */
  readonly sizeBytes: number;
}

/**
 * Fetches JSON from a peer. The answer is accepted only if its status is 200 and
 * its field `versionField` is an integer, as a check that it is complete.
 */
async function fetchFromPeer<T>(
  address: string,
  path: string,
  versionField: keyof T,
): Promise<FetchedContent<T>> {
  const timeoutMs = fetchTimeoutMs;
  const acceptsGzip = true;
  const call = {address, method: 'GET', path, acceptsGzip, timeoutMs} as const;
  const {body, sizeBytes, status} = await callHttp(call);
  const content = body as T;
  if (status === 200 && Number.isInteger(content[versionField])) {
    return {content, sizeBytes};
  }
  throw new PeerFetchError(
    `unusable answer from peer ${address}${path}, status ${status}`,
  );
}

/** Fetches the desired state that a peer applies. */
export function fetchDesiredState(
  address: string,
): Promise<FetchedContent<DesiredState>> {
  return fetchFromPeer<DesiredState>(address, desiredStatePath, 'version');
}

/** Fetches a peer's view of the store. */
export function fetchStoreView(
  address: string,
): Promise<FetchedContent<StoreViewMessage>> {
  return fetchFromPeer<StoreViewMessage>(address, storeViewPath, 'revision');
}
