import {DispatchState} from '../dispatchState.js';
import {Effect} from '../effect.js';
import {ActiveRequest} from '../requests/activeRequest.js';
import {failRequest} from '../requests/endRequest.js';
import {withdrawCall} from '../requests/withdrawUnsentCalls.js';
import {isQuarantined} from './isQuarantined.js';
import {quarantineMs} from './partRecords.js';

/** Reason in logs and counters. */
const quarantinedReason = 'crashing_prompt';

/** Ends a request whose prompt must not be sent to endpoints. */
export function failQuarantined(
  state: DispatchState,
  request: ActiveRequest,
  nowMs: number,
): Effect[] {
  const mayHaveRun = request.possibleRuns > 0;
  return failRequest(
    state,
    request,
    mayHaveRun ? 'outcomeUnknown' : 'crashingPrompt',
    quarantinedReason,
    mayHaveRun ? 0 : quarantineMs,
    nowMs,
  );
}

/**
 * Ends the requests that are quarantined, or only their unsent calls if others
 * are with endpoints already: an answer to one of these would show that the
 * prompt is sound.
 */
export function endQuarantinedRequests(
  state: DispatchState,
  nowMs: number,
): Effect[] {
  const {crashes} = state;
  if (crashes.quarantines.length === 0) return [];
  const effects: Effect[] = [];
  for (const request of [...state.requests.values()]) {
    if (!isQuarantined(crashes, request, nowMs)) continue;
    const unsent = request.calls.filter(call => !call.isSent);
    if (unsent.length === request.calls.length) {
      effects.push(...failQuarantined(state, request, nowMs));
      continue;
    }
    for (const call of unsent) {
      effects.push(...withdrawCall(state, request, call, nowMs));
    }
  }
  return effects;
}
