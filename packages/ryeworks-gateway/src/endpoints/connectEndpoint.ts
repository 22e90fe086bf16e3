import {connect, Socket} from 'node:net';
import {buildConnector} from 'undici';

/** Time to open a connection to an endpoint, in ms. */
const connectTimeoutMs = 150;

/** No connection to an endpoint came about in time. */
export class ConnectTimeoutError extends Error {
  override readonly name = 'ConnectTimeoutError';
  readonly code = 'UND_ERR_CONNECT_TIMEOUT';
}

/**
 * Opens a connection, or gives up after a time shorter than the kernel's first
 * repeat of a lost packet.
 */
export const connectEndpoint: buildConnector.connector = (
  options,
  callback,
) => {
  const port = Number(options.port);
  const socket: Socket = connect({host: options.hostname, port, noDelay: true});
  const timer = setTimeout(() => {
    const text = `no connection to ${options.host} in ${connectTimeoutMs} ms`;
    socket.destroy(new ConnectTimeoutError(text));
  }, connectTimeoutMs);
  const handleError = (error: Error) => {
    clearTimeout(timer);
    callback(error, null);
  };
  socket.once('error', handleError);
  socket.once('connect', () => {
    clearTimeout(timer);
    socket.removeListener('error', handleError);
    callback(null, socket);
  });
};
