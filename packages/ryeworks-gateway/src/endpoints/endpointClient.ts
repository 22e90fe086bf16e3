import {Input, StartCall} from '@ryeworks/dispatch';
import {OpenRequests} from '../callers/openRequest.js';
import {WireFormat} from '../deploymentInterfaces.js';
import {EndpointCall} from './endpointCall.js';

/** What the client of the endpoints needs. */
export interface EndpointClientOptions {
  readonly wire: WireFormat;
  readonly openRequests: OpenRequests;
  readonly submit: (input: Input) => void;
  /** Monotonic time, in ms. */
  readonly readNowMs: () => number;
}

/**
 * Calls endpoints and reports what happens. Every call has its own connection:
 * one that went silent while idle is never used, and no answer to an earlier
 * call can come in place of its own.
 */
export class EndpointClient {
  private readonly calls = new Map<string, EndpointCall>();

  constructor(private readonly options: EndpointClientOptions) {}

  /** Sends a request to an endpoint. */
  startCall(effect: StartCall): void {
    const {openRequests, readNowMs, submit, wire} = this.options;
    const openRequest = openRequests.get(effect.requestId);
    if (openRequest === undefined) return;
    const {requestId} = effect;
    const handleFinished = () => {
      if (this.calls.get(requestId) === call) this.calls.delete(requestId);
    };
    const call = new EndpointCall({
      effect,
      openRequest,
      wire,
      submit,
      readNowMs,
      handleFinished,
    });
    this.calls.set(requestId, call);
    call.start();
  }

  /** Breaks the call of a request off. */
  cancelCall(requestId: string): void {
    this.calls.get(requestId)?.cancel();
  }

  /** Breaks off every call. */
  close(): void {
    for (const call of [...this.calls.values()]) call.cancel();
  }
}
