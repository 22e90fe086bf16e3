import {CallFailure, Dispatch, Resume} from '@ryeworks/scheduler';
import {Endpoint} from '@ryeworks/types';
import {Clock, isUnsentError} from '@ryeworks/utils';
import {Agent, Dispatcher, request} from 'undici';
import {OpenRequest, OpenRequests} from '../answers/openRequests.js';
import {SchedulerLoop} from '../core/schedulerLoop.js';
import {ModelAnswer} from './modelAnswer.js';

/** Time to open a connection to an endpoint, in ms. */
const connectTimeoutMs = 1000;
/** Time between two progress reports of one call to the scheduler, in ms. */
const progressIntervalMs = 250;

/** One call to an endpoint under way. */
interface OpenCall {
  readonly abort: AbortController;
  readonly endpoint: Endpoint;
  readonly streamId: string;
  /** Whether the call picks up an earlier stream. */
  readonly isResumed: boolean;
  readonly answer?: ModelAnswer;
}

/**
 * Calls endpoints and reports what happens to the scheduler. Every call has
 * its own connection: one that went silent while idle is never used, and a
 * call that cannot be repeated never meets a connection that the endpoint is
 * just closing.
 */
export class EndpointClient {
  private readonly agent: Dispatcher = new Agent({
    pipelining: 0,
    connect: {timeout: connectTimeoutMs},
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  private readonly calls = new Map<string, OpenCall>();

  constructor(
    private readonly loop: SchedulerLoop,
    private readonly clock: Clock,
    private readonly openRequests: OpenRequests,
  ) {}

  /** Sends a request to an endpoint. */
  dispatch(effect: Dispatch): void {
    const open = this.openRequests.get(effect.requestId);
    if (open === undefined) return;
    const call = this.startCall(open, effect.endpoint, open.requestId);
    const headers: Record<string, string> = {
      'x-request-id': open.requestId,
      'ryeworks-deadline-ms': `${effect.deadlineInMs}`,
    };
    if (open.contentType !== '') headers['content-type'] = open.contentType;
    if (open.idempotencyKey !== undefined) {
      headers['idempotency-key'] = open.idempotencyKey;
    }
    const hasBody = open.body.length > 0;
    void this.runCall(open, call, {
      path: open.path,
      method: open.method,
      headers,
      body: hasBody ? open.body : undefined,
    });
  }

  /** Picks up a stream where it broke off, over a new connection. */
  resume(effect: Resume): void {
    const open = this.openRequests.get(effect.requestId);
    if (open === undefined) return;
    const previous = this.calls.get(effect.requestId);
    previous?.abort.abort();
    const {endpoint, streamId} = effect;
    previous?.answer?.prepareResume();
    const call = this.startCall(open, endpoint, streamId, previous?.answer);
    const lastEventId = call.answer?.lastEventId ?? '';
    void this.runCall(open, call, {
      path: `/v1/streams/${encodeURIComponent(streamId)}`,
      method: 'GET',
      headers: lastEventId === '' ? {} : {'last-event-id': lastEventId},
    });
  }

  /** Breaks a call off and tells a model engine to stop generating. */
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
      .then(answer => answer.body.dump())
      .catch(() => {});
  }

  /** Breaks off every call. */
  async close(): Promise<void> {
    for (const call of this.calls.values()) call.abort.abort();
    this.calls.clear();
    await this.agent.destroy();
  }

  private startCall(
    open: OpenRequest,
    endpoint: Endpoint,
    streamId: string,
    previous?: ModelAnswer,
  ): OpenCall {
    const answer =
      open.kind === 'model' ? (previous ?? new ModelAnswer(open)) : undefined;
    const abort = new AbortController();
    const isResumed = previous !== undefined || streamId !== open.requestId;
    const call = {abort, endpoint, streamId, isResumed, answer};
    this.calls.set(open.requestId, call);
    return call;
  }

  /** Runs a call to its end, unless another call took its place. */
  private async runCall(
    open: OpenRequest,
    call: OpenCall,
    options: {
      path: string;
      method: string;
      headers: Record<string, string>;
      body?: Buffer;
    },
  ): Promise<void> {
    const {requestId} = open;
    const isCurrent = () => this.calls.get(requestId) === call;
    try {
      const response = await request(call.endpoint.address + options.path, {
        dispatcher: this.agent,
        method: options.method as Dispatcher.HttpMethod,
        headers: options.headers,
        body: options.body,
        signal: call.abort.signal,
      });
      if (!isCurrent()) return;
      if (response.statusCode >= 500 || response.statusCode === 429) {
        await response.body.dump();
        const isRefused = response.headers['ryeworks-ran'] === 'not-run';
        this.reportFailure(open, call, isRefused ? 'refused' : 'failed');
        return;
      }
      if (call.isResumed && response.statusCode !== 200) {
        await response.body.dump();
        this.reportFailure(open, call, 'streamUnknown');
        return;
      }
      if (call.answer === undefined || response.statusCode >= 400) {
        await this.sendWholeResponse(open, call, response);
        return;
      }
      await this.streamResponse(open, call, response);
    } catch (error) {
      if (!isCurrent()) return;
      this.reportFailure(open, call, isUnsentError(error) ? 'notSent' : 'cut');
    }
  }

  /** Passes the answer of a plain service on, whole. */
  private async sendWholeResponse(
    open: OpenRequest,
    call: OpenCall,
    response: Dispatcher.ResponseData,
  ): Promise<void> {
    const {requestId} = open;
    this.loop.submit({kind: 'endpointFirstToken', requestId});
    const body = Buffer.from(await response.body.arrayBuffer());
    if (this.calls.get(requestId) !== call) return;
    const contentType = String(
      response.headers['content-type'] ?? 'application/octet-stream',
    );
    open.answer.writeHead(response.statusCode, contentType);
    open.answer.writeBody(body);
    this.calls.delete(requestId);
    this.loop.submit({kind: 'endpointDone', requestId, outputTokens: 0});
  }

  /** Passes the stream of a model engine on, token by token. */
  private async streamResponse(
    open: OpenRequest,
    call: OpenCall,
    response: Dispatcher.ResponseData,
  ): Promise<void> {
    const {requestId} = open;
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
      this.reportFailure(open, call, 'cut');
      return;
    }
    answer.finish();
    this.calls.delete(requestId);
    const outputTokens = answer.tokens;
    this.loop.submit({kind: 'endpointDone', requestId, outputTokens});
  }

  private reportFailure(
    open: OpenRequest,
    call: OpenCall,
    failure: CallFailure,
  ): void {
    const {requestId} = open;
    // A call that broke off stays, with its answer so far, to be resumed.
    if (failure !== 'cut') this.calls.delete(requestId);
    else call.abort.abort();
    this.loop.submit({kind: 'endpointFailed', requestId, failure});
  }
}
