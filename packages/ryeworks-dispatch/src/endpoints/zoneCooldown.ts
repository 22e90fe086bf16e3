import {EndpointTable} from './endpointTable.js';

/**
 * Time without any response from a zone after which the zone is suspected to be
 * cut off, in ms.
 */
const suspectAfterMs = 250;
/** Time for which no endpoint of a suspected zone is tried, in ms. */
const zoneCooldownMs = 300;

/** Time of the last response from any endpoint of a zone, in ms, by zone. */
export type LastZoneResponses = Map<string, number>;

/** Records that an endpoint of a zone responded. */
export function recordZoneResponse(
  lastResponses: LastZoneResponses,
  zone: string,
  nowMs: number,
): void {
  lastResponses.set(zone, nowMs);
}

/**
 * Starts a cool-down of all endpoints of a zone if none of them has responded
 * recently; called when one of them cannot be reached. The zone is then
 * probably cut off, and trying its endpoints one by one would cost each request
 * a connection timeout. Returns whether the cool-down was started.
 */
export function startZoneCooldown(
  lastResponses: LastZoneResponses,
  table: EndpointTable,
  zone: string,
  nowMs: number,
): boolean {
  const respondedAtMs = lastResponses.get(zone) ?? Number.NEGATIVE_INFINITY;
  if (nowMs - respondedAtMs <= suspectAfterMs) return false;
  const untilMs = nowMs + zoneCooldownMs;
  for (const entry of table.byId.values()) {
    if (entry.endpoint.availabilityZone !== zone) continue;
    entry.cooldownUntilMs = Math.max(entry.cooldownUntilMs, untilMs);
  }
  return true;
}
