import {DispatchState} from '../dispatchState.js';
import {createCount, createLog, Effect} from '../effect.js';
import {StoreEraRead} from '../input.js';

/**
 * Time per known VM over which the VMs of a fleet announce themselves again, in
 * ms, so that together they stay within the store's rate of writes.
 */
const announceSpreadMs = 100;

/**
 * Applies an era that the store or a peer named. In a later era than before, this
 * VM announces itself again, since its entry may be lost.
 */
export function updateStoreEra(
  state: DispatchState,
  era: number,
  nowMs: number,
): Effect[] {
  const {storeEra} = state;
  const previousEra = storeEra.current;
  if (previousEra !== undefined && era <= previousEra) return [];
  storeEra.current = era;
  if (previousEra === undefined) return [];
  const spreadMs = state.peers.byVm.size * announceSpreadMs;
  const delayMs = spreadMs * state.random.next();
  state.timers.set('announce', '', nowMs + delayMs);
  // What was written to the store may be lost.
  state.crashes.storedKey = undefined;
  const desiredVersion = state.desiredState.current?.version ?? -1;
  return [
    createCount('store_changes', {state: 'restored'}),
    createLog('store_era_changed', {era, previousEra, desiredVersion}),
  ];
}

/** Handles the era that an answer of the store named. */
export function handleStoreEraRead(
  state: DispatchState,
  {era}: StoreEraRead,
  nowMs: number,
): Effect[] {
  return updateStoreEra(state, era, nowMs);
}

/** Announces this VM in the store again. */
export function announceVm(): Effect[] {
  return [{kind: 'announceVm'}];
}
