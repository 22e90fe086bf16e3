import {DesiredState} from '@ryeworks/dispatch';
import {callHttp} from '@ryeworks/utils';

/** Path at which a VM gives its desired state to peers. */
export const statePath = '/v1/desired-state';
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
