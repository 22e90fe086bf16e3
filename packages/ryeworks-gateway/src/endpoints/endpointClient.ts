import {Input, StartCall} from '@ryeworks/dispatch';
import {OpenRequests} from '../callers/openRequest.js';
import {WireFormat} from '../deploymentInterfaces.js';
import {EndpointCall} from './endpointCall.js';

/** Dependencies of an endpoint client. */
export interface EndpointClientOptions {
  readonly wire: WireFormat;
  readonly openRequests: OpenRequests;
  readonly submit: (input: Input) => void;
  /** Monotonic time, in ms. */
  readonly readNowMs: () => number;
}

/**
 * Calls endpoints and reports the progress and result of each call. Every call
 * opens its own connection, so that it never uses an idle connection that was
 * silently lost and never receives the answer to an earlier call.
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

  /** Cancels the call of a request. */
  cancelCall(requestId: string): void {
    this.calls.get(requestId)?.cancel();
  }

  /** Cancels every call. */
  close(): void {
    for (const call of [...this.calls.values()]) call.cancel();
  }
}
