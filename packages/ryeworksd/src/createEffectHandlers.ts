import {Logger, Metrics} from '@ryeworks/logger';
import {AnswerRegistry} from './answers/answerRegistry.js';
import {OpenRequests} from './answers/openRequests.js';
import {createReportHandlers, EffectHandlers} from './core/schedulerLoop.js';
import {EndpointClient} from './endpoints/endpointClient.js';
import {PeerClient} from './peers/peerClient.js';
import {PlatformWatcher} from './platform/platformWatcher.js';

/** Dependencies of the effect handlers. */
export interface EffectContext {
  readonly vm: string;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly answers: AnswerRegistry;
  readonly openRequests: OpenRequests;
  readonly endpointClient: EndpointClient;
  readonly peerClient: PeerClient;
  readonly platformWatcher: PlatformWatcher;
}

/** Creates a handler for each kind of effect. */
export function createEffectHandlers(context: EffectContext): EffectHandlers {
  const {answers, endpointClient, openRequests, peerClient} = context;
  const {platformWatcher} = context;
  return {
    ...createReportHandlers(context.logger, context.metrics),
    sendPeer: effect => peerClient.send(effect),
    dispatch: effect => endpointClient.dispatch(effect),
    resume: effect => endpointClient.resume(effect),
    cancelDispatch: effect => endpointClient.cancel(effect.requestId),
    completeAnswer: ({requestId}) => {
      openRequests.get(requestId)?.answer.end();
      openRequests.delete(requestId);
    },
    answerError: ({requestId, error, ran, retryAfterMs}) => {
      const failure = {error, ran, retryAfterMs};
      openRequests.get(requestId)?.answer.fail(failure);
      openRequests.delete(requestId);
    },
    // Forwards the answer to the request `holderRequestId`, which a peer or this
    // VM holds and keeps.
    attachAnswer: effect => {
      const {holder, holderAddress, holderRequestId, requestId} = effect;
      const answer = openRequests.get(requestId)?.answer;
      openRequests.delete(requestId);
      if (answer === undefined) return;
      answer.clearCached();
      if (holder !== context.vm) {
        void peerClient.attach(holderAddress, holderRequestId, answer);
        return;
      }
      const heldAnswer = answers.find(holderRequestId);
      if (heldAnswer !== undefined) {
        heldAnswer.addSink(answer);
        return;
      }
      const fields = {requestId: holderRequestId, reason: 'no such answer'};
      context.logger.warn('attach_failed', fields);
      const error = 'outcomeUnknown';
      answer.fail({error, ran: 'unknown', retryAfterMs: 1000});
    },
    writeDocument: effect => void platformWatcher.writeDocument(effect),
    readDocument: effect => void platformWatcher.readDocument(effect.name),
    writeStatus: effect => void platformWatcher.writeStatus(effect.status),
    setWatching: effect => platformWatcher.setWatching(effect.watching),
  };
}
