import {DispatchState} from '../dispatchState.js';
import {createLog, Effect} from '../effect.js';
import {CallAnswered} from '../input.js';
import {
  findRequestByCall,
  getEndpointEntry,
} from '../requests/findRequestByCall.js';

/** Records the rate limit that an endpoint's answer names, or that it has none. */
export function handleCallAnswered(
  state: DispatchState,
  input: CallAnswered,
): Effect[] {
  const request = findRequestByCall(state, input);
  if (request === undefined) return [];
  const entry = getEndpointEntry(state, request);
  if (entry === undefined) return [];
  const {limitStatement: statement} = input;
  const fields = {endpoint: entry.endpoint.id, request: request.attemptId};
  if (statement.kind === 'unreadable') {
    const {text} = statement;
    return [createLog('rate_limit_unreadable', {...fields, text})];
  }
  const previous = entry.namedLimitPerSecond;
  const named = statement.kind === 'limited' ? statement.perSecond : undefined;
  if (named === previous) return [];
  entry.namedLimitPerSecond = named;
  if (named === undefined) return [createLog('rate_limit_lifted', fields)];
  const previousPerSecond = previous ?? 0;
  return [
    createLog('rate_limit_named', {
      ...fields,
      perSecond: named,
      previousPerSecond,
    }),
  ];
}
