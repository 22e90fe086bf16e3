import {DispatchState} from '../dispatchState.js';
import {CallFailure} from '../input.js';
import {recordMoveEvidence} from '../moves/recordMoveEvidence.js';
import {ActiveCall} from '../requests/activeRequest.js';
import {
  EndpointEntry,
  recordOutcome,
  recordUnanswered,
  toleratedCuts,
} from './endpointTable.js';
import {startZoneCooldown} from './zoneCooldown.js';

/**
 * Time during which an endpoint gets no calls after another endpoint responded
 * at its address, in ms.
 */
const wrongEndpointCooldownMs = 1500;

/**
 * Pauses calls to all endpoints in a remote zone if none of them has responded
 * recently.
 */
function startRemoteZoneCooldown(
  state: DispatchState,
  entry: EndpointEntry,
  nowMs: number,
): void {
  const {availabilityZone: zone} = entry.endpoint;
  if (zone === state.options.availabilityZone) return;
  startZoneCooldown(state.lastZoneResponses, state.endpoints, zone, nowMs);
}

/** Records what the failure of a call shows about its endpoint. */
export function recordFailure(
  state: DispatchState,
  entry: EndpointEntry,
  call: ActiveCall,
  failure: CallFailure,
  nowMs: number,
): void {
  const {service, version} = entry.endpoint;
  const evidence = {service, version, isFailed: true, isSlow: false};
  const handlers: Record<CallFailure, () => void> = {
    notSent: () => {
      recordUnanswered(entry, 0, nowMs);
      startRemoteZoneCooldown(state, entry, nowMs);
    },
    refused: () => recordOutcome(entry, false),
    wrongEndpoint: () => {
      entry.cooldownUntilMs = nowMs + wrongEndpointCooldownMs;
    },
    failed: () => {
      recordOutcome(entry, false);
      recordMoveEvidence(state, call, evidence);
    },
    cut: () => {
      recordOutcome(entry, false);
      recordUnanswered(entry, toleratedCuts, nowMs);
      recordMoveEvidence(state, call, evidence);
    },
  };
  handlers[failure]();
}
