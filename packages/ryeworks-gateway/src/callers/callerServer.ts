import {CallerBounds} from '@ryeworks/dispatch';
import {ErrorKind} from '@ryeworks/types';
import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer, Socket} from 'node:net';
import {DispatchLoop} from '../core/dispatchLoop.js';
import {RequestInfo, WireFormat} from '../deploymentInterfaces.js';
import {HeldBody} from '../memory/heldBody.js';
import {MemoryBudget, MemoryCharge} from '../memory/memoryBudget.js';
import {Clock, HostPort, queuedOutcome} from '@ryeworks/utils';
import {CallerConnections, RequestEnd} from './callerConnections.js';
import {deriveCallerMaximums} from './connectionLimits.js';
import {findHeadFault, hasUnknownExpectation} from './headFault.js';
import {LimitReason, ListenerGuard} from './listenerGuard.js';
import {OpenRequest, OpenRequests} from './openRequest.js';
import {BodyReader} from './readBody.js';
import {findInlet} from './socketInlet.js';
import {
  excessRefusal,
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
/** Code of the error for headers that are not complete in time. */
const headersTimeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT';
/** HTTP status of a request whose `Expect` header names something unknown. */
const expectationFailedStatus = 417;
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
/** The same in bytes: four times the largest body that is usually allowed. */
const maxDiscardBytes = 16_777_216;
/** Interval at which the progress of the connections is measured, in ms. */
const progressCheckMs = 500;
/** Fewest bytes of a header field: its name, and two for each of its ends. */
const minFieldBytes = 5;
/**
 * Memory for a request and its answer, and for one of its header fields, in bytes:
 * Node's objects, and two strings with their entries in its lists, which are copied
 * for the call of the endpoint.
 */
const requestMemoryBytes = 4096;
const fieldMemoryBytes = 400;
/** Retry-after time of a request for whose body there is no memory, in ms. */
const unreadRetryAfterMs = 1000;

/**
 * Why a request has ended without a complete answer, in addition to the causes
 * that the core reports.
 */
const unansweredCause = {
  /** The caller left before its request was complete. */
  requestUnfinished: 'request_unfinished',
  /** Its connection ended while it waited behind another; it has not run. */
  notBegun: 'not_begun',
  /** The caller left before it had read an answer that was ended. */
  answerUnread: 'answer_unread',
  /** The process has ended. */
  stopped: 'process_ended',
} as const;

/** Dependencies of a caller server. */
export interface CallerServerOptions {
  /** Open files that the process may have; undefined if not limited. */
  readonly maxDescriptors: number | undefined;
  /** Called when a connection is refused or closed because of a limit. */
  readonly reportLimit: (reason: LimitReason, listener: string) => void;
  readonly clock: Clock;
  readonly loop: DispatchLoop;
  readonly wire: WireFormat;
  readonly openRequests: OpenRequests;
  readonly budget: MemoryBudget;
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

/**
 * HTTP server for callers. Uses `node:http` rather than fastify: bodies and
 * answers are forwarded unchanged, so the parsing and replies of a framework
 * would not be used.
 */
export class CallerServer {
  private readonly server: Server;
  private readonly connections: CallerConnections;
  private readonly guard: ListenerGuard;
  /** What the headers of the open requests take. */
  private readonly headCharges = new Map<string, MemoryCharge>();
  private readonly bodyReader: BodyReader;
  private nextRequestNumber = 1;
  /** Connections on which nothing can be read any more. */
  private readonly unreadable = new WeakSet<Socket>();
  private progressTimer: NodeJS.Timeout | undefined;
  private isStopping = false;
  private isClosed = false;

  constructor(private readonly options: CallerServerOptions) {
    const {budget, clock} = options;
    this.bodyReader = new BodyReader(budget, clock.readNowMs);
    this.connections = new CallerConnections({
      budget,
      handleExcess: socket => this.refuseExcess(socket),
    });
    this.guard = new ListenerGuard({
      ...deriveCallerMaximums(options.maxDescriptors),
      listener: 'callers',
      readNowMs: clock.readNowMs,
      report: options.reportLimit,
      isAnswering: socket => this.connections.isAnswering(socket),
    });
    this.server = createServer(
      {
        maxHeaderSize: maxParserHeaderBytes,
        connectionsCheckingInterval: slowCallerCheckMs,
        noDelay: true,
        requestTimeout: 0,
        // Node would refuse such a request before its turn.
        requireHostHeader: false,
      },
      (request, response) => this.addRequest(request, response),
    );
    this.server.on('checkExpectation', (request, response) =>
      this.addRequest(request, response),
    );
    this.server.on('connect', (_request, socket) =>
      this.handleConnect(socket as Socket),
    );
    this.server.on('connection', socket => {
      if (this.guard.admit(socket)) this.connections.add(socket);
    });
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
    this.progressTimer = setInterval(() => {
      this.guard.sweep();
      this.connections.resumeAll();
    }, progressCheckMs);
    this.progressTimer.unref();
    return new Promise((resolve, reject) => {
      // Later errors, of connections that cannot be accepted, must not be thrown.
      this.server.on('error', reject);
      this.server.listen(port, host, () => resolve());
    });
  }

  /** Applies the bounds of the desired state. */
  applyBounds(bounds: CallerBounds): void {
    const {headerTimeoutMs, idleTimeoutMs, maxHeaderBytes} = bounds;
    // Node leaves out the fields beyond it; one more is refused for its size.
    this.server.maxHeadersCount =
      Math.floor(maxHeaderBytes / minFieldBytes) + 1;
    this.server.headersTimeout = headerTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs + keepAliveMarginMs;
  }

  /**
   * From now on, closes each connection after the answer to the last request that
   * was read on it, if the headers of that answer are not sent yet.
   */
  startStopping(): void {
    this.isStopping = true;
    this.connections.startStopping();
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
    clearInterval(this.progressTimer);
    // The process may exit before the connections emit their ends.
    this.connections.endRequests();
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

  /** Handles a request once those before it on its connection are answered. */
  private addRequest(request: IncomingMessage, response: ServerResponse): void {
    const {clock, reportFault} = this.options;
    const receivedAtMs = clock.readNowMs();
    const requestId = `${this.nextRequestNumber++}`;
    response.sendDate = false;
    const headCharge = new MemoryCharge(this.options.budget);
    this.headCharges.set(requestId, headCharge);
    const fields = request.rawHeaders.length / 2;
    headCharge.set(requestMemoryBytes + fields * fieldMemoryBytes);
    const isAdded = this.connections.addRequest({
      request,
      response,
      begin: () => {
        this.handleRequest(requestId, request, response, receivedAtMs).catch(
          error => {
            reportFault(error);
            response.destroy();
          },
        );
      },
      handleEnd: end => {
        this.releaseHead(requestId);
        this.handleEnd(requestId, request, response, end);
      },
    });
    if (!isAdded) this.releaseHead(requestId);
  }

  private releaseHead(requestId: string): void {
    this.headCharges.get(requestId)?.set(0);
    this.headCharges.delete(requestId);
  }

  /** Ends a connection whose unread bytes there is no memory for. */
  private refuseExcess(socket: Socket): void {
    if (this.unreadable.has(socket)) return;
    this.unreadable.add(socket);
    this.options.reportLimit('memoryShort', 'callers');
    findInlet(socket)?.startDiscarding();
    this.connections.getQueue(socket)?.endReading(() => {
      socket.write(formatUnreadableAnswer(excessRefusal));
      socket.destroySoon();
    });
  }

  private async handleRequest(
    requestId: string,
    request: IncomingMessage,
    response: ServerResponse,
    receivedAtMs: number,
  ): Promise<void> {
    const {headerTimeoutMs, maxBodyBytes, maxHeaderBytes} = this.getBounds();
    if (hasUnknownExpectation(request)) {
      this.refuseExpectation(request, response);
      return;
    }
    const headFault = findHeadFault(request, maxHeaderBytes);
    if (headFault === undefined && !this.options.budget.canHoldSmall(0)) {
      this.refuse(request, response, 'memoryShort');
      return;
    }
    if (headFault !== undefined) {
      this.refuse(request, response, headFault);
      return;
    }
    const requestInfo = this.options.wire.readRequestInfo(
      request.url ?? '/',
      request.headers,
    );
    const {deadlineInMs = Number.POSITIVE_INFINITY} = requestInfo;
    const deadlineAtMs = receivedAtMs + deadlineInMs;
    const bounds = {deadlineAtMs, headerTimeoutMs, maxBodyBytes};
    const outcome = await this.bodyReader.read(request, bounds);
    // If it was cut, no answer can be sent; `handleEnd` reports it.
    if ('isCut' in outcome) return;
    if ('refusal' in outcome) {
      this.refuse(request, response, outcome.refusal);
      return;
    }
    const openRequest = this.createOpenRequest(
      requestId,
      request,
      response,
      requestInfo,
      outcome.body,
    );
    this.submitRequest(openRequest, response, receivedAtMs);
  }

  private createOpenRequest(
    requestId: string,
    request: IncomingMessage,
    response: ServerResponse,
    requestInfo: RequestInfo,
    body: HeldBody,
  ): OpenRequest {
    return new OpenRequest(
      requestId,
      request,
      requestInfo,
      body,
      this.options.budget,
      response,
    );
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
    const queue = this.connections.getQueue(socket);
    const refusal = getUnreadableRefusal(error);
    const {code, message} = error;
    // The rest of the headers was sent, but is not read.
    if (code === headersTimeoutCode && queue?.isHeldBack) return;
    if (this.unreadable.has(socket)) return;
    this.unreadable.add(socket);
    this.options.reportUnreadable(refusal.reason, code ?? message);
    queue?.endReading(() => {
      socket.write(formatUnreadableAnswer(refusal));
      socket.destroySoon();
    });
  }

  /**
   * Closes a connection that a caller wants to use as a tunnel, when the requests
   * before are answered.
   */
  private handleConnect(socket: Socket): void {
    this.unreadable.add(socket);
    const queue = this.connections.getQueue(socket);
    queue?.handleDetached();
    queue?.endReading(() => void socket.destroySoon());
  }

  /** Returns whether a stopping VM closes a connection after its next answer. */
  private isLastAnswer(socket: Socket): boolean {
    return this.isStopping && !this.connections.getQueue(socket)?.hasNext;
  }

  private handleEnd(
    requestId: string,
    request: IncomingMessage,
    response: ServerResponse,
    {hasCallerLeft, outcome}: RequestEnd,
  ): void {
    const {loop, openRequests, reportUnanswered, wire} = this.options;
    const openRequest = openRequests.get(requestId);
    openRequests.delete(requestId);
    openRequest?.release();
    if (outcome === queuedOutcome.sent || openRequest?.isAborted) return;
    const isRefused = openRequest === undefined && response.headersSent;
    if (isRefused) return;
    const {attemptId} = wire.readRequestInfo(
      request.url ?? '/',
      request.headers,
    );
    if (outcome === queuedOutcome.notBegun) {
      reportUnanswered(unansweredCause.notBegun, attemptId);
    } else if (this.isClosed) {
      reportUnanswered(unansweredCause.stopped, attemptId);
    } else if (response.writableEnded) {
      reportUnanswered(unansweredCause.answerUnread, attemptId);
    } else if (openRequest === undefined) {
      reportUnanswered(unansweredCause.requestUnfinished, attemptId);
    } else {
      const isClosedHere = !hasCallerLeft;
      loop.submit({kind: 'callerGone', requestId, isClosedHere});
    }
  }

  private submitRequest(
    openRequest: OpenRequest,
    response: ServerResponse,
    receivedAtMs: number,
  ): void {
    const {loop, openRequests} = this.options;
    const {request, requestId, requestInfo} = openRequest;
    // The caller has left after the last byte of its request was read.
    if (response.closed || request.socket.destroyed) {
      openRequest.release();
      return;
    }
    openRequest.closeAfterAnswerIf(() => this.isLastAnswer(request.socket));
    openRequests.set(requestId, openRequest);
    loop.submit({
      kind: 'requestReceived',
      requestId,
      receivedAtMs,
      ...requestInfo,
    });
  }

  /** Refuses a request whose `Expect` header names something unknown. */
  private refuseExpectation(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const reason = 'unknownExpectation';
    this.options.reportUnreadable(reason, `${request.headers.expect}`);
    const headers = {connection: 'close', 'content-length': '0'};
    response.writeHead(expectationFailedStatus, headers).end();
  }

  /** Refuses a request that cannot be accepted as it is, and closes its connection. */
  private refuse(
    request: IncomingMessage,
    response: ServerResponse,
    error: ErrorKind,
  ): void {
    const {budget, reportUnreadable, wire} = this.options;
    const requestInfo = wire.readRequestInfo(
      request.url ?? '/',
      request.headers,
    );
    const openRequest = this.createOpenRequest(
      '',
      request,
      response,
      requestInfo,
      new HeldBody(budget),
    );
    reportUnreadable(error, requestInfo.attemptId);
    // An error in the rest of its body is no other request.
    this.unreadable.add(request.socket);
    void openRequest.refuseUnread(error, unreadRetryAfterMs, {
      maxMs: maxDiscardMs,
      maxBytes: maxDiscardBytes,
    });
    response.once('close', () => openRequest.release());
  }
}
