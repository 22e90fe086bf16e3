import {Socket} from 'node:net';

/**
 * Closes a connection with a TCP reset. If its end was requested before, closes
 * it without one: while that end is being sent, Node cannot reset a connection,
 * does not close it either, and then never finishes to exit.
 */
export function resetSocket(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
