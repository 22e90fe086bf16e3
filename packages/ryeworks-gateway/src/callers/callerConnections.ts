import {ServerResponse} from 'node:http';
import {Socket} from 'node:net';

/** A caller's connection. */
interface CallerConnection {
  /** One function for each request in progress, which ends its tracking. */
  readonly openAnswers: Set<() => void>;
  /** Bytes that had been read when the last answer was complete. */
  answeredBytes: number;
}

/**
 * The connections of the callers and their requests in progress. A request is in
 * progress from its last header until its answer was passed to the kernel. Node
 * regards a connection as idle as soon as its answer was ended, even if the
 * caller reads slowly and part of the answer still waits to be sent.
 */
export class CallerConnections {
  private readonly connections = new Map<Socket, CallerConnection>();

  /** Whether a request is in progress or has begun to arrive. */
  get areBusy(): boolean {
    for (const socket of this.connections.keys()) {
      if (this.isInProgress(socket) || this.isArriving(socket)) return true;
    }
    return false;
  }

  /** Adds a connection until it is closed. */
  add(socket: Socket): void {
    const openAnswers = new Set<() => void>();
    this.connections.set(socket, {openAnswers, answeredBytes: 0});
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
      if (connection !== undefined) connection.answeredBytes = socket.bytesRead;
      handleEnd();
    };
    connection?.openAnswers.add(end);
    response.once('close', end);
  }

  /** Closes used connections on which every request has been answered. */
  closeIdle(): void {
    for (const socket of [...this.connections.keys()]) {
      const isUsed = this.connections.get(socket)!.answeredBytes > 0;
      if (!isUsed || this.isInProgress(socket) || this.isArriving(socket))
        continue;
      socket.destroy();
    }
  }

  private isInProgress(socket: Socket): boolean {
    return (this.connections.get(socket)?.openAnswers.size ?? 0) > 0;
  }

  private isArriving(socket: Socket): boolean {
    const answeredBytes = this.connections.get(socket)?.answeredBytes ?? 0;
    return socket.bytesRead > answeredBytes;
  }
}
