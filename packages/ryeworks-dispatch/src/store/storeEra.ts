import {DispatchState} from '../dispatchState.js';
import {createCount, createLog, Effect} from '../effect.js';
import {StoreEraRead} from '../input.js';

/**
 * Time that entries have to reappear after the store came back from an older
 * copy without them, in ms.
 */
const returnGracePeriodMs = 1900;
/**
 * Time per known VM over which the VMs of a fleet announce themselves again, in
 * ms, so that together they stay within the store's rate of writes.
 */
const announceSpreadMs = 100;

/** The era of the platform's store, as this VM knows it. */
export interface StoreEra {
  /** Number of the era; undefined before the first answer of the store. */
  current: number | undefined;
  /** Era in which the endpoints were last listed; undefined if in none. */
  listed: number | undefined;
  /**
   * When the endpoints were first listed in a later era than before, in ms;
   * -Infinity if they never were.
   */
  relistedAtMs: number;
}

/** Creates the state before the first answer of the store. */
export function createStoreEra(): StoreEra {
  return {
    current: undefined,
    listed: undefined,
    relistedAtMs: Number.NEGATIVE_INFINITY,
  };
}

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
  if (storeEra.current !== undefined && era <= storeEra.current) return [];
  const previousEra = storeEra.current;
  storeEra.current = era;
  if (previousEra === undefined) return [];
  const spreadMs = state.peers.byVm.size * announceSpreadMs;
  const delayMs = spreadMs * state.random.next();
  state.timers.set('announce', '', nowMs + delayMs);
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

/** Records that the endpoints were listed in the current era. */
export function recordListing(state: DispatchState, nowMs: number): void {
  const {storeEra} = state;
  if (storeEra.listed === storeEra.current) return;
  if (storeEra.listed !== undefined) storeEra.relistedAtMs = nowMs;
  storeEra.listed = storeEra.current;
}

/**
 * Returns whether entries that are missing from the store may only be lost with
 * the copy that it came back from and reappear.
 */
export function isLossLikely(state: DispatchState, nowMs: number): boolean {
  const {current, listed, relistedAtMs} = state.storeEra;
  if (listed !== undefined && listed !== current) return true;
  return nowMs - relistedAtMs < returnGracePeriodMs;
}
