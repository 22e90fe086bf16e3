import {CallerBounds} from '@ryeworks/dispatch';
import {ErrorKind} from '@ryeworks/types';
import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer, Socket} from 'node:net';
import {Clock} from '@ryeworks/utils';
import {DispatchLoop} from '../core/dispatchLoop.js';
import {WireFormat} from '../deploymentInterfaces.js';
import {HostPort} from '@ryeworks/utils';
import {CallerConnections} from './callerConnections.js';
import {OpenRequest, OpenRequests} from './openRequest.js';
import {readBody} from './readBody.js';
import {
  formatUnreadableAnswer,
  getUnreadableRefusal,
  isDisconnect,
  ReadError,
} from './unreadableRequest.js';

/**
 * Maximum header size that the HTTP parser accepts, in bytes. The limit of the
 * desired state is checked separately for each request.
 */
const maxParserHeaderBytes = 65_536;
/** Interval between checks for callers that send too slowly, in ms. */
const slowCallerCheckMs = 500;
/** Bounds that apply until the desired state is known. */
const defaultBounds: CallerBounds = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 5000,
  idleTimeoutMs: 15_000,
};
/** Time for which idle connections are kept beyond `idleTimeoutMs`, in ms. */
const keepAliveMarginMs = 1000;
/**
 * Maximum time for which the rest of a refused body is read, in ms. A caller that
 * sends for longer may not get the refusal.
 */
const maxDiscardMs = 5000;

/**
 * Why a request has ended without a complete answer, in addition to the causes
 * that the core reports.
 */
const unansweredCause = {
  /** The caller left before its request was complete. */
  requestUnfinished: 'request_unfinished',
  /** The caller left before it had read an answer that was ended. */
  answerUnread: 'answer_unread',
  /** The process has ended. */
  stopped: 'process_ended',
} as const;

/** Dependencies of a caller server. */
export interface CallerServerOptions {
  readonly clock: Clock;
  readonly loop: DispatchLoop;
  readonly wire: WireFormat;
  readonly openRequests: OpenRequests;
  /**
   * Called with the cause and the ID of the caller's attempt when a request has
   * ended without a complete answer, for a reason that the core does not know.
   */
  readonly reportUnanswered: (cause: string, attemptId: string) => void;
  /**
   * Called when a request is refused before it was read to its end: the reason,
   * and the ID of the caller's attempt or the error.
   */
  readonly reportUnreadable: (reason: string, detail: string) => void;
  /** Called with an error of the gateway itself. */
  readonly reportFault: (error: unknown) => void;
}

/** Returns the size of a request's headers, in bytes. */
function countHeaderBytes(request: IncomingMessage): number {
  let size = 0;
  for (const part of request.rawHeaders) size += part.length + 2;
  return size;
}

/**
 * HTTP server for callers. Uses `node:http` rather than fastify: bodies and
 * answers are forwarded unchanged, so the parsing and replies of a framework
 * would not be used.
 */
export class CallerServer {
  private readonly server: Server;
  private readonly connections = new CallerConnections();
  private nextRequestNumber = 1;
  /** Connections on which nothing can be read any more. */
  private readonly unreadable = new WeakSet<Socket>();
  private isStopping = false;
  private isClosed = false;

  constructor(private readonly options: CallerServerOptions) {
    this.server = createServer(
      {
        maxHeaderSize: maxParserHeaderBytes,
        connectionsCheckingInterval: slowCallerCheckMs,
        noDelay: true,
        requestTimeout: 0,
      },
      (request, response) => {
        this.handleRequest(request, response).catch(error => {
          options.reportFault(error);
          response.destroy();
        });
      },
    );
    this.server.on('connection', socket => this.connections.add(socket));
    this.server.on('clientError', (error: ReadError, socket) =>
      this.handleReadError(error, socket as Socket),
    );
    this.applyBounds(defaultBounds);
  }

  /** Whether callers have connections on which they have sent anything. */
  get isUsed(): boolean {
    return this.connections.areUsed;
  }

  /** Starts to accept connections. */
  listen({host, port}: HostPort): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => resolve());
    });
  }

  /** Applies the bounds of the desired state. */
  applyBounds({headerTimeoutMs, idleTimeoutMs}: CallerBounds): void {
    this.server.headersTimeout = headerTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs + keepAliveMarginMs;
  }

  /**
   * From now on, closes each connection after the next answer whose headers are
   * sent on it.
   */
  startStopping(): void {
    this.isStopping = true;
    for (const openRequest of this.options.openRequests.values())
      openRequest.closeAfterAnswer();
  }

  /** Accepts no further connections; those that are open go on. */
  stopListening(): void {
    // That of the HTTP server would also close idle connections.
    NetServer.prototype.close.call(this.server);
  }

  /** Closes connections that have no request in progress. */
  closeIdle(): void {
    this.connections.closeIdle();
  }

  /** Stops listening and closes every connection. */
  close(): Promise<void> {
    this.isClosed = true;
    return new Promise(resolve => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private getBounds(): CallerBounds {
    return (
      this.options.loop.state.desiredState.current?.bounds ?? defaultBounds
    );
  }

  private async handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const receivedAtMs = this.options.clock.readNowMs();
    const {maxBodyBytes, maxHeaderBytes} = this.getBounds();
    response.sendDate = false;
    const requestId = `${this.nextRequestNumber++}`;
    this.connections.addRequest(request.socket, response, () =>
      this.handleAnswerEnd(requestId, request, response),
    );
    if (countHeaderBytes(request) > maxHeaderBytes) {
      this.refuse(request, response, 'headersTooLarge');
      return;
    }
    let body: Buffer | undefined;
    try {
      body = await readBody(request, maxBodyBytes);
    } catch {
      // No answer can be sent; `handleAnswerEnd` reports it.
      return;
    }
    if (body === undefined) {
      this.refuse(request, response, 'bodyTooLarge');
      return;
    }
    this.submitRequest(requestId, request, response, body, receivedAtMs);
  }

  /**
   * Refuses a request that cannot be read and closes its connection. Requests
   * that were read before it on the same connection are completed first.
   */
  private handleReadError(error: ReadError, socket: Socket): void {
    if (!socket.writable || isDisconnect(error)) {
      socket.destroy();
      return;
    }
    if (this.unreadable.has(socket)) return;
    this.unreadable.add(socket);
    const refusal = getUnreadableRefusal(error);
    const {code, message} = error;
    this.options.reportUnreadable(refusal.reason, code ?? message);
    if (this.hasOpenRequest(socket)) return;
    socket.write(formatUnreadableAnswer(refusal));
    socket.destroySoon();
  }

  private hasOpenRequest(socket: Socket): boolean {
    for (const {request} of this.options.openRequests.values()) {
      if (request.socket === socket) return true;
    }
    return false;
  }

  private handleAnswerEnd(
    requestId: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const {loop, openRequests, reportUnanswered, wire} = this.options;
    const openRequest = openRequests.get(requestId);
    openRequests.delete(requestId);
    const {socket} = request;
    if (this.unreadable.has(socket) && !this.hasOpenRequest(socket)) {
      socket.destroySoon();
    }
    if (response.writableFinished || openRequest?.isAborted) return;
    const isRefused = openRequest === undefined && response.headersSent;
    if (isRefused) return;
    const {attemptId} = wire.readRequestInfo(
      request.url ?? '/',
      request.headers,
    );
    if (this.isClosed) {
      reportUnanswered(unansweredCause.stopped, attemptId);
    } else if (response.writableEnded) {
      reportUnanswered(unansweredCause.answerUnread, attemptId);
    } else if (openRequest === undefined) {
      reportUnanswered(unansweredCause.requestUnfinished, attemptId);
    } else {
      loop.submit({kind: 'callerGone', requestId});
    }
  }

  private submitRequest(
    requestId: string,
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
    receivedAtMs: number,
  ): void {
    const {loop, openRequests, wire} = this.options;
    // The caller has left after the last byte of its request was read.
    if (response.closed || request.socket.destroyed) return;
    const requestInfo = wire.readRequestInfo(
      request.url ?? '/',
      request.headers,
    );
    const openRequest = new OpenRequest(
      requestId,
      request,
      requestInfo,
      body,
      response,
    );
    if (this.isStopping) openRequest.closeAfterAnswer();
    openRequests.set(requestId, openRequest);
    loop.submit({
      kind: 'requestReceived',
      requestId,
      receivedAtMs,
      ...requestInfo,
    });
  }

  /** Refuses a request that exceeds the bounds and closes its connection. */
  private refuse(
    request: IncomingMessage,
    response: ServerResponse,
    error: ErrorKind,
  ): void {
    const {wire} = this.options;
    const requestInfo = wire.readRequestInfo(
      request.url ?? '/',
      request.headers,
    );
    const emptyBody = Buffer.alloc(0);
    const openRequest = new OpenRequest(
      '',
      request,
      requestInfo,
      emptyBody,
      response,
    );
    this.options.reportUnreadable(error, requestInfo.attemptId);
    // An error in the rest of its body is no other request.
    this.unreadable.add(request.socket);
    void openRequest.refuseUnread(error, maxDiscardMs);
  }
}
