import {CallAnswered, CallFailure, Input, StartCall} from '@ryeworks/dispatch';
import {
  checkConnectionEnd,
  ConnectionEnd,
  isAnswerStatus,
  parseHostPort,
} from '@ryeworks/utils';
import {ClientRequest, IncomingMessage, request} from 'node:http';
import {
  eventStreamType,
  ForwardedHead,
  getMediaType,
  HeldAnswer,
  OpenRequest,
} from '../callers/openRequest.js';
import {AnswerHead, WireFormat} from '../deploymentInterfaces.js';
import {connectEndpoint} from './connectEndpoint.js';
import {EventBoundary} from './eventBoundary.js';
import {EventSplitter} from './eventSplitter.js';
import {HeldChunks} from './heldChunks.js';
import {sendBody} from './sendBody.js';

/**
 * Maximum size of an answer that is held in memory until it is complete, in
 * bytes. Applies to answers that are not streams and report no failure.
 */
const maxHeldAnswerBytes = 262_144;
/**
 * Maximum size of an answer that reports a failure, in bytes. Such an answer is
 * held until its call is not repeated, so that a larger one cannot be passed on.
 */
const maxFailureBytes = 1_048_576;
/** Maximum size of an incomplete event of a stream, in bytes. */
const maxPartialEventBytes = 262_144;
/** Minimum time between two progress reports of a call, in ms. */
const minProgressIntervalMs = 30;
/**
 * Maximum number of interim responses (status 1xx) to a call; an endpoint that
 * sends more is not going to answer.
 */
const maxInterimResponses = 16;
/** Beginning of the codes of errors of Node's HTTP parser. */
const parseErrorPrefix = 'HPE_';
/** Lowest HTTP status that reports a failure of the endpoint. */
const minFailureStatus = 500;
/** HTTP statuses from which a caller concludes that a request did not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const chunkedCoding = 'chunked';
/** Transfer codings that leave the bytes of a body as they are. */
const plainCodings: ReadonlySet<string> = new Set([
  '',
  'identity',
  chunkedCoding,
]);

/** Returns the transfer coding of an answer, in lower case; empty if none. */
function getTransferCoding({headers}: Pick<AnswerHead, 'headers'>): string {
  return (headers['transfer-encoding'] ?? '').trim().toLowerCase();
}

/** Dependencies of one call to an endpoint. */
export interface EndpointCallOptions {
  readonly effect: StartCall;
  readonly openRequest: OpenRequest;
  readonly wire: WireFormat;
  readonly submit: (input: Input) => void;
  /** Monotonic time, in ms. */
  readonly readNowMs: () => number;
  /** Whether another call of the same request is in progress. */
  readonly hasOtherCall: () => boolean;
  /** Called once, when the call has completed, failed or been canceled. */
  readonly handleFinished: () => void;
}

/**
 * How the body of an answer is forwarded. `held`: in one piece, once it is
 * complete; `bytes`: as received; `events`: only complete events.
 */
type ForwardMode = 'unknown' | 'held' | 'bytes' | 'events';

/**
 * One call to an endpoint, from its start until its answer was forwarded. Uses
 * `node:http` rather than undici, which treats a truncated answer as complete
 * if the endpoint closes the connection after it.
 */
export class EndpointCall {
  private request: ClientRequest | undefined;
  private response: IncomingMessage | undefined;
  private head: AnswerHead | undefined;
  /**
   * How the endpoint finished the connection of an unframed answer; undefined
   * before it did, and for other answers.
   */
  private connectionEnd: Promise<ConnectionEnd> | undefined;
  private mode: ForwardMode = 'unknown';
  private readonly splitter = new EventSplitter();
  private readonly boundary = new EventBoundary();
  private readonly held: HeldChunks;
  /** Number of forwarded events; in mode `bytes`, of forwarded chunks. */
  private events = 0;
  private lastReportAtMs = Number.NEGATIVE_INFINITY;
  private interimResponses = 0;
  private isSent = false;
  private isFinished = false;

  constructor(private readonly options: EndpointCallOptions) {
    this.held = new HeldChunks(options.openRequest.budget);
  }

  /** Sends the request. */
  start(): void {
    const {effect, openRequest, wire} = this.options;
    const headers = wire.createEndpointHeaders(openRequest.request.rawHeaders, {
      endpointId: effect.endpoint.id,
      customer: effect.customer,
      timeLeftMs: effect.timeLeftMs,
      lastEventId: openRequest.lastEventId,
    });
    const {sizeBytes} = openRequest.body;
    if (sizeBytes > 0) headers.push('content-length', `${sizeBytes}`);
    const {host, port} = parseHostPort(effect.endpoint.address);
    const call = request({
      path: openRequest.request.url ?? '/',
      method: openRequest.request.method,
      headers,
      setHost: false,
      createConnection: () => {
        const socket = connectEndpoint(host, port);
        socket.once('connect', () => this.handleConnected());
        // Added before the listeners of `request`, which end the response.
        socket.once('end', () => {
          if (!this.isUnframed()) return;
          this.connectionEnd = checkConnectionEnd(socket);
        });
        return socket;
      },
    });
    this.request = call;
    call.on('error', (error: Error & {code?: string}) => {
      const detail = error.code ?? error.message;
      const isUnreadable = detail.startsWith(parseErrorPrefix);
      // Bytes behind a complete answer belong to no request.
      if (isUnreadable && this.response?.complete) return;
      if (!this.isSent) this.fail('notSent', detail);
      else if (isUnreadable) this.fail('cut', detail);
      else this.failLost(detail);
    });
    call.on('information', () => this.countInterimResponse());
    call.on('upgrade', () => this.fail('cut', 'upgraded'));
    call.on('response', response => this.handleResponse(response));
    sendBody(call, openRequest.body.getChunks());
  }

  /** Cancels the call; its later events are ignored. */
  cancel(): void {
    if (this.isFinished) return;
    this.finish();
  }

  private handleConnected(): void {
    if (this.isFinished) return;
    this.isSent = true;
    this.submitEvent({kind: 'callSent'});
  }

  private countInterimResponse(): void {
    this.interimResponses += 1;
    if (this.interimResponses <= maxInterimResponses) return;
    this.fail('cut', 'too_many_interim_responses');
  }

  private handleResponse(response: IncomingMessage): void {
    if (this.isFinished) return;
    const status = response.statusCode ?? 0;
    this.response = response;
    this.head = {status, headers: response.headers};
    response.on('error', error => this.failLost(error.message));
    const {effect, openRequest, wire} = this.options;
    const answerClass = wire.classifyAnswer(
      this.head,
      openRequest.requestInfo.attemptId,
    );
    // Another endpoint's answer says nothing about this one.
    if (answerClass !== 'wrongEndpoint') {
      this.reportHead(response, answerClass !== 'unverified');
      // The input may have ended this call.
      if (this.isFinished) return;
    }
    if (answerClass === 'refused' || answerClass === 'wrongEndpoint') {
      this.fail(answerClass, `${status}`);
      return;
    }
    // An unverified answer is not forwarded. Neither is a status from which the
    // caller would conclude that the request did not run, because the endpoint
    // did not state that, nor a status that is none.
    const isForwardable = isAnswerStatus(status) && !notRunStatuses.has(status);
    if (!plainCodings.has(getTransferCoding(response))) {
      this.fail('cut', 'transfer_coding');
      return;
    }
    if (answerClass === 'unverified' || !isForwardable) {
      this.fail('cut', `${answerClass}_${status}`);
      return;
    }
    if (effect.isLastRun) this.releaseBody();
    const isStream = effect.isStream && status < 300;
    if (!isStream) this.mode = 'held';
    else this.mode = effect.isResumable ? 'events' : 'bytes';
    // Part of an earlier call's answer was forwarded, which only a stream that
    // is resumed after its last event can complete.
    const isContinuable =
      this.mode === 'events' && openRequest.canContinueWith(this.head);
    if (openRequest.hasStarted && !isContinuable && !this.isFailure()) {
      this.fail('cut', `not_resumable_${status}`);
      return;
    }
    response.on('data', (chunk: Buffer) => this.handleData(chunk));
    response.on('end', () => this.handleEnd());
    response.on('close', () => {
      if (!response.complete) this.failLost('connection_closed');
    });
  }

  /** Lets the request's body go as soon as it was sent to its end. */
  private releaseBody(): void {
    const {openRequest} = this.options;
    if (this.request?.writableFinished === true) openRequest.body.release();
    else this.request?.once('finish', () => openRequest.body.release());
  }

  /** Reports what the head of an answer states about the endpoint. */
  private reportHead(response: IncomingMessage, isVerified: boolean): void {
    const {wire} = this.options;
    const {headers, rawHeaders, statusCode = 0} = response;
    const notice = wire.readNotice(statusCode, rawHeaders);
    const limitStatement = isVerified
      ? wire.readLimitStatement(headers)
      : undefined;
    this.submitEvent({kind: 'callAnswered', limitStatement, notice});
  }

  private handleData(chunk: Buffer): void {
    this.reportBeforeForwarding();
    if (this.isFinished) return;
    if (this.mode === 'held') this.holdChunk(chunk);
    else if (this.mode === 'events') this.forwardEvents(chunk);
    else this.forwardBytes(chunk);
    if (!this.isFinished && !this.isFailure()) this.reportProgress();
  }

  /**
   * Reports progress before the answer is forwarded if the request has another
   * call, so that the core cancels one of the two: only one may forward. A
   * failure of the endpoint is not progress.
   */
  private reportBeforeForwarding(): void {
    if (this.isFinished || this.isFailure()) return;
    if (!this.options.hasOtherCall()) return;
    this.submitEvent({kind: 'callProgressed', events: this.events});
  }

  /** Reports the first data at once, and later data at limited intervals. */
  private reportProgress(): void {
    const nowMs = this.options.readNowMs();
    if (nowMs - this.lastReportAtMs < minProgressIntervalMs) return;
    this.lastReportAtMs = nowMs;
    this.submitEvent({kind: 'callProgressed', events: this.events});
  }

  private handleEnd(): void {
    if (this.isFinished) return;
    if (this.response?.complete !== true || this.isInsideEvent()) {
      this.failLost('answer_incomplete');
      return;
    }
    if (this.connectionEnd === undefined) {
      this.forwardAnswer();
      return;
    }
    void this.connectionEnd.then(end => {
      if (end === 'ended') this.forwardAnswer();
      else this.failLost('connection_reset');
    });
  }

  /** Forwards what is left of an answer that was received completely. */
  private forwardAnswer(): void {
    this.reportBeforeForwarding();
    if (this.isFinished) return;
    const {openRequest} = this.options;
    const {status} = this.head!;
    if (this.isFailure()) {
      openRequest.holdFailure(this.createHeldAnswer());
      this.fail('failed', `${status}`);
      return;
    }
    const heldAnswer =
      this.mode === 'held' ? this.createHeldAnswer() : undefined;
    this.finish();
    if (heldAnswer !== undefined) {
      openRequest.sendAnswer(heldAnswer);
    } else {
      this.sendHead();
      openRequest.end();
    }
    const isUnframed = this.isUnframed();
    this.submitEvent({kind: 'callDone', status, isUnframed});
  }

  private finish(): void {
    this.isFinished = true;
    this.request?.destroy();
    this.held.release();
    this.options.handleFinished();
  }

  private submitEvent(
    event:
      | {kind: 'callSent'}
      | Pick<CallAnswered, 'kind' | 'limitStatement' | 'notice'>
      | {kind: 'callProgressed'; events: number}
      | {kind: 'callPaused'; isPaused: boolean}
      | {kind: 'callDone'; status: number; isUnframed: boolean},
  ): void {
    const {callNumber, requestId} = this.options.effect;
    this.options.submit({...event, requestId, callNumber});
  }

  /** Fails because the endpoint ended the connection too early. */
  private failLost(detail: string): void {
    this.fail('cut', detail, true);
  }

  private fail(
    failure: CallFailure,
    detail: string,
    isConnectionLost = false,
  ): void {
    if (this.isFinished) return;
    this.finish();
    const {effect, openRequest, submit} = this.options;
    const {callNumber, requestId} = effect;
    const hasResponseStarted = openRequest.hasStarted;
    submit({
      kind: 'callFailed',
      requestId,
      callNumber,
      failure,
      hasResponseStarted,
      isConnectionLost,
      detail,
    });
  }

  /** Returns whether the answer reports a failure of the endpoint. */
  private isFailure(): boolean {
    return this.head !== undefined && this.head.status >= minFailureStatus;
  }

  /**
   * Returns whether only the end of the connection marks the answer's end; false
   * before an answer.
   */
  private isUnframed(): boolean {
    if (this.head === undefined) return false;
    const {headers} = this.head;
    return (
      headers['content-length'] === undefined &&
      getTransferCoding(this.head) !== chunkedCoding
    );
  }

  /** Returns whether what was received ends inside an event of a stream. */
  private isInsideEvent(): boolean {
    if (this.mode === 'events') return this.splitter.partialBytes > 0;
    if (this.mode !== 'bytes' || !this.options.effect.isStream) return false;
    const isEventStream = getMediaType(this.head!.headers) === eventStreamType;
    return isEventStream && this.boundary.isInsideEvent;
  }

  private createForwardedHead(): ForwardedHead {
    const {headers, status} = this.head!;
    const callerHeaders = this.options.wire.createCallerHeaders({
      headers,
      status,
    });
    return {status, headers: callerHeaders};
  }

  private createHeldAnswer(): HeldAnswer {
    return {...this.createForwardedHead(), body: this.held.removeAll()};
  }

  /**
   * Holds part of the body in memory. Once it exceeds the maximum size, or memory
   * is short, forwards everything received so far and switches to `bytes`. An
   * answer that reports a failure is held up to a larger size, beyond which the
   * call fails.
   */
  private holdChunk(chunk: Buffer): void {
    this.held.add(chunk);
    if (this.isFailure()) {
      if (this.held.sizeBytes <= maxFailureBytes) return;
      this.fail('cut', 'failure_too_large');
      return;
    }
    const {isShort} = this.options.openRequest.budget;
    if (this.held.sizeBytes <= maxHeldAnswerBytes && !isShort) return;
    this.mode = 'bytes';
    this.forwardBytes(this.held.removeAll());
  }

  /**
   * Sends the status and headers to the caller, unless they or those of an
   * earlier call for the same request were sent.
   */
  private sendHead(): void {
    const {openRequest} = this.options;
    if (openRequest.hasStarted) return;
    const head = this.createForwardedHead();
    // If the stream is resumed at another endpoint, its length may differ from
    // the one that this answer announces.
    if (this.mode === 'events') delete head.headers['content-length'];
    openRequest.writeHead(head);
  }

  private forwardBytes(chunk: Buffer): void {
    this.sendHead();
    this.events += 1;
    this.boundary.addChunk(chunk);
    this.write(chunk);
  }

  /** Forwards the complete events that the caller has not received yet. */
  private forwardEvents(chunk: Buffer): void {
    const {openRequest} = this.options;
    const newEvents: Buffer[] = [];
    for (const {bytes, id} of this.splitter.addChunk(chunk)) {
      const isDuplicate =
        id !== '' &&
        openRequest.lastEventId !== '' &&
        Number(id) <= Number(openRequest.lastEventId);
      if (isDuplicate) continue;
      if (id !== '') openRequest.lastEventId = id;
      newEvents.push(bytes);
    }
    if (newEvents.length > 0) {
      this.sendHead();
      this.events += newEvents.length;
      this.write(Buffer.concat(newEvents));
    }
    if (this.splitter.partialBytes > maxPartialEventBytes) {
      this.fail('cut', 'event_too_large');
    }
  }

  private write(bytes: Buffer): void {
    const {openRequest} = this.options;
    if (openRequest.write(bytes)) return;
    this.response?.pause();
    this.submitEvent({kind: 'callPaused', isPaused: true});
    openRequest.waitForDrain(() => {
      if (this.isFinished) return;
      this.response?.resume();
      this.submitEvent({kind: 'callPaused', isPaused: false});
    });
  }
}
