import {CallFailure, Input, StartCall} from '@ryeworks/dispatch';
import {parseHostPort} from '@ryeworks/utils';
import {ClientRequest, IncomingMessage, request} from 'node:http';
import {HeldAnswer, OpenRequest, PassedHead} from '../callers/openRequest.js';
import {AnswerHead, WireFormat} from '../deploymentPort.js';
import {connectEndpoint} from './connectEndpoint.js';
import {EventSplitter} from './eventSplitter.js';

/** Plain answers up to this size are held back until they are whole. */
const heldAnswerBytes = 262_144;
/** Least time between two reports of a call's progress, in ms. */
const progressPeriodMs = 30;
/** Least status of an answer that reports a failure of the endpoint. */
const leastFailureStatus = 500;
/** Statuses that promise that a request did not run. */
const promiseStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** What one call to an endpoint needs. */
export interface EndpointCallParts {
  readonly effect: StartCall;
  readonly open: OpenRequest;
  readonly wire: WireFormat;
  readonly submit: (input: Input) => void;
  /** Monotonic time, in ms. */
  readonly readNowMs: () => number;
  /** Called once, when nothing more of the call is passed on. */
  readonly forget: () => void;
}

/** How the body of an answer is passed on. */
type PassMode = 'unknown' | 'held' | 'bytes' | 'events';

/**
 * One call to an endpoint, from its start until its answer was passed on. Built
 * on `node:http` rather than undici, which takes an answer that breaks off as
 * whole when the endpoint closes its connection after it.
 */
export class EndpointCall {
  private request: ClientRequest | undefined;
  private response: IncomingMessage | undefined;
  private head: AnswerHead | undefined;
  private mode: PassMode = 'unknown';
  private readonly splitter = new EventSplitter();
  private held: Buffer[] = [];
  private heldBytes = 0;
  private events = 0;
  private reportedAtMs = Number.NEGATIVE_INFINITY;
  private isSent = false;
  private isOver = false;

  constructor(private readonly parts: EndpointCallParts) {}

  /** Sends the request. */
  start(): void {
    const {effect, open, wire} = this.parts;
    const headers = wire.createEndpointHeaders(open.request.rawHeaders, {
      endpointId: effect.endpoint.id,
      customer: effect.customer,
      timeLeftMs: effect.timeLeftMs,
      lastEventId: open.lastEventId,
    });
    if (open.body.length > 0) {
      headers.push('content-length', `${open.body.length}`);
    }
    const {host, port} = parseHostPort(effect.endpoint.address);
    const call = request({
      path: open.request.url ?? '/',
      method: open.request.method,
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
    call.end(open.body.length > 0 ? open.body : undefined);
  }

  /** Breaks the call off; later events of it are left out. */
  cancel(): void {
    if (this.isOver) return;
    this.finish();
  }

  private handleConnected(): void {
    if (this.isOver) return;
    this.isSent = true;
    this.submitEvent({kind: 'callSent'});
  }

  private handleResponse(response: IncomingMessage): void {
    if (this.isOver) return;
    const status = response.statusCode ?? 0;
    this.response = response;
    this.head = {status, headers: response.headers};
    response.on('error', error => this.fail('cut', error.message));
    const {effect, open, wire} = this.parts;
    const found = wire.classifyAnswer(this.head, open.facts.attemptId);
    if (found === 'refused' || found === 'wrongEndpoint') {
      this.fail(found, `${status}`);
      return;
    }
    // A status that promises more than the endpoint said is not passed on.
    if (found === 'foreign' || promiseStatuses.has(status)) {
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
    if (this.isOver) return;
    if (this.mode === 'held') this.hold(chunk);
    else if (this.mode === 'events') this.passEvents(chunk);
    else this.pass(chunk);
    this.reportProgress();
  }

  /** Reports the first data at once, later data now and then. */
  private reportProgress(): void {
    const nowMs = this.parts.readNowMs();
    if (nowMs - this.reportedAtMs < progressPeriodMs) return;
    this.reportedAtMs = nowMs;
    this.submitEvent({kind: 'callProgressed', events: this.events});
  }

  private handleEnd(): void {
    if (this.isOver) return;
    if (this.response?.complete !== true || this.splitter.hasPart) {
      this.fail('cut', 'ended_early');
      return;
    }
    const {open} = this.parts;
    const {status} = this.head!;
    if (this.mode === 'held' && status >= leastFailureStatus) {
      open.heldFailure = this.createHeldAnswer();
      this.fail('failed', `${status}`);
      return;
    }
    this.finish();
    if (this.mode === 'held') {
      open.sendWhole(this.createHeldAnswer());
    } else {
      this.begin();
      open.end();
    }
    this.submitEvent({kind: 'callDone', status});
  }

  private finish(): void {
    this.isOver = true;
    this.request?.destroy();
    this.parts.forget();
  }

  private submitEvent(
    event:
      | {kind: 'callSent'}
      | {kind: 'callProgressed'; events: number}
      | {kind: 'callDone'; status: number},
  ): void {
    const {callNumber, requestId} = this.parts.effect;
    this.parts.submit({...event, requestId, callNumber});
  }

  private fail(failure: CallFailure, detail: string): void {
    if (this.isOver) return;
    this.finish();
    const {effect, open, submit} = this.parts;
    const {callNumber, requestId} = effect;
    const hasResponseStarted = open.hasBegun;
    submit({
      kind: 'callFailed',
      requestId,
      callNumber,
      failure,
      hasResponseStarted,
      detail,
    });
  }

  private createPassedHead(): PassedHead {
    const {headers, status} = this.head!;
    const isUnframed =
      headers['content-length'] === undefined &&
      headers['transfer-encoding'] === undefined;
    const passed = this.parts.wire.createCallerHeaders({headers, status});
    return {status, headers: passed, isUnframed};
  }

  private createHeldAnswer(): HeldAnswer {
    const body = Buffer.concat(this.held, this.heldBytes);
    return {...this.createPassedHead(), body};
  }

  /** Keeps part of a plain answer, or passes all on once it is long. */
  private hold(chunk: Buffer): void {
    this.held.push(chunk);
    this.heldBytes += chunk.length;
    const isFailure = this.head!.status >= leastFailureStatus;
    if (this.heldBytes <= heldAnswerBytes || isFailure) return;
    this.mode = 'bytes';
    const body = Buffer.concat(this.held, this.heldBytes);
    this.held = [];
    this.pass(body);
  }

  /** Sends the head of the answer, unless an earlier call's was sent. */
  private begin(): void {
    const {open} = this.parts;
    if (open.hasBegun) return;
    const head = this.createPassedHead();
    // The rest of a resumed stream need not be as long as the first one's.
    if (this.mode === 'events') delete head.headers['content-length'];
    open.writeHead(head);
  }

  private pass(chunk: Buffer): void {
    this.begin();
    this.events += 1;
    this.write(chunk);
  }

  /** Passes on the events that are whole and that the caller lacks. */
  private passEvents(chunk: Buffer): void {
    const {open} = this.parts;
    const passed: Buffer[] = [];
    for (const {bytes, id} of this.splitter.take(chunk)) {
      const isKnown =
        id !== '' &&
        open.lastEventId !== '' &&
        Number(id) <= Number(open.lastEventId);
      if (isKnown) continue;
      if (id !== '') open.lastEventId = id;
      passed.push(bytes);
    }
    if (passed.length === 0) return;
    this.begin();
    this.events += passed.length;
    this.write(Buffer.concat(passed));
  }

  private write(bytes: Buffer): void {
    const {open} = this.parts;
    if (open.write(bytes)) return;
    this.response?.pause();
    open.waitForDrain(() => this.response?.resume());
  }
}
