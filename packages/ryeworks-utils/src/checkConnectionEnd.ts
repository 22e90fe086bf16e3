import {Socket} from 'node:net';

/** How a peer finished a connection: with a TCP FIN or with a TCP reset. */
export type ConnectionEnd = 'ended' | 'reset';

/**
 * Checks how the peer finished a connection whose `end` event was emitted. libuv
 * reports a reset that arrives behind unread bytes as a regular end. A write of no
 * bytes, which sends nothing, fails only on a connection that was reset.
 *
 * The socket must allow half-open connections. It emits `error` after a reset.
 */
export function checkConnectionEnd(socket: Socket): Promise<ConnectionEnd> {
  return new Promise(resolve => {
    socket.write('', error => resolve(error ? 'reset' : 'ended'));
  });
}
