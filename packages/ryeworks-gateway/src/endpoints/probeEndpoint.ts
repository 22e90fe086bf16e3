import {Endpoint, ProbeEndpoint} from '@ryeworks/dispatch';
import {parseHostPort} from '@ryeworks/utils';
import {setTimeout as sleep} from 'node:timers/promises';
import {DispatchLoop} from '../core/dispatchLoop.js';
import {connectEndpoint} from './connectEndpoint.js';

/** Returns whether a connection to an endpoint can be opened. */
function isListening({address}: Endpoint): Promise<boolean> {
  const {host, port} = parseHostPort(address);
  return new Promise(resolve => {
    const socket = connectEndpoint(host, port);
    socket.once('connect', () => {
      socket.destroy();
      resolve(true);
    });
    // The caller logs that the endpoint does not listen.
    socket.once('error', () => resolve(false));
  });
}

/** Probes an endpoint and submits the result to the core. */
export async function probeEndpoint(
  loop: DispatchLoop,
  {delayMs, endpoint}: ProbeEndpoint,
): Promise<void> {
  await sleep(delayMs, undefined, {ref: false});
  loop.submit({
    kind: 'endpointProbed',
    endpoint,
    isListening: await isListening(endpoint),
  });
}
