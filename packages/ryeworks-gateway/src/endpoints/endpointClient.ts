import {CancelCall, Input, StartCall} from '@ryeworks/dispatch';
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
  /** Calls that have not ended, by request ID and call number. */
  private readonly calls = new Map<string, Map<number, EndpointCall>>();

  constructor(private readonly options: EndpointClientOptions) {}

  /** Sends a request to an endpoint. */
  startCall(effect: StartCall): void {
    const {openRequests, readNowMs, submit, wire} = this.options;
    const openRequest = openRequests.get(effect.requestId);
    if (openRequest === undefined) return;
    const {callNumber, requestId} = effect;
    const requestCalls = this.calls.get(requestId) ?? new Map();
    const call = new EndpointCall({
      effect,
      openRequest,
      wire,
      submit,
      readNowMs,
      hasOtherCall: () => requestCalls.size > 1,
      handleFinished: () => {
        requestCalls.delete(callNumber);
        if (requestCalls.size === 0) this.calls.delete(requestId);
      },
    });
    requestCalls.set(callNumber, call);
    this.calls.set(requestId, requestCalls);
    call.start();
  }

  /** Cancels one call of a request. */
  cancelCall({callNumber, requestId}: CancelCall): void {
    this.calls.get(requestId)?.get(callNumber)?.cancel();
  }

  /** Cancels every call. */
  close(): void {
    for (const requestCalls of [...this.calls.values()]) {
      for (const call of [...requestCalls.values()]) call.cancel();
    }
  }
}
