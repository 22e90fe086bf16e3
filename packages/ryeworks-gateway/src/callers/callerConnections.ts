import {ServerResponse} from 'node:http';
import {Socket} from 'node:net';

/** A caller's connection. */
interface CallerConnection {
  /** One function for each request in progress, which ends its tracking. */
  readonly openAnswers: Set<() => void>;
  /** Bytes that had been read when the last answer was complete. */
  answeredBytes: number;
  /** Whether it was idle when the connections were last checked. */
  wasIdle: boolean;
}

/**
 * The connections of the callers and their requests in progress. A request is in
 * progress from its last header until its answer was passed to the kernel. Node
 * regards a connection as idle as soon as its answer was ended, even if the
 * caller reads slowly and part of the answer still waits to be sent.
 */
export class CallerConnections {
  private readonly connections = new Map<Socket, CallerConnection>();

  /** Whether there is a connection on which bytes have been received. */
  get areUsed(): boolean {
    for (const {bytesRead} of this.connections.keys()) {
      if (bytesRead > 0) return true;
    }
    return false;
  }

  /** Adds a connection until it is closed. */
  add(socket: Socket): void {
    const openAnswers = new Set<() => void>();
    this.connections.set(socket, {
      openAnswers,
      answeredBytes: 0,
      wasIdle: false,
    });
    socket.once('close', () => {
      this.connections.delete(socket);
      // Node reports the end of the first answer only, not of answers that wait
      // for it because the caller has sent several requests at once.
      for (const end of [...openAnswers]) end();
    });
  }

  /**
   * Adds a request in progress. Calls `handleEnd` once: when its answer was
   * sent, or when its connection has closed.
   */
  addRequest(
    socket: Socket,
    response: ServerResponse,
    handleEnd: () => void,
  ): void {
    const connection = this.connections.get(socket);
    const end = () => {
      if (connection?.openAnswers.delete(end) === false) return;
      if (connection !== undefined) {
        connection.answeredBytes = socket.bytesRead;
        connection.wasIdle = false;
      }
      handleEnd();
    };
    connection?.openAnswers.add(end);
    response.once('close', end);
  }

  /** Ends the tracking of all requests, whose connections are about to close. */
  endRequests(): void {
    for (const {openAnswers} of this.connections.values()) {
      for (const end of [...openAnswers]) end();
    }
  }

  /**
   * Closes the used connections that were idle at the last call, too. Between the
   * calls, requests that had already arrived are read: if a connection is closed
   * with unread bytes, the caller's system may drop answers that the caller has
   * not read yet.
   */
  closeIdle(): void {
    for (const [socket, connection] of [...this.connections]) {
      const {answeredBytes, openAnswers, wasIdle} = connection;
      connection.wasIdle =
        answeredBytes > 0 &&
        answeredBytes === socket.bytesRead &&
        openAnswers.size === 0;
      if (wasIdle && connection.wasIdle) socket.destroy();
    }
  }
}
