import {Logger, PrometheusMetrics} from '@ryeworks/logger';
import {EffectHandlers} from '../core/dispatchLoop.js';
import {OpenRequest, OpenRequests} from './openRequest.js';

/** Dependencies of the handlers. */
export interface AnswerContext {
  readonly logger: Logger;
  readonly metrics: PrometheusMetrics;
  readonly openRequests: OpenRequests;
}

/** Aborts an answer that has begun, and reports it. */
function abortAnswer(
  {logger, metrics}: AnswerContext,
  openRequest: OpenRequest,
  reason: string,
): void {
  openRequest.abort();
  metrics.count('requests_unanswered', {cause: reason});
  const {attemptId} = openRequest.requestInfo;
  const {lastEventId} = openRequest;
  logger.warn('answer_aborted', {request: attemptId, reason, lastEventId});
}

/**
 * Creates the effect handlers that end a request without an endpoint's success.
 * A request whose answer has begun can only be ended by aborting the answer.
 */
export function createAnswerHandlers(
  context: AnswerContext,
): Pick<EffectHandlers, 'answerError' | 'forwardFailure' | 'abortResponse'> {
  const {openRequests} = context;
  return {
    answerError: ({error, reason, requestId, retryAfterMs}) => {
      const openRequest = openRequests.get(requestId);
      if (openRequest === undefined) return;
      if (openRequest.hasStarted) abortAnswer(context, openRequest, reason);
      else openRequest.sendError(error, retryAfterMs);
    },
    forwardFailure: ({requestId}) => {
      const openRequest = openRequests.get(requestId);
      if (openRequest === undefined) return;
      const {heldFailure} = openRequest;
      if (heldFailure === undefined) openRequest.sendError('outcomeUnknown', 0);
      else openRequest.sendAnswer(heldFailure);
    },
    abortResponse: ({reason, requestId}) => {
      const openRequest = openRequests.get(requestId);
      if (openRequest !== undefined) abortAnswer(context, openRequest, reason);
    },
  };
}
