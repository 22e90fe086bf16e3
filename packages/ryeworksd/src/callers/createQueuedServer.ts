import {createServer, RequestListener, Server, STATUS_CODES} from 'node:http';
import {Socket} from 'node:net';
import {OpenReplies} from './openReplies.js';

/** Time within which a request must be read to its end, in ms. */
const requestTimeoutMs = 30_000;
/** Time for which an idle connection is kept, in ms. */
const keepAliveTimeoutMs = 72_000;
const malformedStatus = 400;
/** Statuses by the code of a read error; any other is a malformed request. */
const statuses: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_HEADER_OVERFLOW: 431,
};

/**
 * Creates an HTTP server that hands over each request when those before it on its
 * connection are answered.
 */
export function createQueuedServer(
  handleRequest: RequestListener,
  openReplies: OpenReplies,
): Server {
  return createServer(
    {keepAliveTimeout: keepAliveTimeoutMs, requestTimeout: requestTimeoutMs},
    (request, response) => {
      openReplies.getQueue(request.socket).add({
        request,
        response,
        begin: () => void handleRequest(request, response),
        handleEnd: () => {},
      });
      openReplies.handleRequestRead(request.socket);
    },
  );
}

/** Refuses what cannot be read, after the answers to the requests before it. */
export function refuseUnreadable(
  openReplies: OpenReplies,
  code: string,
  socket: Socket,
): void {
  if (!socket.writable || code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const status = statuses[code] ?? malformedStatus;
  const statusLine = `HTTP/1.1 ${status} ${STATUS_CODES[status]}`;
  openReplies.getQueue(socket).endReading(() => {
    socket.write(
      `${statusLine}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`,
    );
    socket.destroySoon();
  });
}
