import {DispatchState} from '../dispatchState.js';
import {Effect} from '../effect.js';
import {Endpoint} from '../endpoints/endpoint.js';
import {CrashTable, getProcess, ZoneDoubt} from './crashTable.js';

/** Maximum number of endpoints that are probed to learn whether a path works. */
const maxReferences = 3;

/** Time until they are probed, in ms. */
const referenceDelayMs = 50;

/** A loss that a crash explains, not a network path. */
export interface ConfirmedLoss {
  readonly process: string;
  readonly parts: readonly string[];
}

/**
 * Lists endpoints of a zone that have lost no connection of this VM of late: if one
 * of them listens, so does the network path to the zone.
 */
function listReferences(
  {crashes, endpoints}: DispatchState,
  zone: string,
  nowMs: number,
): Endpoint[] {
  const references: Endpoint[] = [];
  for (const {
    cooldownUntilMs,
    endpoint,
    isMissing,
  } of endpoints.byId.values()) {
    if (references.length === maxReferences) break;
    if (endpoint.availabilityZone !== zone || isMissing) continue;
    if (cooldownUntilMs > nowMs) continue;
    if (crashes.lostAtMs.has(getProcess(endpoint))) continue;
    references.push(endpoint);
  }
  return references;
}

/**
 * Doubts that an endpoint has crashed: several have lost connections at the same
 * moment, as when a network path fails. Probes others of its zone, which tell.
 */
export function probeReferences(
  state: DispatchState,
  endpoint: Endpoint,
  parts: readonly string[],
  nowMs: number,
): Effect[] {
  const {doubtsByZone} = state.crashes;
  const {availabilityZone: zone} = endpoint;
  const doubt = doubtsByZone.get(zone);
  if (doubt !== undefined) {
    doubt.lostParts.set(getProcess(endpoint), parts);
    return [];
  }
  const references = listReferences(state, zone, nowMs);
  if (references.length === 0) return [];
  doubtsByZone.set(zone, {
    lostParts: new Map([[getProcess(endpoint), parts]]),
    references: new Set(references.map(getProcess)),
  });
  return references.map(reference => ({
    kind: 'probeEndpoint',
    endpoint: reference,
    delayMs: referenceDelayMs,
  }));
}

/** Ends the doubt about a zone; returns the losses that crashes explain. */
function endDoubt(
  {doubtsByZone}: CrashTable,
  zone: string,
  {lostParts}: ZoneDoubt,
): ConfirmedLoss[] {
  doubtsByZone.delete(zone);
  return [...lostParts].map(([process, parts]) => ({process, parts}));
}

/**
 * Applies the probe of a reference. Returns the losses that are crashes, since the
 * path to their zone works.
 */
export function applyReferenceProbe(
  table: CrashTable,
  endpoint: Endpoint,
  isListening: boolean,
): ConfirmedLoss[] {
  const {availabilityZone: zone} = endpoint;
  const doubt = table.doubtsByZone.get(zone);
  if (doubt === undefined) return [];
  if (!doubt.references.delete(getProcess(endpoint))) return [];
  if (isListening) return endDoubt(table, zone, doubt);
  if (doubt.references.size === 0) table.doubtsByZone.delete(zone);
  return [];
}
