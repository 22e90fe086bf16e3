import {Input, StartCall} from '@ryeworks/dispatch';
import {Agent, Dispatcher} from 'undici';
import {OpenRequests} from '../callers/openRequest.js';
import {WireFormat} from '../deploymentPort.js';
import {connectEndpoint} from './connectEndpoint.js';
import {EndpointCall} from './endpointCall.js';

/** What the client of the endpoints needs. */
export interface EndpointClientParts {
  readonly wire: WireFormat;
  readonly openRequests: OpenRequests;
  readonly submit: (input: Input) => void;
}

/**
 * Calls endpoints and reports what happens. Every call has its own connection:
 * one that went silent while idle is never used, and no answer to an earlier
 * call can come in place of its own.
 */
export class EndpointClient {
  private readonly agent = new Agent({
    pipelining: 0,
    connect: connectEndpoint,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  private readonly calls = new Map<string, EndpointCall>();

  constructor(private readonly parts: EndpointClientParts) {}

  /** Sends a request to an endpoint. */
  startCall(effect: StartCall): void {
    const {openRequests, submit, wire} = this.parts;
    const open = openRequests.get(effect.requestId);
    if (open === undefined) return;
    const {requestId} = effect;
    const forget = () => {
      if (this.calls.get(requestId) === call) this.calls.delete(requestId);
    };
    const call = new EndpointCall({effect, open, wire, submit, forget});
    this.calls.set(requestId, call);
    const headers = wire.createEndpointHeaders(open.request.rawHeaders, {
      endpointId: effect.endpoint.id,
      customer: effect.customer,
      timeLeftMs: effect.timeLeftMs,
      lastEventId: open.lastEventId,
    });
    this.agent.dispatch(
      {
        origin: `http://${effect.endpoint.address}`,
        path: open.request.url ?? '/',
        method: open.request.method as Dispatcher.HttpMethod,
        headers,
        body: open.body.length > 0 ? open.body : undefined,
      },
      call,
    );
  }

  /** Breaks the call of a request off. */
  cancelCall(requestId: string): void {
    this.calls.get(requestId)?.cancel();
  }

  /** Breaks off every call. */
  async close(): Promise<void> {
    for (const call of [...this.calls.values()]) call.cancel();
    await this.agent.destroy();
  }
}
