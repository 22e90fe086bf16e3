import {DispatchState} from '../dispatchState.js';
import {Effect} from '../effect.js';
import {applyEndpointNotice} from '../endpoints/applyEndpointNotice.js';
import {CallAnswered} from '../input.js';
import {applyLimitStatement} from '../rateLimits/applyLimitStatement.js';
import {findCall, findCalledEntry} from './findCall.js';

/**
 * Applies what the head of an answer states about its endpoint, even if that was
 * removed: its entry may come back while the process lasts.
 */
export function handleCallAnswered(
  state: DispatchState,
  input: CallAnswered,
  nowMs: number,
): Effect[] {
  const found = findCall(state, input);
  if (found === undefined) return [];
  const entry = findCalledEntry(state, found.call);
  if (entry === undefined) return [];
  const {limitStatement, notice} = input;
  const {attemptId} = found.request;
  const effects: Effect[] = [];
  if (limitStatement !== undefined) {
    effects.push(
      ...applyLimitStatement(state, entry, limitStatement, attemptId, nowMs),
    );
  }
  effects.push(...applyEndpointNotice(state, entry, notice, attemptId, nowMs));
  return effects;
}
