import {CallFailure, Input, StartCall} from '@ryeworks/dispatch';
import {parseHostPort} from '@ryeworks/utils';
import {ClientRequest, IncomingMessage, request} from 'node:http';
import {
  HeldAnswer,
  OpenRequest,
  ForwardedHead,
} from '../callers/openRequest.js';
import {AnswerHead, WireFormat} from '../deploymentInterfaces.js';
import {connectEndpoint} from './connectEndpoint.js';
import {EventSplitter} from './eventSplitter.js';

/** Plain answers up to this size are held back until they are whole. */
const maxHeldAnswerBytes = 262_144;
/** Least time between two reports of a call's progress, in ms. */
const minProgressIntervalMs = 30;
/** Least status of an answer that reports a failure of the endpoint. */
const minFailureStatus = 500;
/** Statuses that promise that a request did not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** What one call to an endpoint needs. */
export interface EndpointCallOptions {
  readonly effect: StartCall;
  readonly openRequest: OpenRequest;
  readonly wire: WireFormat;
  readonly submit: (input: Input) => void;
  /** Monotonic time, in ms. */
  readonly readNowMs: () => number;
  /** Called once, when nothing more of the call is passed on. */
  readonly handleFinished: () => void;
}

/** How the body of an answer is passed on. */
type ForwardMode = 'unknown' | 'held' | 'bytes' | 'events';

/**
 * One call to an endpoint, from its start until its answer was passed on. Built
 * on `node:http` rather than undici, which takes an answer that breaks off as
 * whole when the endpoint closes its connection after it.
 */
export class EndpointCall {
  private request: ClientRequest | undefined;
  private response: IncomingMessage | undefined;
  private head: AnswerHead | undefined;
  private mode: ForwardMode = 'unknown';
  private readonly splitter = new EventSplitter();
  private held: Buffer[] = [];
  private heldBytes = 0;
  private events = 0;
  private lastReportAtMs = Number.NEGATIVE_INFINITY;
  private isSent = false;
  private isFinished = false;

  constructor(private readonly options: EndpointCallOptions) {}

  /** Sends the request. */
  start(): void {
    const {effect, openRequest, wire} = this.options;
    const headers = wire.createEndpointHeaders(openRequest.request.rawHeaders, {
      endpointId: effect.endpoint.id,
      customer: effect.customer,
      timeLeftMs: effect.timeLeftMs,
      lastEventId: openRequest.lastEventId,
    });
    if (openRequest.body.length > 0) {
      headers.push('content-length', `${openRequest.body.length}`);
    }
    const {host, port} = parseHostPort(effect.endpoint.address);
    const call = request({
      path: openRequest.request.url ?? '/',
      method: openRequest.request.method,
      headers,
      setHost: false,
      createConnection: () => {
        const socket = connectEndpoint(host, port);
        socket.once('connect', () => this.handleConnected());
        return socket;
      },
    });
    this.request = call;
    call.on('error', (error: Error & {code?: string}) =>
      this.fail(this.isSent ? 'cut' : 'notSent', error.code ?? error.message),
    );
    call.on('response', response => this.handleResponse(response));
    call.end(openRequest.body.length > 0 ? openRequest.body : undefined);
  }

  /** Breaks the call off; later events of it are left out. */
  cancel(): void {
    if (this.isFinished) return;
    this.finish();
  }

  private handleConnected(): void {
    if (this.isFinished) return;
    this.isSent = true;
    this.submitEvent({kind: 'callSent'});
  }

  private handleResponse(response: IncomingMessage): void {
    if (this.isFinished) return;
    const status = response.statusCode ?? 0;
    this.response = response;
    this.head = {status, headers: response.headers};
    response.on('error', error => this.fail('cut', error.message));
    const {effect, openRequest, wire} = this.options;
    const found = wire.classifyAnswer(
      this.head,
      openRequest.requestInfo.attemptId,
    );
    if (found === 'refused' || found === 'wrongEndpoint') {
      this.fail(found, `${status}`);
      return;
    }
    // A status that promises more than the endpoint said is not passed on.
    if (found === 'unverified' || notRunStatuses.has(status)) {
      this.fail('cut', `${found}_${status}`);
      return;
    }
    const isStream = effect.isStream && status < 300;
    if (!isStream) this.mode = 'held';
    else this.mode = effect.isResumable ? 'events' : 'bytes';
    response.on('data', (chunk: Buffer) => this.handleData(chunk));
    response.on('end', () => this.handleEnd());
    response.on('close', () => this.fail('cut', 'closed'));
  }

  private handleData(chunk: Buffer): void {
    if (this.isFinished) return;
    if (this.mode === 'held') this.holdChunk(chunk);
    else if (this.mode === 'events') this.forwardEvents(chunk);
    else this.forwardBytes(chunk);
    this.reportProgress();
  }

  /** Reports the first data at once, later data now and then. */
  private reportProgress(): void {
    const nowMs = this.options.readNowMs();
    if (nowMs - this.lastReportAtMs < minProgressIntervalMs) return;
    this.lastReportAtMs = nowMs;
    this.submitEvent({kind: 'callProgressed', events: this.events});
  }

  private handleEnd(): void {
    if (this.isFinished) return;
    if (this.response?.complete !== true || this.splitter.hasPartialEvent) {
      this.fail('cut', 'ended_early');
      return;
    }
    const {openRequest} = this.options;
    const {status} = this.head!;
    if (this.mode === 'held' && status >= minFailureStatus) {
      openRequest.heldFailure = this.createHeldAnswer();
      this.fail('failed', `${status}`);
      return;
    }
    this.finish();
    if (this.mode === 'held') {
      openRequest.sendAnswer(this.createHeldAnswer());
    } else {
      this.sendHead();
      openRequest.end();
    }
    this.submitEvent({kind: 'callDone', status});
  }

  private finish(): void {
    this.isFinished = true;
    this.request?.destroy();
    this.options.handleFinished();
  }

  private submitEvent(
    event:
      | {kind: 'callSent'}
      | {kind: 'callProgressed'; events: number}
      | {kind: 'callDone'; status: number},
  ): void {
    const {callNumber, requestId} = this.options.effect;
    this.options.submit({...event, requestId, callNumber});
  }

  private fail(failure: CallFailure, detail: string): void {
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
      detail,
    });
  }

  private createForwardedHead(): ForwardedHead {
    const {headers, status} = this.head!;
    const isUnframed =
      headers['content-length'] === undefined &&
      headers['transfer-encoding'] === undefined;
    const passed = this.options.wire.createCallerHeaders({headers, status});
    return {status, headers: passed, isUnframed};
  }

  private createHeldAnswer(): HeldAnswer {
    const body = Buffer.concat(this.held, this.heldBytes);
    return {...this.createForwardedHead(), body};
  }

  /** Keeps part of a plain answer, or passes all on once it is long. */
  private holdChunk(chunk: Buffer): void {
    this.held.push(chunk);
    this.heldBytes += chunk.length;
    const isFailure = this.head!.status >= minFailureStatus;
    if (this.heldBytes <= maxHeldAnswerBytes || isFailure) return;
    this.mode = 'bytes';
    const body = Buffer.concat(this.held, this.heldBytes);
    this.held = [];
    this.forwardBytes(body);
  }

  /** Sends the head of the answer, unless an earlier call's was sent. */
  private sendHead(): void {
    const {openRequest} = this.options;
    if (openRequest.hasStarted) return;
    const head = this.createForwardedHead();
    // The rest of a resumed stream need not be as long as the first one's.
    if (this.mode === 'events') delete head.headers['content-length'];
    openRequest.writeHead(head);
  }

  private forwardBytes(chunk: Buffer): void {
    this.sendHead();
    this.events += 1;
    this.write(chunk);
  }

  /** Passes on the events that are whole and that the caller lacks. */
  private forwardEvents(chunk: Buffer): void {
    const {openRequest} = this.options;
    const passed: Buffer[] = [];
    for (const {bytes, id} of this.splitter.addChunk(chunk)) {
      const isKnown =
        id !== '' &&
        openRequest.lastEventId !== '' &&
        Number(id) <= Number(openRequest.lastEventId);
      if (isKnown) continue;
      if (id !== '') openRequest.lastEventId = id;
      passed.push(bytes);
    }
    if (passed.length === 0) return;
    this.sendHead();
    this.events += passed.length;
    this.write(Buffer.concat(passed));
  }

  private write(bytes: Buffer): void {
    const {openRequest} = this.options;
    if (openRequest.write(bytes)) return;
    this.response?.pause();
    openRequest.waitForDrain(() => this.response?.resume());
  }
}
