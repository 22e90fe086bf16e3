import {CallerBounds} from '@ryeworks/dispatch';
import {ErrorKind} from '@ryeworks/types';
import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {Clock} from '@ryeworks/utils';
import {DispatchLoop} from '../core/dispatchLoop.js';
import {WireFormat} from '../deploymentInterfaces.js';
import {HostPort} from '@ryeworks/utils';
import {OpenRequest, OpenRequests} from './openRequest.js';
import {readBody} from './readBody.js';

/** Largest headers that the parser takes, in bytes; checked again below. */
const maxParserHeaderBytes = 65_536;
/** Time between two looks for callers that send too slowly, in ms. */
const slowCallerCheckMs = 500;
/** Bounds that hold before the desired state is known. */
const defaultBounds: CallerBounds = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 5000,
  idleTimeoutMs: 15_000,
};
/** Time beyond a caller's own limit that an idle connection is kept, in ms. */
const keepAliveMarginMs = 1000;

/** What the server for callers needs. */
export interface CallerServerOptions {
  readonly clock: Clock;
  readonly loop: DispatchLoop;
  readonly wire: WireFormat;
  readonly openRequests: OpenRequests;
}

/** Counts the bytes of a request's headers. */
function countHeaderBytes(request: IncomingMessage): number {
  let size = 0;
  for (const part of request.rawHeaders) size += part.length + 2;
  return size;
}

/**
 * Serves callers. Built on `node:http` rather than fastify: bodies and answers
 * pass through unchanged, so a framework's parsing and replies are not used.
 */
export class CallerServer {
  private readonly server: Server;
  private nextRequestNumber = 1;
  private isStopping = false;

  constructor(private readonly options: CallerServerOptions) {
    this.server = createServer(
      {
        maxHeaderSize: maxParserHeaderBytes,
        connectionsCheckingInterval: slowCallerCheckMs,
        noDelay: true,
        requestTimeout: 0,
      },
      (request, response) => void this.handleRequest(request, response),
    );
    this.applyBounds(defaultBounds);
  }

  /** Starts listening. */
  listen({host, port}: HostPort): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => resolve());
    });
  }

  /** Brings the bounds of the desired state into force. */
  applyBounds({headerTimeoutMs, idleTimeoutMs}: CallerBounds): void {
    this.server.headersTimeout = headerTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs + keepAliveMarginMs;
  }

  /** Ends each connection with its next answer. */
  startStopping(): void {
    this.isStopping = true;
    for (const open of this.options.openRequests.values())
      open.closeAfterAnswer();
  }

  /** Closes connections on which no request is under way. */
  closeIdle(): void {
    this.server.closeIdleConnections();
  }

  /** Closes the listener and every connection. */
  close(): Promise<void> {
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
    if (countHeaderBytes(request) > maxHeaderBytes) {
      this.refuse(request, response, 'headersTooLarge');
      return;
    }
    let body: Buffer | undefined;
    try {
      body = await readBody(request, maxBodyBytes);
    } catch {
      // The caller left before its request was whole: nobody waits.
      return;
    }
    if (body === undefined) {
      this.refuse(request, response, 'bodyTooLarge');
      return;
    }
    this.submitRequest(request, response, body, receivedAtMs);
  }

  private submitRequest(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
    receivedAtMs: number,
  ): void {
    const {loop, openRequests, wire} = this.options;
    const facts = wire.readRequestInfo(request.url ?? '/', request.headers);
    const requestId = `${this.nextRequestNumber++}`;
    const open = new OpenRequest(requestId, request, facts, body, response);
    if (this.isStopping) open.closeAfterAnswer();
    openRequests.set(requestId, open);
    response.once('close', () => {
      openRequests.delete(requestId);
      if (response.writableFinished) return;
      loop.submit({kind: 'callerGone', requestId});
    });
    loop.submit({kind: 'requestReceived', requestId, receivedAtMs, ...facts});
  }

  /** Answers a request that is not taken in and closes its connection. */
  private refuse(
    request: IncomingMessage,
    response: ServerResponse,
    error: ErrorKind,
  ): void {
    const {wire} = this.options;
    const facts = wire.readRequestInfo(request.url ?? '/', request.headers);
    const nothing = Buffer.alloc(0);
    const open = new OpenRequest('', request, facts, nothing, response);
    open.closeAfterAnswer();
    open.sendError(error, 0);
  }
}
