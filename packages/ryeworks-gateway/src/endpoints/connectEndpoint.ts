import {startIoTimer} from '@ryeworks/utils';
import {connect, Socket} from 'node:net';

/** Maximum time to open a connection to an endpoint, in ms. */
const connectTimeoutMs = 150;

/** Error of a connection to an endpoint that was not opened in time. */
export class ConnectTimeoutError extends Error {
  override readonly name = 'ConnectTimeoutError';
  readonly code = 'CONNECT_TIMEOUT';
}

/**
 * Opens a TCP connection. Its timeout is shorter than the delay after which the
 * kernel first retransmits a lost packet. The connection stays writable when the
 * endpoint ends it, as `checkConnectionEnd` requires; the caller destroys it.
 */
export function connectEndpoint(host: string, port: number): Socket {
  const socket = connect({host, port, noDelay: true, allowHalfOpen: true});
  const cancelTimer = startIoTimer(() => {
    const message = `no connection to ${host}:${port} in ${connectTimeoutMs} ms`;
    socket.destroy(new ConnectTimeoutError(message));
  }, connectTimeoutMs);
  socket.once('connect', cancelTimer);
  socket.once('close', cancelTimer);
  return socket;
}
