import {DispatchState} from '../dispatchState.js';
import {listEndpoints} from '../endpoints/endpointTable.js';
import {getMeanFirstEventMs, getPromptFactor} from '../endpoints/latency.js';

/**
 * Bounds of the time for which a request may wait for an endpoint, as fractions
 * of the latency target.
 */
const waitFractions = {min: 0.3, max: 0.8} as const;

/** Returns the time until the first event once a request is sent, in ms. */
function estimateServiceFirstEventMs(
  state: DispatchState,
  service: string,
  promptTokens: number,
): number {
  const entries = listEndpoints(state.endpoints, service);
  return getMeanFirstEventMs(entries) * getPromptFactor(promptTokens);
}

/**
 * Returns how long after its arrival a new request may wait for an endpoint, in
 * ms. Under load, every request that waits longest would otherwise be sent when
 * its answer can only be late, and the slots go to late answers only.
 */
export function decideMaxWaitMs(
  state: DispatchState,
  service: string,
  latencyTargetMs: number,
  promptTokens: number,
): number {
  const firstEventMs = estimateServiceFirstEventMs(
    state,
    service,
    promptTokens,
  );
  const onTimeMs = latencyTargetMs - firstEventMs;
  const minMs = latencyTargetMs * waitFractions.min;
  const maxMs = latencyTargetMs * waitFractions.max;
  return Math.min(maxMs, Math.max(minMs, onTimeMs));
}
