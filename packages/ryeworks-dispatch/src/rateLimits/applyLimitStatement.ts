import {DispatchState} from '../dispatchState.js';
import {createLog, Effect} from '../effect.js';
import {EndpointEntry} from '../endpoints/endpointTable.js';
import {applyLift, applyNamedLimit} from './applyLimit.js';
import {LimitStatement} from './limitStatement.js';

/** Handles one kind of statement in the answer to a request. */
type StatementHandler<K extends LimitStatement['kind']> = (
  state: DispatchState,
  entry: EndpointEntry,
  statement: Extract<LimitStatement, {kind: K}>,
  attemptId: string,
  nowMs: number,
) => Effect[];

const statementHandlers: {
  [K in LimitStatement['kind']]: StatementHandler<K>;
} = {
  unlimited: (_state, entry, _statement, attemptId, nowMs) => {
    entry.unlimitedAtMs = nowMs;
    if (entry.limit !== undefined) entry.limit.ownObservedAtMs = nowMs;
    const observation = {observedAtMs: nowMs, source: attemptId};
    return applyLift(entry, observation, nowMs);
  },
  limited: (state, entry, {perSecond}, attemptId, nowMs) => {
    const observation = {observedAtMs: nowMs, source: attemptId};
    const effects = applyNamedLimit(
      state,
      entry,
      perSecond,
      observation,
      nowMs,
    );
    entry.limit!.ownObservedAtMs = nowMs;
    return effects;
  },
  unreadable: (_state, {endpoint}, {text}, attemptId) => [
    createLog('rate_limit_unreadable', {
      endpoint: endpoint.id,
      request: attemptId,
      text,
    }),
  ],
};

/** Applies what an endpoint's answer states about its rate limit. */
export function applyLimitStatement(
  state: DispatchState,
  entry: EndpointEntry,
  statement: LimitStatement,
  attemptId: string,
  nowMs: number,
): Effect[] {
  const handler = statementHandlers[statement.kind] as StatementHandler<
    LimitStatement['kind']
  >;
  return handler(state, entry, statement, attemptId, nowMs);
}
