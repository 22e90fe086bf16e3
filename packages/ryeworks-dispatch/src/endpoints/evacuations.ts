import {admitWaiting} from '../admission/admitWaiting.js';
import {DispatchState} from '../dispatchState.js';
import {createCount, createLog, Effect} from '../effect.js';
import {EvacuationsRead} from '../input.js';
import {handleEarlyRequests} from '../requests/handleRequestReceived.js';
import {withdrawUnsentCalls} from '../requests/withdrawUnsentCalls.js';
import {isLossLikely, isOutdatedEra} from '../store/storeEra.js';
import {EndpointEntry} from './endpointTable.js';

/** Lists the endpoints of a zone, also those that were removed. */
function listZoneEntries(
  {endpoints}: DispatchState,
  zone: string,
): EndpointEntry[] {
  const {byId, formerEntries} = endpoints;
  const all = [...byId.values(), ...formerEntries.values()];
  return all.filter(({endpoint}) => endpoint.availabilityZone === zone);
}

/** Starts the evacuation of a zone. Requests that run there go on. */
function startEvacuation(
  state: DispatchState,
  zone: string,
  nowMs: number,
): Effect[] {
  state.evacuations.set(zone, {startedAtMs: nowMs, isMissing: false});
  const entries = listZoneEntries(state, zone);
  let running = 0;
  for (const {inFlight} of entries) running += inFlight;
  const effects: Effect[] = [
    createCount('evacuations', {change: 'started'}),
    createLog('evacuation_started', {
      zone,
      endpoints: entries.length,
      ownCalls: running,
    }),
  ];
  for (const entry of entries) {
    effects.push(...withdrawUnsentCalls(state, entry, nowMs));
  }
  return effects;
}

/** Ends the evacuation of a zone, and dispatches what waits for it. */
function endEvacuation(
  state: DispatchState,
  zone: string,
  nowMs: number,
): Effect[] {
  const evacuation = state.evacuations.get(zone);
  if (evacuation === undefined) return [];
  state.evacuations.delete(zone);
  const afterMs = Math.round(nowMs - evacuation.startedAtMs);
  const effects: Effect[] = [
    createCount('evacuations', {change: 'ended'}),
    createLog('evacuation_ended', {zone, afterMs}),
  ];
  for (const service of state.queues.keys()) {
    effects.push(...admitWaiting(state, service, nowMs));
  }
  return effects;
}

/**
 * Applies the zones that the operators want to be evacuated. One that is no longer
 * listed goes on while it may only be lost with the copy that the store came back
 * from. Ignores what was read in an earlier era than the current one.
 */
export function handleEvacuationsRead(
  state: DispatchState,
  {era, zones}: EvacuationsRead,
  nowMs: number,
): Effect[] {
  if (isOutdatedEra(state.storeEra, era)) return [];
  const effects: Effect[] = [];
  for (const zone of zones) {
    const evacuation = state.evacuations.get(zone);
    if (evacuation !== undefined) evacuation.isMissing = false;
    else effects.push(...startEvacuation(state, zone, nowMs));
  }
  for (const [zone, evacuation] of state.evacuations) {
    if (!zones.includes(zone)) evacuation.isMissing = true;
  }
  effects.push(...sweepEvacuations(state, nowMs));
  if (!state.hasListedEvacuations) {
    state.hasListedEvacuations = true;
    effects.push(...handleEarlyRequests(state, nowMs));
  }
  return effects;
}

/** Ends the evacuations that were removed or did not reappear in time. */
export function sweepEvacuations(
  state: DispatchState,
  nowMs: number,
): Effect[] {
  if (state.evacuations.size === 0) return [];
  if (isLossLikely(state.storeEra, nowMs)) return [];
  const effects: Effect[] = [];
  for (const [zone, {isMissing}] of [...state.evacuations]) {
    if (isMissing) effects.push(...endEvacuation(state, zone, nowMs));
  }
  return effects;
}

/** Returns whether an evacuation may only be lost for a while. */
export function hasMissingEvacuations({evacuations}: DispatchState): boolean {
  for (const {isMissing} of evacuations.values()) {
    if (isMissing) return true;
  }
  return false;
}
