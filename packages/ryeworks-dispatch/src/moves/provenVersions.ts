/**
 * Proven versions of a service: those in use before the first of the orders that
 * are not completed. The version of an order that was replaced, removed or reverted
 * is not one of them: its endpoints may run on, but nothing shows that they are
 * sound, so they must not pass for the old version of a later order.
 */
import {DispatchState} from '../dispatchState.js';
import {EndpointEntry, listEndpoints} from '../endpoints/endpointTable.js';
import {MoveOrder} from './moveOrder.js';
import {isCompleted} from './moveTable.js';

/** Proven versions by service; services of which none are known are omitted. */
export type ProvenVersions = Map<string, readonly string[]>;

/** Lists the proven versions of a service; none if they are not known. */
export function listProvenVersions(
  {provenVersions}: DispatchState,
  service: string,
): readonly string[] {
  return provenVersions.get(service) ?? [];
}

/** Lists the versions of a service's endpoints. */
function listRunningVersions(
  {endpoints}: DispatchState,
  service: string,
): readonly string[] {
  const versions = new Set<string>();
  for (const {endpoint} of listEndpoints(endpoints, service)) {
    versions.add(endpoint.version);
  }
  return [...versions].sort();
}

/** Determines the proven versions when an order starts or replaces a move. */
function deriveProvenVersions(
  state: DispatchState,
  {provenVersions, service, toVersion}: MoveOrder,
): readonly string[] {
  const replaced = state.moves.get(service);
  if (replaced !== undefined && isCompleted(replaced)) {
    return [replaced.order.toVersion];
  }
  if (provenVersions.length > 0) return provenVersions;
  const known = listProvenVersions(state, service);
  if (known.length > 0) return known;
  const running = listRunningVersions(state, service);
  const others = running.filter(version => version !== toVersion);
  return others.length > 0 ? others : running;
}

/** Sets the proven versions when an order starts or replaces a move. */
export function updateProvenVersions(
  state: DispatchState,
  order: MoveOrder,
): void {
  const versions = deriveProvenVersions(state, order);
  if (versions.length > 0) state.provenVersions.set(order.service, versions);
}

/** Applies the proven versions that the store names with an order. */
export function applyProvenVersions(
  state: DispatchState,
  {provenVersions, service}: MoveOrder,
): void {
  if (provenVersions.length === 0) return;
  state.provenVersions.set(service, provenVersions);
}

/**
 * Removes a service's move, whose order was removed. Unless the move was completed,
 * its version stays unproven.
 */
export function removeMove(state: DispatchState, service: string): void {
  const move = state.moves.get(service);
  if (move !== undefined && isCompleted(move)) {
    state.provenVersions.delete(service);
  }
  state.moves.delete(service);
}

/**
 * Forgets the proven versions of services without a move once all endpoints have
 * one, or none has.
 */
export function sweepProvenVersions(state: DispatchState): void {
  for (const [service, proven] of state.provenVersions) {
    if (state.moves.has(service)) continue;
    const running = listRunningVersions(state, service);
    const isAnyProven = running.some(version => proven.includes(version));
    const areAllProven = running.every(version => proven.includes(version));
    if (areAllProven || !isAnyProven) state.provenVersions.delete(service);
  }
}

/** Returns whether a version of a service is proven, or nothing is known of it. */
export function isProven(
  state: DispatchState,
  service: string,
  version: string,
): boolean {
  const versions = state.provenVersions.get(service);
  return versions === undefined || versions.includes(version);
}

/** Returns the endpoints of proven versions; all if none are known. */
export function listProvenEntries(
  state: DispatchState,
  service: string,
  entries: readonly EndpointEntry[],
): readonly EndpointEntry[] {
  if (!state.provenVersions.has(service)) return entries;
  return entries.filter(({endpoint}) =>
    isProven(state, service, endpoint.version),
  );
}
