import {DispatchState, Input} from '@ryeworks/dispatch';
import {Logger, PrometheusMetrics} from '@ryeworks/logger';
import {OpenRequests} from '../callers/openRequest.js';
import {DispatchLoop, Fault} from './dispatchLoop.js';

/** Dependencies of the handler. */
export interface FaultContext {
  readonly logger: Logger;
  readonly loop: DispatchLoop;
  readonly metrics: PrometheusMetrics;
  readonly openRequests: OpenRequests;
  readonly state: DispatchState;
}

/** Reports an error that is a fault of the gateway itself. */
export function reportFault(
  {logger, metrics}: Pick<FaultContext, 'logger' | 'metrics'>,
  error: unknown,
  source: string,
  request = '',
): void {
  metrics.count('internal_errors', {source});
  const detail = error instanceof Error ? error.stack : undefined;
  logger.error('internal_error', {
    source,
    request,
    detail: detail ?? String(error),
  });
}

/**
 * Creates the input for a call that a fault kept from being sent. The other
 * calls of its request go on.
 */
function createUnsentCall(
  requestId: string,
  {callNumber}: {readonly callNumber: number},
): Input {
  return {
    kind: 'callFailed',
    requestId,
    callNumber,
    failure: 'notSent',
    hasResponseStarted: false,
    detail: 'internal_error',
  };
}

/**
 * Creates the handler of the errors that the core or the handler of an effect
 * throws. It reports them and ends the request that they belong to, if any; all
 * other requests go on. An error in a periodic task is handed to the process, as
 * the task may have ended.
 *
 * @param stopProcess hands an error to the process, which then stops gracefully
 */
export function createFaultHandler(
  context: FaultContext,
  stopProcess: (error: unknown) => void,
): (fault: Fault) => void {
  const {loop, openRequests, state} = context;
  return ({error, requestId, source}) => {
    if (source === 'timerDue' && requestId === undefined) {
      stopProcess(error);
      return;
    }
    const openRequest = openRequests.get(requestId ?? '');
    const attemptId = openRequest?.requestInfo.attemptId;
    reportFault(context, error, source, attemptId);
    if (requestId === undefined) return;
    const {calls = []} = state.requests.get(requestId) ?? {};
    if (source === 'startCall' && calls.length > 1) {
      loop.submit(createUnsentCall(requestId, calls[calls.length - 1]));
      return;
    }
    if (state.requests.has(requestId) && source !== 'requestInterrupted') {
      const isCallStarted = source !== 'startCall';
      loop.submit({
        kind: 'requestInterrupted',
        requestId,
        reason: 'internal_error',
        isCallStarted,
      });
      return;
    }
    // The core does not know the request, or cannot end it.
    openRequest?.sendError('outcomeUnknown', 0);
  };
}
