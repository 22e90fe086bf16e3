import {errorAnswers, ErrorKind} from '@ryeworks/types';
import {resetSocket} from '@ryeworks/utils';
import {IncomingMessage, ServerResponse} from 'node:http';
import {AnswerHead, RequestInfo} from '../deploymentInterfaces.js';
import {HeldBody} from '../memory/heldBody.js';
import {MemoryBudget, MemoryCharge} from '../memory/memoryBudget.js';
import {dropBody} from './readBody.js';

/** Status and headers of an answer that is forwarded to the caller. */
export interface ForwardedHead {
  readonly status: number;
  readonly headers: Record<string, string | string[]>;
}

/** Media type of a stream of events. */
export const eventStreamType = 'text/event-stream';

/** Returns the media type of an answer, without parameters. */
export function getMediaType(headers: {
  readonly 'content-type'?: string | string[];
}): string {
  const [mediaType] = `${headers['content-type'] ?? ''}`.split(';');
  return mediaType.trim().toLowerCase();
}

/** A complete answer, held in memory until it is forwarded. */
export interface HeldAnswer extends ForwardedHead {
  readonly body: Buffer;
}

/** Creates the answer that reports an error of the gateway. */
function createErrorAnswer(kind: ErrorKind, retryAfterMs: number): HeldAnswer {
  const {message, retryAfter, status} = errorAnswers[kind];
  const body = Buffer.from(JSON.stringify({error: {kind, message}}));
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    'content-length': `${body.length}`,
  };
  if (retryAfter && retryAfterMs > 0) {
    headers['retry-after'] = (retryAfterMs / 1000).toFixed(2);
  }
  return {status, headers, body};
}

/** How much of the rest of a refused body is read and discarded. */
export interface DiscardBounds {
  readonly maxMs: number;
  readonly maxBytes: number;
}

/** A caller's request that was read and is not completely answered yet. */
export class OpenRequest {
  /**
   * ID of the last complete event that was forwarded. Initially the ID of the
   * last event that the caller received from an earlier stream; empty if none.
   */
  lastEventId: string;
  /** Whether the answer was aborted. */
  isAborted = false;
  private isLast = () => false;
  private sentHead: ForwardedHead | undefined;
  private failure: HeldAnswer | undefined;
  /** The part of the answer that is held, or waits for the caller to read. */
  private readonly answerCharge: MemoryCharge;

  constructor(
    readonly requestId: string,
    readonly request: IncomingMessage,
    readonly requestInfo: RequestInfo,
    readonly body: HeldBody,
    readonly budget: MemoryBudget,
    private readonly response: ServerResponse,
  ) {
    this.lastEventId = requestInfo.lastEventId;
    this.answerCharge = new MemoryCharge(budget);
  }

  /** Failure answered by the last call; forwarded if no other call is made. */
  get heldFailure(): HeldAnswer | undefined {
    return this.failure;
  }

  /** Holds the failure that the last call has answered. */
  holdFailure(answer: HeldAnswer): void {
    this.failure = answer;
    this.answerCharge.set(answer.body.length);
  }

  /** Lets everything go that is held for this request. */
  release(): void {
    this.body.release();
    this.failure = undefined;
    this.answerCharge.set(0);
  }

  /** Whether part of an answer has been sent. */
  get hasStarted(): boolean {
    return this.response.headersSent;
  }

  /**
   * Closes the caller's connection after this answer, if `isLast` says so when
   * the headers of the answer are sent.
   */
  closeAfterAnswerIf(isLast: () => boolean): void {
    this.isLast = isLast;
  }

  /**
   * Sends the status and headers of an answer. One without a length is sent in
   * chunks, so that its caller notices an end that comes too early.
   */
  writeHead(head: ForwardedHead): void {
    const {headers, status} = head;
    this.sentHead = head;
    const sentHeaders = this.isLast()
      ? {...headers, connection: 'close'}
      : headers;
    this.response.writeHead(status, sentHeaders);
  }

  /**
   * Returns whether a stream that has begun can go on with the events of another
   * answer, which may be an error in spite of its status.
   */
  canContinueWith({headers, status}: AnswerHead): boolean {
    if (this.sentHead?.status !== status) return false;
    const mediaType = getMediaType(headers);
    return (
      mediaType === eventStreamType ||
      mediaType === getMediaType(this.sentHead.headers)
    );
  }

  /**
   * Sends part of an answer. Returns false if the send buffer is full because
   * the caller reads slowly.
   */
  write(chunk: Buffer): boolean {
    const hasRoom = this.response.write(chunk);
    if (!hasRoom) this.answerCharge.set(this.response.writableLength);
    return hasRoom;
  }

  /** Calls `callback` once the send buffer has drained. */
  waitForDrain(callback: () => void): void {
    this.response.once('drain', () => {
      this.answerCharge.set(0);
      callback();
    });
  }

  /** Completes the answer. */
  end(): void {
    this.response.end();
  }

  /** Sends a complete answer. */
  sendAnswer(answer: HeldAnswer): void {
    this.writeHead(answer);
    this.answerCharge.set(answer.body.length);
    this.response.end(answer.body);
  }

  /**
   * Answers with an error of the gateway. If an answer has already started, it
   * is aborted instead.
   */
  sendError(kind: ErrorKind, retryAfterMs: number): void {
    if (this.response.headersSent) {
      this.abort();
      return;
    }
    this.sendAnswer(createErrorAnswer(kind, retryAfterMs));
  }

  /**
   * Refuses a request whose body was not read to its end, and closes the
   * connection. Discards the rest of the body before that, within `bounds`: if a
   * connection is closed with unread bytes, the caller's system may drop the answer
   * before the caller has read it.
   */
  async refuseUnread(
    kind: ErrorKind,
    retryAfterMs: number,
    {maxBytes, maxMs}: DiscardBounds,
  ): Promise<void> {
    const answer = createErrorAnswer(kind, retryAfterMs);
    this.closeAfterAnswerIf(() => true);
    this.writeHead(answer);
    this.response.write(answer.body);
    await dropBody(this.request, maxMs, maxBytes);
    this.response.end();
  }

  /**
   * Closes the connection so that the answer is seen to be incomplete. Has no
   * effect on an answer that is complete.
   */
  abort(): void {
    if (this.response.writableEnded) return;
    this.isAborted = true;
    if (this.isUnframed()) resetSocket(this.request.socket);
    else this.response.destroy();
  }

  /**
   * Returns whether only the end of the connection marks the end of the answer, so
   * that only a reset shows an end that comes too early: a caller that speaks
   * HTTP/1.0 reads no chunks.
   */
  private isUnframed(): boolean {
    const length = this.sentHead?.headers['content-length'];
    return this.request.httpVersion === '1.0' && length === undefined;
  }
}

/** Open requests of this VM by request ID. */
export type OpenRequests = Map<string, OpenRequest>;
