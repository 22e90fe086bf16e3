import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {QueuedOutcome, QueuedRequest, RequestQueue} from '@ryeworks/utils';
import {MemoryBudget, MemoryCharge} from '../memory/memoryBudget.js';
import {SocketInlet} from './socketInlet.js';

/**
 * Memory that the fields of an unfinished head take for each of its bytes: the
 * shortest field has five bytes, and its two strings take about 80.
 */
const memoryPerHeadByte = 16;

/** A caller's connection. */
interface CallerConnection {
  readonly queue: RequestQueue;
  /** Whether the caller has closed it. */
  hasCallerLeft: boolean;
  /** Bytes that had been read when the last answer was complete. */
  answeredBytes: number;
  /** Whether it was idle when the connections were last checked. */
  wasIdle: boolean;
  readonly inlet: SocketInlet;
  /** Bytes of a head that has begun and is not complete. */
  headBytes: number;
  readonly headCharge: MemoryCharge;
  /** The request whose headers were read last, while any is in progress. */
  lastRequest: IncomingMessage | undefined;
  /** The answer to the request in progress. */
  currentResponse: ServerResponse | undefined;
  /** Number of requests whose headers were read. */
  requests: number;
  /** Value of `requests` after the last piece. */
  passedRequests: number;
  /** Whether the body of `lastRequest` was complete after the last piece. */
  wasBodyRead: boolean;
}

/** Number of fields from which a head is large; ordinary heads have about 20. */
const largeHeadFields = 100;

/** Returns whether the head of a request that waits takes much memory. */
function hasLargeHead(request: IncomingMessage | undefined): boolean {
  return (request?.rawHeaders.length ?? 0) > 2 * largeHeadFields;
}

/** Dependencies of the connections. */
export interface CallerConnectionsOptions {
  readonly budget: MemoryBudget;
  /** Called when what a connection holds must not be held any longer. */
  readonly handleExcess: (socket: Socket) => void;
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

  constructor(private readonly options: CallerConnectionsOptions) {}

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
    const {budget} = this.options;
    const inlet: SocketInlet = new SocketInlet(socket, {
      budget,
      canPass: () => this.canPass(connection),
      // A stop drops what is not parsed when it closes the connection.
      mustPass: () => this.isStopping && budget.canHoldSmall(0),
      handlePassed: bytes => this.handlePassed(connection, bytes),
    });
    const connection: CallerConnection = {
      queue,
      hasCallerLeft: false,
      answeredBytes: 0,
      wasIdle: false,
      inlet,
      headBytes: 0,
      headCharge: new MemoryCharge(budget),
      lastRequest: undefined,
      currentResponse: undefined,
      requests: 0,
      passedRequests: 0,
      wasBodyRead: true,
    };
    this.connections.set(socket, connection);
    socket.once('end', () => (connection.hasCallerLeft = true));
    socket.once('close', hadError => {
      if (hadError) connection.hasCallerLeft = true;
      this.connections.delete(socket);
      connection.headCharge.set(0);
      queue.close();
    });
  }

  /**
   * Adds a request, which is begun when those before it are answered. Returns false
   * if its connection has closed.
   */
  addRequest(connectionRequest: ConnectionRequest): boolean {
    const {begin, handleEnd, request, response} = connectionRequest;
    const {socket} = request;
    const connection = this.connections.get(socket);
    if (connection === undefined) return false;
    connection.lastRequest = request;
    connection.requests += 1;
    connection.headBytes = 0;
    connection.headCharge.set(0);
    connection.queue.add({
      request,
      response,
      begin: () => {
        connection.currentResponse = response;
        begin();
      },
      handleEnd: outcome => {
        connection.answeredBytes = socket.bytesRead;
        connection.wasIdle = false;
        if (connection.lastRequest === request) {
          connection.lastRequest = undefined;
        }
        if (connection.currentResponse === response) {
          connection.currentResponse = undefined;
        }
        handleEnd({outcome, hasCallerLeft: connection.hasCallerLeft});
        // The next request is begun before more is passed to the parser.
        setImmediate(() => connection.inlet.flush());
      },
    });
    return true;
  }

  /** Returns whether a request of a connection is being answered. */
  isAnswering(socket: Socket): boolean {
    const connection = this.connections.get(socket);
    if (connection === undefined || connection.queue.isEmpty) return false;
    const {currentResponse} = connection;
    if (currentResponse === undefined || currentResponse.writableEnded) {
      return false;
    }
    return currentResponse.req.complete;
  }

  /**
   * Lets all connections go on that may, and refuses what they hold if there is no
   * memory for it.
   */
  resumeAll(): void {
    for (const [socket, {inlet}] of [...this.connections]) {
      inlet.flush();
      const isShort = !this.options.budget.canHoldSmall(0);
      if (isShort && inlet.heldBytes > 0) this.options.handleExcess(socket);
    }
  }

  /** Returns whether more of what a caller has sent may be passed to the parser. */
  private canPass({headBytes, lastRequest, queue}: CallerConnection): boolean {
    if (queue.isHeldBack) return false;
    const {budget} = this.options;
    // Requests that wait are kept as bytes while there is no memory for more.
    if (queue.hasNext && (budget.isShort || hasLargeHead(lastRequest)))
      return false;
    return headBytes === 0 || budget.canHoldSmall(0);
  }

  /** Counts the bytes of a head that has begun: those that belong to no request. */
  private handlePassed(connection: CallerConnection, bytes: number): void {
    const {lastRequest, passedRequests, requests, wasBodyRead} = connection;
    connection.passedRequests = requests;
    connection.wasBodyRead = lastRequest?.complete ?? true;
    if (requests !== passedRequests || !wasBodyRead) return;
    connection.headBytes += bytes;
    connection.headCharge.set(connection.headBytes * memoryPerHeadByte);
  }

  /** Returns the requests on a connection; undefined if it has closed. */
  getQueue(socket: Socket): RequestQueue | undefined {
    return this.connections.get(socket)?.queue;
  }

  /** Reads no more than what was sent ahead on each connection. */
  startStopping(): void {
    this.isStopping = true;
    for (const {inlet, queue} of this.connections.values()) {
      queue.startStopping();
      inlet.flush();
    }
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
