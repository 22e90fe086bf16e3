import {errorAnswers, ErrorKind} from '@ryeworks/types';
import {IncomingMessage, ServerResponse} from 'node:http';
import {RequestInfo} from '../deploymentInterfaces.js';

/** The head of an answer that is passed on. */
export interface ForwardedHead {
  readonly status: number;
  readonly headers: Record<string, string | string[]>;
  /**
   * Whether only the end of its connection shows where it ends. It is passed on
   * in the same way, so that it does not look more certain than it was.
   */
  readonly isUnframed: boolean;
}

/** A whole answer that is passed on. */
export interface HeldAnswer extends ForwardedHead {
  readonly body: Buffer;
}

/** A caller's request that was read and is not answered yet. */
export class OpenRequest {
  /** Failure of the last call, in case no other is made. */
  heldFailure: HeldAnswer | undefined;
  /** Last whole event that was passed on; empty: none. */
  lastEventId: string;
  private isClosing = false;
  private isUnframed = false;

  constructor(
    readonly requestId: string,
    readonly request: IncomingMessage,
    readonly requestInfo: RequestInfo,
    readonly body: Buffer,
    private readonly response: ServerResponse,
  ) {
    this.lastEventId = requestInfo.lastEventId;
  }

  /** Whether part of an answer has been sent. */
  get hasStarted(): boolean {
    return this.response.headersSent;
  }

  /** Makes this answer the last one of its connection. */
  closeAfterAnswer(): void {
    this.isClosing = true;
  }

  /** Sends the head of an answer. */
  writeHead({headers, isUnframed, status}: ForwardedHead): void {
    this.isUnframed = isUnframed;
    if (isUnframed) this.response.removeHeader('transfer-encoding');
    const isLast = this.isClosing || isUnframed;
    const passed = isLast ? {...headers, connection: 'close'} : headers;
    this.response.writeHead(status, passed);
  }

  /** Sends part of an answer; returns false when the caller reads slowly. */
  write(chunk: Buffer): boolean {
    return this.response.write(chunk);
  }

  /** Calls back once the caller has read what was written. */
  waitForDrain(callback: () => void): void {
    this.response.once('drain', callback);
  }

  /** Ends the answer as complete. */
  end(): void {
    this.response.end();
  }

  /** Sends a whole answer. */
  sendAnswer(answer: HeldAnswer): void {
    this.writeHead(answer);
    this.response.end(answer.body);
  }

  /** Sends an answer of the product's own. */
  sendError(kind: ErrorKind, retryAfterMs: number): void {
    if (this.response.headersSent) {
      this.abort();
      return;
    }
    const {message, retryAfter, status} = errorAnswers[kind];
    const body = Buffer.from(JSON.stringify({error: {kind, message}}));
    const headers: Record<string, string> = {
      'content-type': 'application/json',
      'content-length': `${body.length}`,
    };
    if (retryAfter && retryAfterMs > 0) {
      headers['retry-after'] = (retryAfterMs / 1000).toFixed(2);
    }
    this.sendAnswer({status, headers, body, isUnframed: false});
  }

  /** Closes the connection so that the answer does not look complete. */
  abort(): void {
    // Where the end of the connection is the end of the answer, only a reset
    // shows that it broke off.
    if (this.isUnframed) this.request.socket.resetAndDestroy();
    else this.response.destroy();
  }
}

/** Requests by their id on this VM. */
export type OpenRequests = Map<string, OpenRequest>;
