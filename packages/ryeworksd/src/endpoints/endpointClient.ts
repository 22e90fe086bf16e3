import {CallFailure, Dispatch, Resume} from '@ryeworks/scheduler';
import {Endpoint} from '@ryeworks/types';
import {Clock, isAnswerStatus, isUnsentError} from '@ryeworks/utils';
import {Agent, Dispatcher, request} from 'undici';
import {OpenRequest, OpenRequests} from '../answers/openRequests.js';
import {SchedulerLoop} from '../core/schedulerLoop.js';
import {
  connectionOptions,
  connectTimeoutMs,
  EndpointConnection,
} from './endpointConnection.js';
import {ModelAnswer} from './modelAnswer.js';

/** Minimum time between two progress reports of one call, in ms. */
const progressIntervalMs = 250;

/** A call to an endpoint that is in progress or may be resumed. */
interface OpenCall {
  readonly abort: AbortController;
  readonly endpoint: Endpoint;
  readonly streamId: string;
  /** Whether the call resumes the stream of an earlier call. */
  readonly isResumed: boolean;
  readonly answer?: ModelAnswer;
}

/**
 * Calls endpoints and reports the progress and outcome of each call to the
 * scheduler. Every call opens its own connection, for two reasons: no call is
 * sent over a connection that went silent while idle, and no call that cannot
 * be repeated is sent over a connection that the endpoint is just closing.
 */
export class EndpointClient {
  private readonly agent: Dispatcher = new Agent({
    ...connectionOptions,
    connect: {timeout: connectTimeoutMs},
  });
  private readonly calls = new Map<string, OpenCall>();

  constructor(
    private readonly loop: SchedulerLoop,
    private readonly clock: Clock,
    private readonly openRequests: OpenRequests,
  ) {}

  /** Starts the call to an endpoint for a request. */
  dispatch(effect: Dispatch): void {
    const openRequest = this.openRequests.get(effect.requestId);
    if (openRequest === undefined) return;
    const call = this.startCall(
      openRequest,
      effect.endpoint,
      openRequest.requestId,
    );
    const headers: Record<string, string> = {
      'x-request-id': openRequest.requestId,
      'ryeworks-deadline-ms': `${effect.deadlineInMs}`,
    };
    if (openRequest.contentType !== '')
      headers['content-type'] = openRequest.contentType;
    if (openRequest.idempotencyKey !== undefined) {
      headers['idempotency-key'] = openRequest.idempotencyKey;
    }
    const hasBody = openRequest.body.length > 0;
    void this.runCall(openRequest, call, {
      path: openRequest.path,
      method: openRequest.method,
      headers,
      body: hasBody ? openRequest.body : undefined,
    });
  }

  /** Resumes a stream after its last received event, over a new connection. */
  resume(effect: Resume): void {
    const openRequest = this.openRequests.get(effect.requestId);
    if (openRequest === undefined) return;
    const previous = this.calls.get(effect.requestId);
    previous?.abort.abort();
    const {endpoint, streamId} = effect;
    previous?.answer?.prepareResume();
    const call = this.startCall(
      openRequest,
      endpoint,
      streamId,
      previous?.answer,
    );
    const lastEventId = call.answer?.lastEventId ?? '';
    void this.runCall(openRequest, call, {
      path: `/v1/streams/${encodeURIComponent(streamId)}`,
      method: 'GET',
      headers: lastEventId === '' ? {} : {'last-event-id': lastEventId},
    });
  }

  /** Aborts a call. A model engine is also told to stop generating. */
  cancel(requestId: string): void {
    const call = this.calls.get(requestId);
    if (call === undefined) return;
    this.calls.delete(requestId);
    call.abort.abort();
    if (call.answer === undefined) return;
    const path = `/v1/streams/${encodeURIComponent(call.streamId)}`;
    const signal = AbortSignal.timeout(connectTimeoutMs);
    const options = {
      dispatcher: this.agent,
      method: 'DELETE' as const,
      signal,
    };
    request(call.endpoint.address + path, options)
      .then(response => response.body.dump())
      .catch(() => {});
  }

  /** Aborts every call and destroys the connections. */
  async close(): Promise<void> {
    for (const call of this.calls.values()) call.abort.abort();
    this.calls.clear();
    await this.agent.destroy();
  }

  private startCall(
    openRequest: OpenRequest,
    endpoint: Endpoint,
    streamId: string,
    previous?: ModelAnswer,
  ): OpenCall {
    const answer =
      openRequest.kind === 'model'
        ? (previous ?? new ModelAnswer(openRequest))
        : undefined;
    const abort = new AbortController();
    const isResumed =
      previous !== undefined || streamId !== openRequest.requestId;
    const call = {abort, endpoint, streamId, isResumed, answer};
    this.calls.set(openRequest.requestId, call);
    return call;
  }

  /**
   * Runs a call to its end and reports its outcome. Reports nothing if the call
   * was canceled or replaced by another one in the meantime.
   */
  private async runCall(
    openRequest: OpenRequest,
    call: OpenCall,
    options: {
      path: string;
      method: string;
      headers: Record<string, string>;
      body?: Buffer;
    },
  ): Promise<void> {
    const {requestId} = openRequest;
    const isCurrent = () => this.calls.get(requestId) === call;
    const connection = new EndpointConnection(call.endpoint.address);
    try {
      const response = await request(call.endpoint.address + options.path, {
        dispatcher: connection.dispatcher,
        method: options.method as Dispatcher.HttpMethod,
        headers: options.headers,
        body: options.body,
        signal: call.abort.signal,
      });
      if (!isCurrent()) return;
      if (!isAnswerStatus(response.statusCode)) {
        this.reportFailure(openRequest, call, 'cut');
        return;
      }
      if (response.statusCode >= 500 || response.statusCode === 429) {
        await response.body.dump();
        // Only 500 tells that the run failed: a stream that is resumed runs on
        // when the endpoint refuses the call that would resume it.
        const isRefused =
          response.headers['ryeworks-ran'] === 'not-run' ||
          (call.isResumed && response.statusCode !== 500);
        this.reportFailure(openRequest, call, isRefused ? 'refused' : 'failed');
        return;
      }
      if (call.isResumed && response.statusCode !== 200) {
        await response.body.dump();
        this.reportFailure(openRequest, call, 'streamUnknown');
        return;
      }
      if (call.answer === undefined || response.statusCode >= 400) {
        await this.sendWholeResponse(openRequest, call, response, connection);
        return;
      }
      await this.streamResponse(openRequest, call, response);
    } catch (error) {
      if (!isCurrent()) return;
      this.reportFailure(
        openRequest,
        call,
        isUnsentError(error) ? 'notSent' : 'cut',
      );
    } finally {
      connection.close();
    }
  }

  /**
   * Forwards a response to the caller in one piece, once it is complete. Used
   * for plain services, and for 4xx responses of model engines except 429.
   */
  private async sendWholeResponse(
    openRequest: OpenRequest,
    call: OpenCall,
    response: Dispatcher.ResponseData,
    connection: EndpointConnection,
  ): Promise<void> {
    const {requestId} = openRequest;
    this.loop.submit({kind: 'endpointFirstToken', requestId});
    const body = Buffer.from(await response.body.arrayBuffer());
    const isComplete = await connection.isComplete(response);
    if (this.calls.get(requestId) !== call) return;
    if (!isComplete) {
      this.reportFailure(openRequest, call, 'cut');
      return;
    }
    const contentType = String(
      response.headers['content-type'] ?? 'application/octet-stream',
    );
    openRequest.answer.writeHead(response.statusCode, contentType);
    openRequest.answer.writeBody(body);
    this.calls.delete(requestId);
    this.loop.submit({kind: 'endpointDone', requestId, outputTokens: 0});
  }

  /**
   * Parses and forwards the response of a model engine as it arrives, and
   * reports its progress.
   */
  private async streamResponse(
    openRequest: OpenRequest,
    call: OpenCall,
    response: Dispatcher.ResponseData,
  ): Promise<void> {
    const {requestId} = openRequest;
    const answer = call.answer!;
    let lastReportMs = 0;
    for await (const chunk of response.body) {
      if (this.calls.get(requestId) !== call) return;
      const hadTokens = answer.tokens > 0;
      answer.addBytes(chunk as Buffer);
      if (!hadTokens && answer.tokens > 0) {
        this.loop.submit({kind: 'endpointFirstToken', requestId});
      }
      const nowMs = this.clock.readNowMs();
      if (nowMs - lastReportMs < progressIntervalMs) continue;
      lastReportMs = nowMs;
      this.loop.submit({kind: 'endpointProgress', requestId});
    }
    if (this.calls.get(requestId) !== call) return;
    if (!answer.hasReceivedEnd) {
      this.reportFailure(openRequest, call, 'cut');
      return;
    }
    answer.finish();
    this.calls.delete(requestId);
    const outputTokens = answer.tokens;
    this.loop.submit({kind: 'endpointDone', requestId, outputTokens});
  }

  private reportFailure(
    openRequest: OpenRequest,
    call: OpenCall,
    failure: CallFailure,
  ): void {
    const {requestId} = openRequest;
    // A call that may be resumed is kept with its partial answer, which tells
    // after which event.
    const wasNotResumed =
      call.isResumed && (failure === 'notSent' || failure === 'refused');
    if (failure === 'cut' || wasNotResumed) call.abort.abort();
    else this.calls.delete(requestId);
    this.loop.submit({kind: 'endpointFailed', requestId, failure});
  }
}
