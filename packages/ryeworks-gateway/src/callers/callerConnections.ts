import {Socket} from 'node:net';
import {QueuedOutcome, QueuedRequest, RequestQueue} from '@ryeworks/utils';

/** A caller's connection. */
interface CallerConnection {
  readonly queue: RequestQueue;
  /** Whether the caller has closed it. */
  hasCallerLeft: boolean;
  /** Bytes that had been read when the last answer was complete. */
  answeredBytes: number;
  /** Whether it was idle when the connections were last checked. */
  wasIdle: boolean;
}

/** How a request has ended. */
export interface RequestEnd {
  readonly outcome: QueuedOutcome;
  /** Whether the caller has closed the connection. */
  readonly hasCallerLeft: boolean;
}

/** A request on a connection. */
export interface ConnectionRequest extends Omit<QueuedRequest, 'handleEnd'> {
  /** Called once, when it is answered or can't be answered any more. */
  readonly handleEnd: (end: RequestEnd) => void;
}

/**
 * The connections of the callers and their requests in progress. A request is in
 * progress from its last header until its answer was passed to the kernel. Node
 * regards a connection as idle as soon as its answer was ended, even if the
 * caller reads slowly and part of the answer still waits to be sent.
 */
export class CallerConnections {
  private readonly connections = new Map<Socket, CallerConnection>();
  private isStopping = false;

  /** Whether there is a connection on which bytes have been received. */
  get areUsed(): boolean {
    for (const {bytesRead} of this.connections.keys()) {
      if (bytesRead > 0) return true;
    }
    return false;
  }

  /** Adds a connection until it is closed. */
  add(socket: Socket): void {
    const queue = new RequestQueue(socket);
    if (this.isStopping) queue.startStopping();
    const connection: CallerConnection = {
      queue,
      hasCallerLeft: false,
      answeredBytes: 0,
      wasIdle: false,
    };
    this.connections.set(socket, connection);
    socket.once('end', () => (connection.hasCallerLeft = true));
    socket.once('close', hadError => {
      if (hadError) connection.hasCallerLeft = true;
      this.connections.delete(socket);
      queue.close();
    });
  }

  /** Adds a request, which is begun when those before it are answered. */
  addRequest(connectionRequest: ConnectionRequest): void {
    const {begin, handleEnd, request, response} = connectionRequest;
    const {socket} = request;
    const connection = this.connections.get(socket);
    // Its connection has closed.
    if (connection === undefined) return;
    connection.queue.add({
      request,
      response,
      begin,
      handleEnd: outcome => {
        connection.answeredBytes = socket.bytesRead;
        connection.wasIdle = false;
        handleEnd({outcome, hasCallerLeft: connection.hasCallerLeft});
      },
    });
  }

  /** Returns the requests on a connection; undefined if it has closed. */
  getQueue(socket: Socket): RequestQueue | undefined {
    return this.connections.get(socket)?.queue;
  }

  /** Reads no more than what was sent ahead on each connection. */
  startStopping(): void {
    this.isStopping = true;
    for (const {queue} of this.connections.values()) queue.startStopping();
  }

  /** Ends the tracking of all requests, whose connections are about to close. */
  endRequests(): void {
    for (const {queue} of this.connections.values()) queue.close();
  }

  /**
   * Closes the used connections that were idle at the last call, too. Between the
   * calls, requests that had already arrived are read: if a connection is closed
   * with unread bytes, the caller's system may drop answers that the caller has
   * not read yet.
   */
  closeIdle(): void {
    for (const [socket, connection] of [...this.connections]) {
      const {answeredBytes, queue, wasIdle} = connection;
      connection.wasIdle =
        answeredBytes > 0 &&
        answeredBytes === socket.bytesRead &&
        queue.isEmpty;
      if (wasIdle && connection.wasIdle) socket.destroy();
    }
  }
}
