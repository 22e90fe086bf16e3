import {connect, Socket} from 'node:net';

/** Time to open a connection to an endpoint, in ms. */
const connectTimeoutMs = 150;

/** No connection to an endpoint came about in time. */
export class ConnectTimeoutError extends Error {
  override readonly name = 'ConnectTimeoutError';
  readonly code = 'CONNECT_TIMEOUT';
}

/**
 * Opens a connection, or gives up after a time shorter than the kernel's first
 * repeat of a lost packet.
 */
export function connectEndpoint(host: string, port: number): Socket {
  const socket = connect({host, port, noDelay: true});
  const timer = setTimeout(() => {
    const text = `no connection to ${host}:${port} in ${connectTimeoutMs} ms`;
    socket.destroy(new ConnectTimeoutError(text));
  }, connectTimeoutMs);
  const clearTimer = () => clearTimeout(timer);
  socket.once('connect', clearTimer);
  socket.once('close', clearTimer);
  return socket;
}
